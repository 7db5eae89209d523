"""One attempt of a request at one endpoint, and the command that it sends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import hiredis

from ...edge_names import CommandField, ProbeWord
from ...types import Outcome
from ...units import MILLISECOND
from .responses import read_probe_response, read_response

if TYPE_CHECKING:
    from .connection import EndpointConnection

CommandParts = tuple[tuple[bytes, ...], bytes, bytes, tuple[bytes, ...]]


class AttemptCommand(NamedTuple):
    """The client's command, divided where the deadline of an attempt goes in."""

    command_start: tuple[bytes, ...]
    pairs_before_deadline: bytes
    pairs_after_deadline: bytes
    body: tuple[bytes, ...]


_PAIRS_FORMAT = b"%%b%b=%%d%%b" % CommandField.DEADLINE_MS
_PROBE_COMMAND = AttemptCommand((ProbeWord.COMMAND, ProbeWord.SECTION), b"", b"", ())


class Attempt:
    """One attempt of one request at one endpoint; times are in ns on the gateway's clock."""

    __slots__ = (
        "command",
        "connection",
        "ended",
        "endpoint",
        "expires_at",
        "number",
        "outcome",
        "request",
        "response_started_at",
        "send_deadline",
        "started_at",
        "timer",
    )

    read_response = staticmethod(read_response)  # the meaning of a whole response to it

    def __init__(
        self,
        request: int,
        number: int,
        endpoint: int,
        started_at: int,
        expires_at: int,
        command_parts: CommandParts,
        send_deadline: int = 0,
    ) -> None:
        """Take `send_deadline` as the time from which on it must not be written; 0 for none."""
        self.request = request
        self.number = number
        self.endpoint = endpoint
        self.started_at = started_at
        self.expires_at = expires_at
        self.send_deadline = send_deadline
        self.command = AttemptCommand(*command_parts)
        self.response_started_at = 0  # when a large value's first bytes came
        self.ended = False  # its result has been reported
        self.outcome: Outcome | None = None  # how it ended, None before
        self.connection: EndpointConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def payload(self, now: int) -> bytes:
        """Return the client's own bytes, but for `d`: the time left to this attempt in ms, rounded up."""
        command = self.command
        time_left_ms = max(1, -(-(self.expires_at - now) // MILLISECOND))
        pairs = _PAIRS_FORMAT % (command.pairs_before_deadline, time_left_ms, command.pairs_after_deadline)
        words: tuple[bytes, ...] = (*command.command_start, pairs, *command.body)
        packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # its stub lacks bytes
        return packed


class ProbeAttempt(Attempt):
    """Asks a endpoint for its load, on a pooled connection like any attempt, but for no request."""

    __slots__ = ()

    read_response = staticmethod(read_probe_response)

    def __init__(self, endpoint: int, started_at: int, expires_at: int) -> None:
        super().__init__(0, 0, endpoint, started_at, expires_at, _PROBE_COMMAND)

    def payload(self, now: int) -> bytes:  # noqa: ARG002  # a probe tells no deadline
        """Return the probe's command."""
        packed: bytes = hiredis.pack_command(self.command.command_start)  # type: ignore[arg-type]
        return packed
