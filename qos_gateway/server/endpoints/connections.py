"""The connection pools of all endpoints, under one connection limit, and the attempts on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ...types import Outcome
from ..config import Address
from ..memory.budget import MemoryBudget
from ..networking.read_size import READ_BUFFER_BYTES
from ..observability.metrics import Metrics
from .attempt import Attempt
from .attempt_reporter import AttemptListener, AttemptReporter
from .connection_context import ConnectionContext
from .connection_limit import ConnectionLimit
from .connection_pool import ConnectionPool
from .keep_alive import KeepAliveEstimator
from .responses import AttemptResult

# Connections are closed after this fraction of the configured idle time, well before the endpoint does so.
KEEP_ALIVE_FRACTION = 0.5
# The next two are deducted from the drain grace, because the process may be paused between reading the clock
# and writing, and the event loop may be delayed.
MAX_PROCESS_PAUSE_S = 0.15
LOOP_DELAY_MARGIN_S = 0.02
SWEEP_INTERVAL_S = 1.0  # also the interval at which the keep-alive counts decay


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class EndpointLimits:
    """Configured limits on connections to endpoints."""

    max_connections: int  # total for all endpoints
    connect_timeout_s: float
    max_idle_s: float
    drain_grace_s: float  # nothing may be written to an endpoint that has been draining for longer


class EndpointConnections:
    """All connection pools, with a total limit so that file descriptors do not run out."""

    def __init__(
        self,
        limits: EndpointLimits,
        clock: Callable[[], int],
        attempt_listener: AttemptListener,
        metrics: Metrics,
        memory: MemoryBudget,
    ) -> None:
        """Start the periodic sweep of idle connections; requires a running event loop.

        `clock` is the gateway's clock, in ns.
        """
        loop = asyncio.get_running_loop()
        self.keep_alive = KeepAliveEstimator(limits.max_idle_s * KEEP_ALIVE_FRACTION)
        self.context = ConnectionContext(
            loop=loop,
            time=loop.time,
            clock=clock,
            keep_alive=self.keep_alive,
            attempt_listener=attempt_listener,
            reporter=AttemptReporter(loop, attempt_listener, metrics),
            memory=memory,
            read_buffer=memoryview(bytearray(READ_BUFFER_BYTES)),
        )
        self._reporter = self.context.reporter
        self._connection_limit = ConnectionLimit(limits.max_connections, self._close_idle_connection, memory)
        self._connect_timeout_s = limits.connect_timeout_s
        self._drain_grace_s = max(0.0, limits.drain_grace_s - MAX_PROCESS_PAUSE_S - LOOP_DELAY_MARGIN_S)
        self._pools: dict[int, ConnectionPool] = {}
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # Pools.

    @property
    def open_connections(self) -> int:
        """Return the number of open and connecting connections."""
        return self._connection_limit.open_count

    @property
    def max_connections(self) -> int:
        """Return the current limit on open connections."""
        return self._connection_limit.maximum

    def restrict_connections(self, max_connections: int | None) -> None:
        """Lower the limit while two processes share it; None restores the configured limit."""
        self._connection_limit.set_temporary_maximum(max_connections)

    def set_address(self, endpoint: int, address: Address | None) -> None:
        """Set the address of an endpoint; None drains its pool, which then takes no new attempts."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            if pool.address == address and not pool.is_draining():
                return
            pool.drain(self.context.time() + self._drain_grace_s)
        if address is not None:
            self._pools[endpoint] = ConnectionPool(
                address, self._connect_timeout_s, self._connection_limit, self.context
            )

    def endpoint_ids(self) -> list[int]:
        """Return the ids of all endpoints that have a pool."""
        return list(self._pools)

    def has_usable_endpoint(self) -> bool:
        """Return whether any endpoint accepts requests."""
        return any(not pool.is_draining() for pool in self._pools.values())

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def close_idle_connections(self, endpoint: int) -> None:
        """Close an endpoint's idle connections."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        self._sweep_timer.cancel()
        for pool in self._pools.values():
            pool.close()

    def _close_idle_connection(self) -> None:
        """Close the longest idle connection of the endpoint with the most idle connections."""
        pool_to_trim = max(self._pools.values(), key=lambda pool: len(pool.idle), default=None)
        if pool_to_trim is not None and pool_to_trim.idle:
            pool_to_trim.idle[0].close()

    def _sweep(self) -> None:
        """Close expired connections and remove drained pools; runs once a second."""
        self._sweep_timer = self.context.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.keep_alive.decay()
        now = self.context.time()
        for endpoint, pool in list(self._pools.items()):
            pool.close_expired(now)
            if pool.is_drained(now):
                del self._pools[endpoint]

    # Attempts.

    def start_attempt(self, attempt: Attempt, timeout_s: float | None) -> None:
        """Start an attempt; its end is reported exactly once, after this method has returned."""
        if timeout_s is not None:
            attempt.timer = self.context.loop.call_later(timeout_s, self.expire_attempt, attempt)
        pool = self._pools.get(attempt.endpoint)
        if pool is None:
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)
        else:
            pool.start(attempt, attempt.started_at_ns)

    def expire_attempt(self, attempt: Attempt) -> None:
        """End a timed-out attempt: as not executed if any byte is unsent, else as possibly executed.

        An endpoint whose response the gateway does not read is not at fault.
        """
        if attempt.connection is not None and attempt.connection.is_paused:
            self._close_and_finish(attempt, Outcome.CANCELLED)
            return
        self._close_and_finish(
            attempt, Outcome.CONNECT_FAILED if self._is_unsent(attempt) else Outcome.TIMEOUT
        )

    def start_deadline_grace(self, attempt: Attempt) -> None:
        """Limit the time that a large value may still take after its client's deadline."""
        if attempt.connection is not None:
            attempt.connection.start_deadline_grace()

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose response is no longer needed."""
        self._close_and_finish(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt whose response is no longer needed, unless it has been sent in full."""
        if self._is_unsent(attempt):
            self._close_and_finish(attempt, Outcome.NOT_SENT)

    def _is_unsent(self, attempt: Attempt) -> bool:
        return attempt.connection is None or attempt.connection.has_unsent

    def _close_and_finish(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            # A late response would be read as the response to the connection's next attempt.
            attempt.connection.close()
        self._reporter.finish(attempt, AttemptResult.without_response(outcome))
