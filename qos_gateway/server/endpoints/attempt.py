"""An attempt to send a request to an endpoint, and the command it writes."""

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
    """The operations on an attempt's connection that are needed to end the attempt."""

    has_unsent: bool

    @property
    def is_paused(self) -> bool:
        """Return whether the gateway does not read the response, for lack of memory or a slow client."""

    def close(self) -> None:
        """Close immediately."""

    def start_deadline_grace(self) -> None:
        """Limit the remaining time of a partially received response."""


@dataclass(slots=True, kw_only=True, eq=False, repr=False)
class Attempt:
    """One attempt to send a request to an endpoint; times are in ns on the gateway's clock."""

    request: int
    number: int
    endpoint: int
    started_at_ns: int
    expires_at_ns: int
    command: RequestCommand
    send_deadline_ns: int = 0  # the command must be written before this time; 0 means no limit
    # When the first bytes came of a large value, or of a response that waits for memory; 0 for others.
    response_started_at_ns: int = field(default=0, init=False)
    ended: bool = field(default=False, init=False)  # True once the result has been reported
    outcome: Outcome | None = field(default=None, init=False)  # None until it has ended
    connection: AttemptConnection | None = field(default=None, init=False)
    timer: asyncio.TimerHandle | None = field(default=None, init=False)  # the attempt's timeout

    read_response = staticmethod(read_response)

    def payload(self, now_ns: int) -> tuple[bytes, ...]:
        """Return the parts of the client's command, with `d` set to the remaining time in ms, rounded up.

        The body is a part of its own, so that an attempt that is written slowly holds no copy of it.
        """
        command = self.command
        time_left_ms = max(1, -(-(self.expires_at_ns - now_ns) // MILLISECOND))
        pairs = _PAIRS_FORMAT % (command.pairs_before_deadline, time_left_ms, command.pairs_after_deadline)
        words: tuple[bytes, ...] = (*command.start, pairs)
        packed: bytes = hiredis.pack_command(words)  # type: ignore[arg-type]  # stub lacks bytes
        if not command.body:
            return (packed,)
        (body,) = command.body
        head = b"*%d%b$%d\r\n" % (len(words) + 1, packed[packed.index(b"\r") :], len(body))
        return head, body, b"\r\n"


_PROBE_COMMAND = RequestCommand(
    start=(ProbeWord.COMMAND, ProbeWord.SECTION),
    pairs_before_deadline=b"",
    pairs_after_deadline=b"",
    body=(),
)


class ProbeAttempt(Attempt):
    """A request for an endpoint's load report, sent by the gateway itself."""

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

    def payload(self, now_ns: int) -> tuple[bytes, ...]:  # noqa: ARG002  # a probe carries no deadline
        """Return the probe's command."""
        packed: bytes = hiredis.pack_command(self.command.start)  # type: ignore[arg-type]
        return (packed,)
