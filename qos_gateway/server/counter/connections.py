"""The connections to the quota counter: keep a few open, replace lost ones, abandon those that are stuck."""

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

CONNECTION_COUNT = 4  # several, as a missing response delays all requests behind it on its connection
INITIAL_BACKOFF_S = 0.05  # between attempts to connect; doubles with each that fails
MAX_BACKOFF_S = 0.5
RESPONSE_TIMEOUT_S = 1.0  # for the oldest pending request: the counter's machine counts as stopped
PING_INTERVAL_S = 2.0  # of idleness: the counter closes idle connections, and a ping finds a dead one


class ConnectionsListener(Protocol):
    """What the connections report to."""

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Handle the response to a request."""

    def on_increments_reset(self, increments: list[PendingIncrement]) -> None:
        """Note that a connection ended before the responses to these; any may have been added."""

    def on_unreachable(self) -> None:
        """Note that an attempt to connect failed and no connection is open."""

    def on_connections_changed(self) -> None:
        """Note that a connection was opened or has ended: waiting increments may be written now."""


class CounterConnections:
    """Keeps connections open to the counter's current address; those to the previous address drain."""

    def __init__(self, address: Address, connect_timeout_s: float, listener: ConnectionsListener) -> None:
        self._loop = asyncio.get_running_loop()
        self.time = self._loop.time
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._listener = listener
        self._active: list[CounterConnection] = []
        self._draining: list[CounterConnection] = []  # at the previous address, until their last response
        self._address_changed = False  # the active connections still lead to the previous address
        self._newest_answered_call_at_s = 0.0  # when the latest of the answered requests was made
        self._last_attempt_failed = False
        self._closed = False
        self._connect_task: asyncio.Task[None] | None = None

    def is_unreachable(self) -> bool:
        """Return whether no connection is open and the last attempt to open one failed."""
        return not self._active and self._last_attempt_failed

    def is_active(self, connection: CounterConnection) -> bool:
        """Return whether a connection is used for new increments."""
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
        """Connect to another address; until a connection is open there, the previous one is used."""
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
        """Close all connections once what was written is sent."""
        self._closed = True
        if self._connect_task is not None:
            self._connect_task.cancel()
        for connection in (*self._active, *self._draining):
            connection.close()

    # Opening connections.

    def connect(self) -> None:
        """Open the missing connections, unless an attempt is in progress."""
        if not self._closed and (self._connect_task is None or self._connect_task.done()):
            self._connect_task = self._loop.create_task(self._open_missing())

    async def _open_missing(self) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while self._address_changed or len(self._active) < CONNECTION_COUNT:
            try:
                connection = await self._open()
            except (OSError, TimeoutError) as error:
                self._on_connect_failed(error)
                # Jitter, or gateways whose counter failed would reconnect together.
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
            raise ConnectionResetError("closed at once")
        return connection

    def _on_connect_failed(self, error: Exception) -> None:
        if not self._last_attempt_failed:
            reason = error or "no connection in time"
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

    # Reports of the connections.

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Forward a response to the listener."""
        if request.called_at_s > self._newest_answered_call_at_s:
            self._newest_answered_call_at_s = request.called_at_s
        self._listener.on_response(request, response)

    def on_connection_closed(self, connection: CounterConnection, reason: str) -> None:
        """Open another connection in place of one that was closed."""
        if self._closed:
            return
        if connection in self._active:
            log.warning("counter_connection_lost address=%s:%d error=%s", *self._address, reason)
            self._remove(connection)
        elif connection in self._draining:
            self._remove(connection)

    def abandon(self, connection: CounterConnection, reason: AbandonReason, line: bytes = b"") -> None:
        """Abort a connection that can no longer be used, and open another in its place."""
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

    # Checks at intervals.

    def check(self, call_timeout_s: float) -> None:
        """Abandon stuck connections, close those that have drained, and ping those that are idle."""
        now_s = self.time()
        for connection in (*self._active, *self._draining):
            self.abandon_if_response_missing(connection, call_timeout_s)
            self._abandon_if_timed_out(connection, now_s)
        self._close_drained()
        self._ping_idle(now_s)

    def abandon_if_response_missing(self, connection: CounterConnection, call_timeout_s: float) -> bool:
        """Abandon a connection whose oldest request has timed out though newer requests were answered.

        The counter is not overloaded then: one response was lost, and no request behind it would get its own.
        Return whether the connection was abandoned.
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
