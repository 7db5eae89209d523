"""A connection of the admin API, which serves one request within a time limit and then closes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf
from typing import Protocol, cast

from ..networking.acknowledgements import Acknowledgements
from ..networking.lingering_close import CloseDecision, LingeringClose
from ..networking.socket_queues import socket_queues
from .http import AdminRequest, HttpError, HttpExchange, HttpResponse
from .routes import find_route

# Covers the time from the connect to the complete request; operators wait 1 s for a response.
REQUEST_TIMEOUT_S = 2.0
CLOSE_CHECK_INTERVAL_S = 0.05  # between checks whether the response has arrived


class AdminConnectionListener(Protocol):
    """Receives the events of a connection."""

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register an open connection."""

    def connection_closed(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""

    def handle(self, connection: AdminConnection, request: AdminRequest) -> None:
        """Answer the connection's only request through `answer`, immediately or later."""


class AdminConnection(asyncio.Protocol):
    """Serves one request, then closes the connection."""

    def __init__(self, listener: AdminConnectionListener) -> None:
        """Report the events of the connection to `listener`; requires a running event loop."""
        self.awaits_request = True
        self._listener = listener
        self._loop = asyncio.get_running_loop()
        self._exchange = HttpExchange(find_route)
        self._transport: asyncio.Transport | None = None
        self._has_received_eof = False
        self._lingering_close: LingeringClose | None = None  # None until the response is written
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection as open, and start the timeout of its request."""
        self._transport = cast(asyncio.Transport, transport)
        self._start_timer(REQUEST_TIMEOUT_S, self._time_out_request)
        self._listener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse the request; data after its end is discarded."""
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
        self._listener.handle(self, request)

    def eof_received(self) -> bool:
        """Keep the connection open for the response if the client has only shut down its sending side."""
        self._has_received_eof = True
        return not self.awaits_request and self._lingering_close is None

    def answer(self, response: HttpResponse) -> None:
        """Send the response, and close the connection once the client has received it.

        Only the first response is sent, as a request may time out while its handler is running.
        """
        self.awaits_request = False
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing() or self._lingering_close is not None:
            return
        self._cancel_timer()
        self._write(self._exchange.encode(response))
        now_s = self._loop.time()
        self._lingering_close = LingeringClose(now_s, now_s, socket_queues(transport), Acknowledgements())
        transport.write_eof()
        self._start_timer(CLOSE_CHECK_INTERVAL_S, self._continue_closing)

    def is_delivered(self) -> bool:
        """Return whether the response was sent and the client has acknowledged all of it."""
        if self._transport is None or self._lingering_close is None:
            return False
        return socket_queues(self._transport).without_end_of_stream().is_empty

    def _continue_closing(self) -> None:
        """Close the connection if the client has received the response, or takes too long for it."""
        transport = cast(asyncio.Transport, self._transport)
        lingering_close = cast(LingeringClose, self._lingering_close)
        is_buffered = transport.get_write_buffer_size() > 0
        queues = socket_queues(transport).without_end_of_stream()
        decision = lingering_close.decide(self._loop.time(), queues, self._has_received_eof, is_buffered, inf)
        if decision is CloseDecision.WAIT:
            self._start_timer(CLOSE_CHECK_INTERVAL_S, self._continue_closing)
        else:
            self.abort()

    def abort(self) -> None:
        """Close the connection immediately and discard unsent data."""
        self._cancel_timer()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Cancel the timer, and report the connection as closed."""
        self.awaits_request = False
        self._cancel_timer()
        self._listener.connection_closed(self)

    def _time_out_request(self) -> None:
        self.answer(HttpResponse(408, b"no whole call in time\n"))

    def _write(self, data: bytes) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if data and not transport.is_closing():
            transport.write(data)

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
