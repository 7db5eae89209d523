"""The connection pool of an endpoint: reuse, expiry and drain of its connections."""

from __future__ import annotations

from typing import cast

from ...types import Outcome
from ..config import Address
from .attempt import Attempt
from .connection import EndpointConnection
from .connection_context import ConnectionContext
from .connection_limit import ConnectionLimit

REUSE_DELAY_S = 0.005  # minimum idle time before reuse, as a duplicate response may follow the first


class ConnectionPool:
    """The connections to an endpoint at one address."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float,
        connection_limit: ConnectionLimit,
        context: ConnectionContext,
    ) -> None:
        """Create an empty pool whose connections count against `connection_limit`."""
        self.address = address
        self.idle: list[EndpointConnection] = []  # longest idle first
        self.connections: set[EndpointConnection] = set()
        # The end of the drain grace, in s on the event loop's clock; None while the endpoint is in service.
        self.drain_ends_at: float | None = None
        self._connect_timeout_s = connect_timeout_s
        self._connection_limit = connection_limit
        self._context = context
        self._attempt_listener = context.attempt_listener
        self._reporter = context.reporter

    # State.

    def is_draining(self) -> bool:
        """Return whether the endpoint takes no new attempts at this address."""
        return self.drain_ends_at is not None

    def is_drained(self, now: float) -> bool:
        """Return whether the drain grace has passed and all connections are closed."""
        return self.drain_ends_at is not None and not self.connections and now > self.drain_ends_at

    def drain(self, ends_at: float) -> None:
        """Start to drain; attempts that are still connecting may be written until `ends_at`."""
        if self.drain_ends_at is None:
            self.drain_ends_at = ends_at
            self.close_idle()

    # Attempts.

    def start(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt on an idle connection, or open a connection for it."""
        if self.is_draining() and not self._attempt_listener.allows_send(attempt, True, now_ns):
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)
            return
        connection = self.acquire()
        if connection is not None:
            self._send(connection, attempt, False, now_ns)
        elif self._connection_limit.ensure_capacity():
            self._open(attempt)
        else:
            # The gateway is at its connection limit, which is not a failure of the endpoint.
            self._reporter.finish_later(attempt, Outcome.NOT_SENT)

    def acquire(self) -> EndpointConnection | None:
        """Take the most recently idle connection that can be reused; close those that cannot.

        Connections within their reuse delay are skipped. Returns None if there is no reusable connection.
        """
        now = self._context.time()
        idle = self.idle
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if now - connection.idle_since < REUSE_DELAY_S:
                continue
            if not connection.is_expired(now) and connection.is_reusable():
                del idle[index]
                return connection
            connection.close()
        return None

    def _open(self, attempt: Attempt) -> None:
        connection = EndpointConnection(self.address, attempt, self, self._context)
        attempt.connection = connection
        self.connections.add(connection)
        self._connection_limit.record_opened()
        connection.connect(self._connect_timeout_s)

    def _send(self, connection: EndpointConnection, attempt: Attempt, is_drained: bool, now_ns: int) -> None:
        """Write an attempt, or close the connection if the listener does not allow the send."""
        if self._attempt_listener.allows_send(attempt, is_drained, now_ns):
            connection.send(attempt, now_ns)
        else:
            connection.close()
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)

    # Callbacks from connections.

    def on_connected(self, connection: EndpointConnection, /) -> None:
        """Send the attempt the connection was opened for, unless it is too late or its client has left."""
        attempt = cast(Attempt, connection.attempt)
        now_ns = self._context.clock()
        if self._is_past_send_deadline(attempt, now_ns):
            connection.fail(Outcome.CONNECT_FAILED)
        elif not self._attempt_listener.is_client_waiting(attempt):
            connection.fail(Outcome.NOT_SENT)
        else:
            self._send(connection, attempt, self._is_grace_over(), now_ns)

    def on_released(self, connection: EndpointConnection, /) -> None:
        """Make the connection the next to be reused, so that surplus connections expire."""
        if self.drain_ends_at is None:
            self.idle.append(connection)
        else:
            connection.close()

    def on_closed(self, connection: EndpointConnection, /) -> None:
        """Remove a closed connection from the pool."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self._connection_limit.record_closed()
        if connection in self.idle:
            self.idle.remove(connection)

    def _is_past_send_deadline(self, attempt: Attempt, now_ns: int) -> bool:
        """Return whether the drain grace, the idempotency window or the attempt's time has passed.

        The attempt's timeout may be due in this iteration of the event loop without having run yet.
        """
        is_over = attempt.expires_at_ns <= now_ns or 0 < attempt.send_deadline_ns <= now_ns
        return is_over or self._is_grace_over()

    def _is_grace_over(self) -> bool:
        return self.drain_ends_at is not None and self._context.time() >= self.drain_ends_at

    # Closing.

    def close_expired(self, now: float) -> None:
        """Close connections whose idle time exceeds the limit."""
        while self.idle and self.idle[0].is_expired(now):
            self.idle[0].close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self.idle[:]:
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()
