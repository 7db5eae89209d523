"""A client's connection to a gateway, and the replies on it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol, cast

import hiredis

from soak.gateways import GatewayProcess
from soak.observations import Answer, ConnectionEnd, RequestSeen, ResponseSeen
from soak.order_servers import without_padding

READ_BACKLOG_SLACK_S = 0.3  # after a pause, until all buffered replies are read


class ClientConnectionListener(Protocol):
    """Receives what happens on a client's connection."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle a connection whose requests all have a reply."""

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Handle a request whose connection closed before its reply."""


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway; replies come in the order of the requests."""

    def __init__(self, listener: ClientConnectionListener, gateway: int, process: GatewayProcess) -> None:
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self._reader = hiredis.Reader()
        self._saw_eof = False
        self.gateway = gateway
        self.process = process
        self.pending: deque[RequestSeen] = deque()
        self._unsent: list[RequestSeen] = []  # their bytes are not all in the kernel's buffer yet
        self.transport: asyncio.Transport
        self.answered_at = 0.0
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, and get a call whenever its write buffer is empty."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def is_usable(self) -> bool:
        """Return whether requests can still be written."""
        return not self.is_closed and not self.transport.is_closing()

    def send(self, seen: RequestSeen, command: bytes) -> None:
        """Send a request; its time starts when its last byte is in the kernel's buffer."""
        seen.sent_at = self._loop.time()
        seen.ready_at = self.answered_at
        self.pending.append(seen)
        self.transport.write(command)
        if self._unsent or self.transport.get_write_buffer_size():
            self._unsent.append(seen)

    def resume_writing(self) -> None:
        """Start the time of the requests whose bytes were buffered until now."""
        now = self._loop.time()
        for seen in self._unsent:
            seen.sent_at = now
        self._unsent.clear()

    def data_received(self, data: bytes) -> None:
        """Process each complete reply; reset the connection after a malformed one."""
        now = self._loop.time()
        self._reader.feed(data)
        try:
            while (answer := self._reader.gets()) is not False:
                self._on_answer(answer, now)
        except hiredis.ProtocolError:
            self.transport.abort()

    def _on_answer(self, answer: object, now: float) -> None:
        if not self.pending:
            return
        seen = self.pending.popleft()
        seen.ready_at = max(seen.ready_at, self.answered_at)
        self.answered_at = now
        if isinstance(answer, bytes):
            seen.response = ResponseSeen(at=now, answer=Answer.SERVED, value=without_padding(answer))
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            seen.response = ResponseSeen(at=now, answer=Answer.REJECTED)
        else:
            seen.response = ResponseSeen(at=now, answer=Answer.FAILED)
        if not self.pending:
            self._listener.on_idle(self)

    def eof_received(self) -> bool | None:
        """Record that the gateway closed the connection without a reset."""
        self._saw_eof = True
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection for each request without a reply."""
        self.is_closed = True
        now = self._loop.time()
        if self.pending and self._reader.has_data() and self.pending[0].client_closed_at is None:
            # The client has a part of this value, so it knows that the request failed.
            truncated = self.pending.popleft()
            truncated.response = ResponseSeen(at=now, answer=Answer.FAILED)
        for seen in self.pending:
            if seen.client_closed_at is None:
                by_reset = exc is not None or not self._saw_eof
                seen.connection_end = ConnectionEnd(at=now, by_reset=by_reset)
                self._listener.on_unanswered(self, seen)
        self.pending.clear()

    def pause_reading(self, duration_s: float) -> None:
        """Read nothing for a while; replies that are late because of it do not count as late."""
        self.transport.pause_reading()
        self._loop.call_later(duration_s, self._resume_reading)

    def _resume_reading(self) -> None:
        if self.is_usable():
            self.transport.resume_reading()
            self.answered_at = self._loop.time() + READ_BACKLOG_SLACK_S
            for seen in self.pending:
                seen.ready_at = max(seen.ready_at, self.answered_at)

    def disconnect(self) -> None:
        """Reset the connection, whether or not requests are pending."""
        now = self._loop.time()
        for seen in self.pending:
            seen.client_closed_at = now
        self.is_closed = True
        self.transport.abort()
