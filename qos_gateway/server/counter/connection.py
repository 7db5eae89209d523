"""One connection to the quota counter, and the requests that wait for a response on it."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import Protocol, cast

from .protocol import (
    MAX_RESPONSE_BYTES,
    PING_REQUEST,
    CounterResponse,
    encode_increment,
    parse_increment_response,
    parse_ping_response,
)

MAX_PENDING = 256  # requests on a connection: more than the counter serves within the response time-out


@dataclass(slots=True, eq=False)
class PendingIncrement:
    """An increment from its call until its response has come; `completed` once the caller knows its end."""

    key: int
    time_to_live: int
    amount: float
    called_at: float
    connection: CounterConnection | None = None  # None until it is written
    completed: bool = False

    def encode(self) -> bytes:
        """Encode the request."""
        return encode_increment(self.key, self.amount, self.time_to_live)

    def parse_response(self, line: bytes) -> CounterResponse | None:
        """Parse the response to this request; None if it makes no sense."""
        return parse_increment_response(line)


@dataclass(slots=True, eq=False)
class PendingPing:
    """A ping from its call until its response has come."""

    called_at: float

    def encode(self) -> bytes:
        """Encode the request."""
        return PING_REQUEST

    def parse_response(self, line: bytes) -> CounterResponse | None:
        """Parse the response to this request; None if it makes no sense."""
        return parse_ping_response(line)


PendingRequest = PendingIncrement | PendingPing


class ConnectionOwner(Protocol):
    """What a connection reports to."""

    def time(self) -> float:
        """Return the time in seconds of the loop's clock."""

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Take the response to the oldest pending request."""

    def abandon(self, connection: CounterConnection, reason: str) -> None:
        """Abort a connection whose responses can no longer be matched with its requests."""

    def on_connection_closed(self, connection: CounterConnection, reason: str) -> None:
        """Note that a connection was closed, by whichever side."""


class CounterConnection(asyncio.Protocol):
    """One connection; `pending` holds the requests without a response, completed or not, in their order."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._partial_line = b""
        self.pending: deque[PendingRequest] = deque()
        self.last_write_at = owner.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Return whether another request may be written."""
        if self._transport is None or self._transport.is_closing():
            return False
        return len(self.pending) < MAX_PENDING

    def write(self, request: PendingRequest) -> None:
        """Write a request on a usable connection; its response is reported to the owner."""
        assert self._transport is not None
        self.last_write_at = self._owner.time()
        self.pending.append(request)
        self._transport.write(request.encode())

    def is_idle(self, now: float, interval_s: float) -> bool:
        """Return whether a ping is due: nothing is pending, and nothing was written for the interval."""
        return self.is_usable() and not self.pending and now - self.last_write_at >= interval_s

    def oldest_called_at(self) -> float | None:
        """Return when the oldest pending request was made; None without one."""
        return self.pending[0].called_at if self.pending else None

    def take_pending_increments(self) -> list[PendingIncrement]:
        """Forget all pending requests and return the increments among them."""
        increments = [request for request in self.pending if isinstance(request, PendingIncrement)]
        self.pending.clear()
        return increments

    def data_received(self, data: bytes) -> None:
        """Match each complete line with the oldest pending request."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._read_line(line.rstrip(b"\r")):
                return
        if len(self._partial_line) > MAX_RESPONSE_BYTES:
            self._owner.abandon(self, "response_too_long")

    def _read_line(self, line: bytes) -> bool:
        """Report the response; return whether the lines behind it can be read."""
        if not self.pending:
            self._owner.abandon(self, "unsolicited_response")
            return False
        response = self.pending[0].parse_response(line)
        if response is None:
            # The increment may have been added all the same, and later responses cannot be matched.
            self._owner.abandon(self, f"invalid_response line={line[:80]!r}")
            return False
        self._owner.on_response(self.pending.popleft(), response)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.closed = True
        self._owner.on_connection_closed(self, str(exc or "closed"))

    def close(self) -> None:
        """Close once everything is written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()
