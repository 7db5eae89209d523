"""A connection to the quota counter, and its pending requests."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, cast

from .protocol import (
    PING_REQUEST,
    CounterResponse,
    LineBuffer,
    encode_increment,
    parse_increment_response,
    parse_ping_response,
)

# Limits the requests without a response on one connection; the counter answers fewer than this within the
# response timeout.
MAX_PENDING_REQUESTS = 256
MAX_LOGGED_LINE_BYTES = 80


class AbandonReason(Enum):
    """The reason in the log event counter_connection_abandoned; each value is its format string."""

    INVALID_RESPONSE = "invalid_response line={line!r}"
    RESPONSE_MISSING = "response_missing"
    RESPONSE_TIMEOUT = "response_timeout"
    RESPONSE_TOO_LONG = "response_too_long"
    UNSOLICITED_RESPONSE = "unsolicited_response"

    def log_text(self, line: bytes = b"") -> str:
        """Return the reason, with the received line truncated."""
        return self.value.format(line=line[:MAX_LOGGED_LINE_BYTES])


@dataclass(slots=True, eq=False)
class PendingIncrement:
    """An increment without a response yet; `completed` is set once its outcome is reported.

    `called_at_s` is on the event loop's clock.
    """

    key: int
    time_to_live_ns: int
    amount: float
    called_at_s: float
    connection: CounterConnection | None = None  # None until it is written
    completed: bool = False

    def encode(self) -> bytes:
        """Encode the request."""
        return encode_increment(self.key, self.amount, self.time_to_live_ns)

    def parse_response(self, line: bytes) -> CounterResponse | None:
        """Parse the response to this request; None if it is invalid."""
        return parse_increment_response(line)


@dataclass(slots=True, eq=False)
class PendingPing:
    """A ping without a response yet; `called_at_s` is on the event loop's clock."""

    called_at_s: float

    def encode(self) -> bytes:
        """Encode the request."""
        return PING_REQUEST

    def parse_response(self, line: bytes) -> CounterResponse | None:
        """Parse the response to this request; None if it is invalid."""
        return parse_ping_response(line)


PendingRequest = PendingIncrement | PendingPing


class ConnectionListener(Protocol):
    """Receives the events of a connection."""

    def time(self) -> float:
        """Return the event loop's time in seconds."""

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Handle the response to the oldest pending request."""

    def abandon(self, connection: CounterConnection, reason: AbandonReason, line: bytes = b"") -> None:
        """Abort a connection whose responses can no longer be matched with its requests.

        `line` is the received response, for the log.
        """

    def on_connection_closed(self, connection: CounterConnection, reason: str) -> None:
        """Handle the closing of a connection by either side."""


class CounterConnection(asyncio.Protocol):
    """A connection; `pending` holds the unanswered requests in order, including completed increments."""

    def __init__(self, listener: ConnectionListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._lines = LineBuffer()
        self.pending: deque[PendingRequest] = deque()
        self.last_write_at_s = listener.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def is_usable(self) -> bool:
        """Return whether another request may be written."""
        if self._transport is None or self._transport.is_closing():
            return False
        return len(self.pending) < MAX_PENDING_REQUESTS

    def write(self, request: PendingRequest) -> None:
        """Write a request on a usable connection; its response is reported to the listener."""
        assert self._transport is not None
        self.last_write_at_s = self._listener.time()
        self.pending.append(request)
        self._transport.write(request.encode())

    def is_idle(self, now_s: float, interval_s: float) -> bool:
        """Return whether a ping is due: nothing is pending or was written during the interval."""
        return self.is_usable() and not self.pending and now_s - self.last_write_at_s >= interval_s

    def oldest_called_at_s(self) -> float | None:
        """Return when the oldest pending request was made; None if none is pending."""
        return self.pending[0].called_at_s if self.pending else None

    def take_pending_increments(self) -> list[PendingIncrement]:
        """Remove all pending requests and return the increments among them."""
        increments = [request for request in self.pending if isinstance(request, PendingIncrement)]
        self.pending.clear()
        return increments

    def data_received(self, data: bytes) -> None:
        """Match each complete line with the oldest pending request."""
        for line in self._lines.add(data):
            if not self._read_line(line):
                return
        if self._lines.is_too_long():
            self._listener.abandon(self, AbandonReason.RESPONSE_TOO_LONG)

    def _read_line(self, line: bytes) -> bool:
        """Report a response; return whether the following lines can be read."""
        if not self.pending:
            self._listener.abandon(self, AbandonReason.UNSOLICITED_RESPONSE)
            return False
        response = self.pending[0].parse_response(line)
        if response is None:
            # The counter may have added the increment, and later responses cannot be matched.
            self._listener.abandon(self, AbandonReason.INVALID_RESPONSE, line)
            return False
        self._listener.on_response(self.pending.popleft(), response)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection was closed."""
        self.closed = True
        self._listener.on_connection_closed(self, str(exc or "closed"))

    def close(self) -> None:
        """Close after sending buffered data."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close without sending buffered data."""
        if self._transport is not None:
            self._transport.abort()
