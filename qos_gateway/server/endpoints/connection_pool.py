"""The connections to one endpoint: acquired by attempts, released to be reused, closed when they expire."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

from ...types import Outcome
from ..config import Address
from ..networking.transient_errors import is_shortage
from .attempt import Attempt
from .connection import EndpointConnection
from .responses import AttemptResult

if TYPE_CHECKING:
    from .connections import EndpointConnections

REUSE_DELAY_S = 0.005  # idle after a response where another connection is free: a repeat of it may follow


class ConnectionPool:
    """The connections to one endpoint at one address."""

    def __init__(self, owner: EndpointConnections, address: Address) -> None:
        """Create an empty pool whose connections count against the limit of `owner`."""
        self.owner = owner
        self.address = address
        self.idle: list[EndpointConnection] = []  # the one that has been idle longest comes first
        self.connections: set[EndpointConnection] = set()
        self.drain_ends_at: float | None = None  # on the loop's clock; None while it is in service

    def is_draining(self) -> bool:
        """Return whether the endpoint takes no new attempts at this address."""
        return self.drain_ends_at is not None

    def is_drained(self, now: float) -> bool:
        """Return whether the drain is over and the last connection closed."""
        return self.drain_ends_at is not None and not self.connections and now > self.drain_ends_at

    def start(self, attempt: Attempt, now: int) -> None:
        """Send an attempt on an idle connection, or open one for it."""
        if self.is_draining() and not self.owner.allows_send(attempt, True, now):
            self.owner.loop.call_soon(self.owner.connect_failed, attempt)
            return
        connection = self.acquire()
        if connection is not None:
            self._send(connection, attempt, False, now)
        elif self.owner.ensure_capacity():
            self._open(attempt)
        else:
            # This gateway lacks the descriptors, whatever the endpoint does.
            self.owner.loop.call_soon(self.owner.not_sent, attempt)

    def acquire(self) -> EndpointConnection | None:
        """Take the connection out that became idle last; close those on the way that can't be used."""
        now = self.owner.time()
        idle = self.idle
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if now - connection.idle_since < REUSE_DELAY_S:
                continue
            if not connection.is_expired(now) and connection.is_clean():
                del idle[index]
                return connection
            connection.close()
        return None

    def release(self, connection: EndpointConnection) -> None:
        """Put a connection back as the next to be reused: the others stay idle until they expire."""
        if connection.paused:
            connection.resume()
        if self.drain_ends_at is not None:
            connection.close()
            return
        connection.idle_since = self.owner.time()
        self.idle.append(connection)

    def remove(self, connection: EndpointConnection) -> None:
        """Forget a connection that is closed."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.owner.open_connections -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def drain(self, ends_at: float) -> None:
        """Take the endpoint out of service; what still connects may be written until `ends_at`."""
        if self.drain_ends_at is None:
            self.drain_ends_at = ends_at
            self.close_idle()

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

    def _open(self, attempt: Attempt) -> None:
        connection = EndpointConnection(self, attempt)
        attempt.connection = connection
        self.connections.add(connection)
        owner = self.owner
        owner.open_connections += 1
        connection.timer = owner.loop.call_later(owner.connect_timeout_s, self._connect_failed, connection)
        connection.connect_task = owner.loop.create_task(self._connect(connection))

    async def _connect(self, connection: EndpointConnection) -> None:
        try:
            await self.owner.loop.create_connection(lambda: connection, *self.address)
        except OSError as error:
            self._close_unused(connection, Outcome.NOT_SENT if is_shortage(error) else Outcome.CONNECT_FAILED)

    def _connect_failed(self, connection: EndpointConnection) -> None:
        """End the attempt of a connection that was refused or too late: it was certainly not executed."""
        self._close_unused(connection, Outcome.CONNECT_FAILED)

    def connected(self, connection: EndpointConnection, /) -> None:
        """Send the attempt that the connection was opened for, if that is still allowed and wanted."""
        attempt = cast(Attempt, connection.attempt)
        connection.cancel_timer()
        now = self.owner.clock()
        if self._is_too_late(attempt, now):
            self._close_unused(connection, Outcome.CONNECT_FAILED)
        elif not self.owner.is_wanted(attempt):
            self._close_unused(connection, Outcome.NOT_SENT)
        else:
            self._send(connection, attempt, self._is_grace_over(), now)

    def _send(self, connection: EndpointConnection, attempt: Attempt, is_drained: bool, now: int) -> None:
        """Write an attempt, or give the connection up where the guard refuses it."""
        if self.owner.allows_send(attempt, is_drained, now):
            connection.send(attempt, now)
        else:
            connection.close()
            # Later, as an attempt never ends before its start has returned.
            self.owner.loop.call_soon(self.owner.connect_failed, attempt)

    def _is_too_late(self, attempt: Attempt, now: int) -> bool:
        """Return whether the drain's grace, the idempotency window or its time ended while it connected.

        Its time-out may be due in the same turn of the loop, and not have run yet.
        """
        is_over = attempt.expires_at_ns <= now or 0 < attempt.send_deadline_ns <= now
        return is_over or self._is_grace_over()

    def _is_grace_over(self) -> bool:
        return self.drain_ends_at is not None and self.owner.time() >= self.drain_ends_at

    def _close_unused(self, connection: EndpointConnection, outcome: Outcome) -> None:
        attempt = connection.attempt
        connection.close()
        if attempt is not None:
            self.owner.finish_attempt(attempt, AttemptResult.without_response(outcome))
