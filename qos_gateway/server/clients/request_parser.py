"""Parses the arguments of a client's command into a typed request."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ...edge_names import CommandField, CommandName
from ...types import Idempotence
from ..config import Config
from ..networking.request_command import RequestCommand

MAX_PAIRS_BYTES = 1024  # list of name=value in a command
MAX_WAIT_MS = 86_400_000  # one day
MAX_NUMBER_DIGITS = 11  # bounds the cost of `int` for the integers in a command
CUSTOMER_ID_BITS = 33
ARGUMENTS_WITHOUT_BODY = 4  # command name, customer, request id, list of name=value
ARGUMENTS_WITH_BODY = 5
RETRY_FLAG = 2  # bit of `ClientRequest.options`: this is a retry by the client

# The formats that the protocol allows: `int` and `float` also accept signs, underscores and spaces.
_CUSTOMER_ID = re.compile(rb"[0-9a-fA-F]{16}")
_REQUEST_ID = re.compile(rb"[0-9A-Za-z_.:-]{1,64}")
_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,128}")
_UNITS = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")


class InvalidCommandError(ValueError):
    """A command that cannot be executed; the message is sent to the client."""


@dataclass(slots=True)
class ClientRequest:
    """A request as its client sent it; each attempt sends the same command with its own deadline."""

    command: RequestCommand
    class_index: int
    plan_index: int
    customer_id: int
    wait_ms: int  # how long the client waits for the reply
    units: float
    gateway_spread: int
    first_gateway: int
    options: int

    @property
    def request_id(self) -> bytes:
        """The client's id of the request."""
        return self.command.start[2]


@dataclass(frozen=True, slots=True)
class _RequestClass:
    index: int
    idempotence: Idempotence


class RequestParser:
    """Parses commands by the classes and plans of the configuration."""

    def __init__(self, config: Config) -> None:
        self._classes = {
            name: _RequestClass(index, settings.idempotence)
            for index, (name, settings) in enumerate(
                zip(config.classes, config.settings.classes, strict=True)
            )
        }
        self._plan_indexes = {name: index for index, name in enumerate(config.plans)}
        self._gateway_count = config.settings.gateway_count
        self._max_units = max(1.0, config.settings.largest_request_units)

    def parse(self, arguments: list[bytes]) -> ClientRequest:
        """Return the request in a command's arguments; raise `InvalidCommandError` if it is invalid."""
        if len(arguments) not in (ARGUMENTS_WITHOUT_BODY, ARGUMENTS_WITH_BODY):
            raise InvalidCommandError("wrong number of arguments")
        customer_id = _customer_id(arguments[1])
        if not _REQUEST_ID.fullmatch(arguments[2]):
            raise InvalidCommandError("bad request id")
        if len(arguments[3]) > MAX_PAIRS_BYTES:
            raise InvalidCommandError("list of names and values too long")
        pairs = arguments[3].split(b",")
        values = _values_by_name(pairs)
        request_class = self._classes.get(values.get(CommandField.REQUEST_CLASS, b""))
        if request_class is None:
            raise InvalidCommandError("unknown class")
        plan_index = self._plan_indexes.get(values.get(CommandField.PLAN, b""))
        if plan_index is None:
            raise InvalidCommandError("unknown plan")
        _check_idempotence(request_class.idempotence, arguments, values)
        if CommandField.DEADLINE_MS not in values:
            raise InvalidCommandError("d missing")
        # `values` has the order of `pairs`, as names are unique.
        deadline_position = list(values).index(CommandField.DEADLINE_MS)
        pairs_before = b",".join([*pairs[:deadline_position], b""])
        pairs_after = b",".join([b"", *pairs[deadline_position + 1 :]])
        start = (arguments[0], arguments[1], arguments[2])
        body = tuple(arguments[ARGUMENTS_WITHOUT_BODY:])
        return ClientRequest(
            command=RequestCommand(start, pairs_before, pairs_after, body),
            class_index=request_class.index,
            plan_index=plan_index,
            customer_id=customer_id,
            wait_ms=_whole_number(values, CommandField.DEADLINE_MS, 0, MAX_WAIT_MS),
            units=_units(values, self._max_units),
            gateway_spread=_whole_number(values, CommandField.GATEWAY_SPREAD, 1, self._gateway_count),
            first_gateway=_whole_number(values, CommandField.FIRST_GATEWAY, 0, self._gateway_count - 1),
            options=RETRY_FLAG if values.get(CommandField.IS_RETRY) == b"1" else 0,
        )


def _values_by_name(pairs: list[bytes]) -> dict[bytes, bytes]:
    """Return the values of `name=value` pairs by name, in the order of the pairs."""
    values: dict[bytes, bytes] = {}
    well_formed = True
    for pair in pairs:
        name, equals, value = pair.partition(b"=")
        values[name] = value
        if not (name and equals):
            well_formed = False
    if len(values) != len(pairs):
        raise InvalidCommandError("a name stands twice")
    if not well_formed:
        raise InvalidCommandError("expected a list of name=value")
    return values


def _check_idempotence(idempotence: Idempotence, arguments: list[bytes], values: dict[bytes, bytes]) -> None:
    is_idempotent = idempotence is Idempotence.IDEMPOTENT
    if (arguments[0].upper() == CommandName.IDEMPOTENT_REQUEST) != is_idempotent:
        raise InvalidCommandError("the class is not served by this command")
    if is_idempotent and len(arguments) == ARGUMENTS_WITH_BODY:
        raise InvalidCommandError("the class takes no value")
    if idempotence is Idempotence.KEYED and not _IDEMPOTENCY_KEY.fullmatch(
        values.get(CommandField.IDEMPOTENCY_KEY, b"")
    ):
        raise InvalidCommandError("k missing: the class wants an idempotency key")


def _customer_id(text: bytes) -> int:
    customer_id = int(text, 16) if _CUSTOMER_ID.fullmatch(text) else -1
    if not 0 <= customer_id < 1 << CUSTOMER_ID_BITS:
        raise InvalidCommandError("bad customer")
    return customer_id


def _whole_number(values: dict[bytes, bytes], name: bytes, minimum: int, maximum: int) -> int:
    text = values.get(name, b"")
    if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS:
        number = int(text)
        if minimum <= number <= maximum:
            return number
    raise InvalidCommandError(f"bad or missing {name.decode()}")


def _units(values: dict[bytes, bytes], max_units: float) -> float:
    text = values.get(CommandField.UNITS, b"1")
    units = float(text) if _UNITS.fullmatch(text) else -1.0
    if not 0.0 < units <= max_units:
        raise InvalidCommandError("bad units")
    return units
