"""One attempt of a request at one endpoint, and the command that it sends."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

import hiredis

from ...edge_names import CommandField, ProbeWord
from ...types import Outcome
from ...units import MILLISECOND
from ..networking.request_command import RequestCommand
from .responses import read_probe_response, read_response

_PAIRS_FORMAT = b"%%b%b=%%d%%b" % CommandField.DEADLINE_MS


class AttemptConnection(Protocol):
    """The connection that carries an attempt, as far as the end of the attempt needs it."""

    has_unsent: bool

    def close(self) -> None:
        """Close at once."""

    def start_deadline_grace(self) -> None:
        """Bound the time that a response which has begun may still take."""


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class Attempt:
    """One attempt of one request at one endpoint; times are read from the gateway's clock."""

    request: int
    number: int
    endpoint: int
    started_at_ns: int
    expires_at_ns: int
    command: RequestCommand
    send_deadline_ns: int = 0  # the command must not be written at this time or later; 0 for no such limit
    response_started_at_ns: int = field(default=0, init=False)  # when the first bytes of a large value came
    ended: bool = field(default=False, init=False)  # its result is reported
    outcome: Outcome | None = field(default=None, init=False)  # None until it has ended
    connection: AttemptConnection | None = field(default=None, init=False)
    timer: asyncio.TimerHandle | None = field(default=None, init=False)  # its own time-out

    read_response = staticmethod(read_response)

    def payload(self, now_ns: int) -> bytes:
        """Return the client's command with `d` set to the attempt's remaining time in ms, rounded up."""
        command = self.command
        time_left_ms = max(1, -(-(self.expires_at_ns - now_ns) // MILLISECOND))
        pairs = _PAIRS_FORMAT % (command.pairs_before_deadline, time_left_ms, command.pairs_after_deadline)
        words: tuple[bytes, ...] = (*command.start, pairs, *command.body)
        packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub lacks bytes
        return packed


_PROBE_COMMAND = RequestCommand(
    start=(ProbeWord.COMMAND, ProbeWord.SECTION),
    pairs_before_deadline=b"",
    pairs_after_deadline=b"",
    body=(),
)


class ProbeAttempt(Attempt):
    """A request for an endpoint's load report, which belongs to no client's request."""

    __slots__ = ()

    read_response = staticmethod(read_probe_response)

    def __init__(self, *, endpoint: int, started_at_ns: int, expires_at_ns: int) -> None:
        super().__init__(
            request=0,
            number=0,
            endpoint=endpoint,
            started_at_ns=started_at_ns,
            expires_at_ns=expires_at_ns,
            command=_PROBE_COMMAND,
        )

    def payload(self, now_ns: int) -> bytes:  # noqa: ARG002  # a probe carries no deadline
        """Return the probe's command."""
        packed: bytes = hiredis.pack_command(self.command.start)  # type: ignore[arg-type]
        return packed
