"""Maintains a few connections to the quota counter: replaces lost ones and abandons stuck ones."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import Protocol

from ..config import Address
from ..observability.logs import RateLimitFilter
from .connection import (
    MAX_PENDING_REQUESTS,
    AbandonReason,
    CounterConnection,
    PendingIncrement,
    PendingPing,
    PendingRequest,
)
from .protocol import CounterResponse

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

CONNECTION_COUNT = 4  # a missing response delays all later requests on its connection
# The delay before the next connection attempt begins at this value and doubles after each failure.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
# A connection is abandoned when its oldest pending request has had no response for this long: the counter's
# machine then counts as failed.
RESPONSE_TIMEOUT_S = 1.0
# A connection that has been idle for this long is pinged. Pings keep the counter from closing it, and detect
# a dead connection.
PING_INTERVAL_S = 2.0


class ConnectionsListener(Protocol):
    """Receives the events of the connections."""

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Handle the response to a request."""

    def on_increments_reset(self, increments: list[PendingIncrement]) -> None:
        """Handle a connection closed before it answered these; the counter may have added any of them."""

    def on_unreachable(self) -> None:
        """Handle a failed connection attempt while no connection is open."""

    def on_connections_changed(self) -> None:
        """Handle a connection that was opened or closed: waiting increments may now be written."""


class CounterConnections:
    """Keeps connections to the counter's current address open; those to a previous address drain."""

    def __init__(self, address: Address, connect_timeout_s: float, listener: ConnectionsListener) -> None:
        self._loop = asyncio.get_running_loop()
        self.time = self._loop.time
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._listener = listener
        self._active: list[CounterConnection] = []
        # Connections to a previous address, which are closed once they have no pending requests.
        self._draining: list[CounterConnection] = []
        self._address_changed = False  # the active connections still go to the previous address
        self._newest_answered_call_at_s = 0.0  # call time of the newest answered request
        self._last_attempt_failed = False
        self._closed = False
        self._connect_task: asyncio.Task[None] | None = None

    def is_unreachable(self) -> bool:
        """Return whether no connection is open and the last attempt to open one failed."""
        return not self._active and self._last_attempt_failed

    def is_active(self, connection: CounterConnection) -> bool:
        """Return whether new increments may be sent on a connection."""
        return connection in self._active

    def pick_connection(self) -> CounterConnection | None:
        """Return the usable connection with the fewest pending requests; None if none is usable."""
        best = None
        fewest = MAX_PENDING_REQUESTS
        for connection in self._active:
            if connection.is_usable() and len(connection.pending) < fewest:
                best = connection
                fewest = len(connection.pending)
        return best

    def change_address(self, address: Address) -> None:
        """Connect to another address; the previous one is used until a connection to it is open."""
        if address == self._address or self._closed:
            return
        log.info("counter_address_changed to=%s:%d", *address)
        self._address = address
        self._address_changed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        self.connect()

    def close(self) -> None:
        """Close all connections after sending buffered data."""
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        for connection in (*self._active, *self._draining):
            connection.close()

    # Opening connections.

    def connect(self) -> None:
        """Open the missing connections, unless connecting is already in progress."""
        if not self._closed and (self._connect_task is None or self._connect_task.done()):
            self._connect_task = self._loop.create_task(self._open_missing())

    async def _open_missing(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while self._address_changed or len(self._active) < CONNECTION_COUNT:
            try:
                connection = await self._open()
            except (OSError, TimeoutError) as error:
                self._on_connect_failed(error)
                # Jitter keeps gateways that lost the counter together from reconnecting together.
                await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
                backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
            else:
                self._on_connected(connection)

    async def _open(self) -> CounterConnection:
        async with asyncio.timeout(self._connect_timeout_s):
            _, connection = await self._loop.create_connection(
                lambda: CounterConnection(self), *self._address
            )
        if connection.closed:
            raise ConnectionResetError("connection closed immediately")
        return connection

    def _on_connect_failed(self, error: Exception) -> None:
        if not self._last_attempt_failed:
            reason = error or "connect timeout"
            log.warning("counter_unreachable address=%s:%d error=%s", *self._address, reason)
        self._last_attempt_failed = True
        if not self._active:
            self._listener.on_unreachable()

    def _on_connected(self, connection: CounterConnection) -> None:
        if self._last_attempt_failed:
            log.info("counter_reachable address=%s:%d", *self._address)
        self._last_attempt_failed = False
        if self._address_changed:
            self._address_changed = False
            self._draining += self._active
            self._active = []
        self._active.append(connection)
        self._listener.on_connections_changed()

    # Callbacks from the connections.

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Forward a response to the listener."""
        if request.called_at_s > self._newest_answered_call_at_s:
            self._newest_answered_call_at_s = request.called_at_s
        self._listener.on_response(request, response)

    def on_connection_closed(self, connection: CounterConnection, reason: str) -> None:
        """Replace a connection that was closed."""
        if self._closed:
            return
        if connection in self._active:
            log.warning("counter_connection_lost address=%s:%d error=%s", *self._address, reason)
            self._remove(connection)
        elif connection in self._draining:
            self._remove(connection)

    def abandon(self, connection: CounterConnection, reason: AbandonReason, line: bytes = b"") -> None:
        """Abort and replace a connection that can no longer be used."""
        text = reason.log_text(line)
        log.warning("counter_connection_abandoned address=%s:%d reason=%s", *self._address, text)
        connection.abort()
        self._remove(connection)

    def _remove(self, connection: CounterConnection) -> None:
        for connections in (self._active, self._draining):
            if connection in connections:
                connections.remove(connection)
        self._listener.on_increments_reset(connection.take_pending_increments())
        self.connect()
        self._listener.on_connections_changed()

    # Periodic checks.

    def check(self, call_timeout_s: float) -> None:
        """Abandon stuck connections, close drained ones, and ping idle ones."""
        now_s = self.time()
        for connection in (*self._active, *self._draining):
            self.abandon_if_response_missing(connection, call_timeout_s)
            self._abandon_if_timed_out(connection, now_s)
        self._close_drained()
        self._ping_idle(now_s)

    def abandon_if_response_missing(self, connection: CounterConnection, call_timeout_s: float) -> bool:
        """Abandon a connection whose oldest request has timed out although newer requests were answered.

        The counter is then not overloaded: a response was lost, and later requests on the connection would be
        matched with the wrong responses. Return whether the connection was abandoned.
        """
        oldest_called_at_s = connection.oldest_called_at_s()
        if oldest_called_at_s is None or self.time() - oldest_called_at_s < call_timeout_s:
            return False
        if oldest_called_at_s >= self._newest_answered_call_at_s:
            return False
        self.abandon(connection, AbandonReason.RESPONSE_MISSING)
        return True

    def _abandon_if_timed_out(self, connection: CounterConnection, now_s: float) -> None:
        oldest_called_at_s = connection.oldest_called_at_s()
        if oldest_called_at_s is not None and now_s - oldest_called_at_s >= RESPONSE_TIMEOUT_S:
            self.abandon(connection, AbandonReason.RESPONSE_TIMEOUT)

    def _close_drained(self) -> None:
        for connection in self._draining[:]:
            if not connection.pending:
                connection.abort()
                self._draining.remove(connection)

    def _ping_idle(self, now_s: float) -> None:
        for connection in self._active:
            if connection.is_idle(now_s, PING_INTERVAL_S):
                connection.write(PendingPing(now_s))
