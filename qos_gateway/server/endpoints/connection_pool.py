"""The connections to one endpoint: acquired by attempts, released to be reused, closed when they expire."""

from __future__ import annotations

from typing import cast

from ...types import Outcome
from ..config import Address
from .attempt import Attempt
from .connection import EndpointConnection
from .connection_context import ConnectionContext
from .connection_limit import ConnectionLimit

REUSE_DELAY_S = 0.005  # idle time before reuse: a repeated response may follow the first


class ConnectionPool:
    """The connections to one endpoint at one address."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float,
        connection_limit: ConnectionLimit,
        context: ConnectionContext,
    ) -> None:
        """Create an empty pool whose connections count against `connection_limit`."""
        self.address = address
        self.idle: list[EndpointConnection] = []  # the one that has been idle longest comes first
        self.connections: set[EndpointConnection] = set()
        self.drain_ends_at: float | None = None  # in s on the loop's clock; None while it is in service
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
        """Return whether the drain is over and the last connection closed."""
        return self.drain_ends_at is not None and not self.connections and now > self.drain_ends_at

    def drain(self, ends_at: float) -> None:
        """Take the endpoint out of service; attempts that still connect may be written until `ends_at`."""
        if self.drain_ends_at is None:
            self.drain_ends_at = ends_at
            self.close_idle()

    # Attempts.

    def start(self, attempt: Attempt, now_ns: int) -> None:
        """Send an attempt on an idle connection, or open one for it."""
        if self.is_draining() and not self._attempt_listener.allows_send(attempt, True, now_ns):
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)
            return
        connection = self.acquire()
        if connection is not None:
            self._send(connection, attempt, False, now_ns)
        elif self._connection_limit.ensure_capacity():
            self._open(attempt)
        else:
            # This gateway lacks the descriptors, which says nothing of the endpoint.
            self._reporter.finish_later(attempt, Outcome.NOT_SENT)

    def acquire(self) -> EndpointConnection | None:
        """Remove and return the connection that became idle last; close unusable ones that come before it."""
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
        """Write an attempt, or close the connection where the listener does not allow it."""
        if self._attempt_listener.allows_send(attempt, is_drained, now_ns):
            connection.send(attempt, now_ns)
        else:
            connection.close()
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)

    # Calls of the connections.

    def on_connected(self, connection: EndpointConnection, /) -> None:
        """Send the attempt that the connection was opened for, if that is still allowed and wanted."""
        attempt = cast(Attempt, connection.attempt)
        now_ns = self._context.clock()
        if self._is_past_send_deadline(attempt, now_ns):
            connection.fail(Outcome.CONNECT_FAILED)
        elif not self._attempt_listener.is_client_waiting(attempt):
            connection.fail(Outcome.NOT_SENT)
        else:
            self._send(connection, attempt, self._is_grace_over(), now_ns)

    def on_released(self, connection: EndpointConnection, /) -> None:
        """Keep an idle connection as the next to be reused, so that the others expire."""
        if self.drain_ends_at is None:
            self.idle.append(connection)
        else:
            connection.close()

    def on_closed(self, connection: EndpointConnection, /) -> None:
        """Forget a closed connection."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self._connection_limit.record_closed()
        if connection in self.idle:
            self.idle.remove(connection)

    def _is_past_send_deadline(self, attempt: Attempt, now_ns: int) -> bool:
        """Return whether the drain's grace, the idempotency window or the attempt's time is over.

        The attempt's time-out may be due in this turn of the event loop without having run yet.
        """
        is_over = attempt.expires_at_ns <= now_ns or 0 < attempt.send_deadline_ns <= now_ns
        return is_over or self._is_grace_over()

    def _is_grace_over(self) -> bool:
        return self.drain_ends_at is not None and self._context.time() >= self.drain_ends_at

    # Closing.

    def close_expired(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
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
