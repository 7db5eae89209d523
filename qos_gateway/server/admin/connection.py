"""One connection of the operators' API: a request within a bounded time, its response, and the end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from .http import AdminRequest, HttpError, HttpExchange, HttpResponse
from .routes import find_route

REQUEST_TIMEOUT_S = 2.0  # from connecting until the request is complete; operators wait 1 s for an answer
CLOSE_TIMEOUT_S = 0.5  # for the client to take the response and close


class ConnectionOwner(Protocol):
    """The server that a connection belongs to."""

    loop: asyncio.AbstractEventLoop

    def connection_opened(self, connection: AdminConnection) -> None:
        """Count the connection in."""

    def connection_closed(self, connection: AdminConnection) -> None:
        """Count the connection out."""

    def handle(self, connection: AdminConnection, request: AdminRequest) -> None:
        """Answer the connection's one request, now or later."""


class AdminConnection(asyncio.Protocol):
    """Serve one request, then close."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.awaits_request = True
        self._owner = owner
        self._exchange = HttpExchange(find_route)
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the time within which the request must be complete."""
        self._transport = cast(asyncio.Transport, transport)
        self._start_timer(REQUEST_TIMEOUT_S, self._expire)
        self._owner.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Read on in the request; data behind it is dropped."""
        if not self.awaits_request:
            return
        try:
            request = self._exchange.receive(data)
        except HttpError as error:
            self.answer(error.to_response())
            return
        if request is None:
            self._write(self._exchange.encode_continue())
            return
        self.awaits_request = False
        self._owner.handle(self, request)

    def answer(self, response: HttpResponse) -> None:
        """Send the response and let the client close; after a moment the connection is aborted.

        Of several responses, as where the request timed out while it was handled, only the first is sent.
        """
        self.awaits_request = False
        self._cancel_timer()
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing():
            return
        self._write(self._exchange.encode(response))
        # Half-close: to close while data is unread would reset the connection, and lose the response.
        transport.write_eof()
        self._start_timer(CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Close at once."""
        self._cancel_timer()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Stop the timer and leave the server."""
        self.awaits_request = False
        self._cancel_timer()
        self._owner.connection_closed(self)

    def _expire(self) -> None:
        self.answer(HttpResponse(408, b"no whole call in time\n"))

    def _write(self, data: bytes) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if data and not transport.is_closing():
            transport.write(data)

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timer = self._owner.loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
