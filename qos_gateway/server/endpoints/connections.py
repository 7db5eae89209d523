"""The connection pools of all endpoints, bounded together, and the attempts that run on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ...types import Outcome
from ..config import Address
from ..networking.clock import monotonic_unix_ns
from ..networking.value_stream import FlowControl, ResponseSink
from ..observability.metrics import Metrics
from .attempt import Attempt, ProbeAttempt
from .connection_pool import REUSE_DELAY_S, ConnectionPool
from .keep_alive import KeepAliveEstimator
from .response_receiver import ResponseStartedCallback
from .responses import AttemptResult, LoadReport

__all__ = [
    "REUSE_DELAY_S",
    "Attempt",
    "EndpointConnections",
    "FlowControl",
    "LoadReport",
    "ProbeAttempt",
    "ResponseSink",
    "monotonic_unix_ns",
]

KEEP_ALIVE_FRACTION = 0.5  # of the configured idle time: closed well before the endpoint does so
MAX_HOLD_UP_S = 0.15  # for which a process may be held up between reading its clock and writing ...
HOLD_UP_MARGIN_S = 0.02  # ... and what the loop adds: both come off the grace of a drain
SWEEP_INTERVAL_S = 1.0  # the period that the keep-alive estimate decays by

AttemptEndedCallback = Callable[[Attempt, Outcome, "bytes | None", LoadReport], None]
IsWantedCallback = Callable[[Attempt], bool]
AllowsSendCallback = Callable[[Attempt, bool, int], bool]


def _always_wanted(_attempt: Attempt) -> bool:
    return True


def _always_allowed(_attempt: Attempt, _is_drained: bool, _now: int) -> bool:
    return True


class EndpointConnections:
    """All connection pools, bounded together so that descriptors never run out.

    `time` is the event loop's clock in s, `clock` the gateway's in ns.
    """

    def __init__(
        self,
        max_connections: int,
        connect_timeout_s: float,
        max_idle_s: float,
        drain_grace_s: float,
        clock: Callable[[], int],
        on_attempt_ended: AttemptEndedCallback,
        metrics: Metrics,
        on_response_started: ResponseStartedCallback,
        is_wanted: IsWantedCallback = _always_wanted,
        allows_send: AllowsSendCallback = _always_allowed,
    ) -> None:
        """Start to sweep idle connections; a running event loop is needed.

        `on_response_started` gives the sink of a large value, or None where nobody waits for it;
        `is_wanted` tells whether the client of an attempt about to be written still waits, and `allows_send`
        is the guard that is asked last: given whether the endpoint is drained, and the time in ns.
        """
        self.loop = asyncio.get_running_loop()
        self.time = self.loop.time
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.keep_alive = KeepAliveEstimator(max_idle_s * KEEP_ALIVE_FRACTION)
        self.open_connections = 0
        self.max_connections = max_connections
        self.response_started = on_response_started
        self.is_wanted = is_wanted
        self.allows_send = allows_send
        self._configured_max_connections = max_connections
        self._drain_grace_s = max(0.0, drain_grace_s - MAX_HOLD_UP_S - HOLD_UP_MARGIN_S)
        self._on_attempt_ended = on_attempt_ended
        self._metrics = metrics
        self._pools: dict[int, ConnectionPool] = {}
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    # Pools.

    def set_address(self, endpoint: int, address: Address | None) -> None:
        """Set where a endpoint is reached; None once it drains or is gone and gets nothing new."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            if pool.address == address and not pool.is_draining():
                return
            pool.drain(self.time() + self._drain_grace_s)
        if address is not None:
            self._pools[endpoint] = ConnectionPool(self, address)

    def limit(self, max_connections: int | None) -> None:
        """Bound the connections while another process has the rest; None for the configured limit."""
        configured = self._configured_max_connections
        self.max_connections = (
            configured if max_connections is None else min(configured, max(1, max_connections))
        )

    def known_endpoints(self) -> list[int]:
        """Return the numbers of all endpoints that have a pool."""
        return list(self._pools)

    def has_usable(self) -> bool:
        """Return whether any endpoint takes requests."""
        return any(not pool.is_draining() for pool in self._pools.values())

    def idle_count(self) -> int:
        """Return the number of connections that wait for an attempt."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; at the limit an idle one is closed for it."""
        if self.open_connections >= self.max_connections:
            fullest = max(self._pools.values(), key=lambda pool: len(pool.idle), default=None)
            if fullest is not None and fullest.idle:
                fullest.idle[0].close()
        return self.open_connections < self.max_connections

    def close_idle_connections(self, endpoint: int) -> None:
        """Close a endpoint's idle connections."""
        pool = self._pools.get(endpoint)
        if pool is not None:
            pool.close_idle()

    def close(self) -> None:
        """Close all connections."""
        self._sweep_timer.cancel()
        for pool in self._pools.values():
            pool.close()

    def _sweep(self) -> None:
        """Close expired connections and forget drained pools, once a second."""
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.keep_alive.decay()
        now = self.time()
        for endpoint, pool in list(self._pools.items()):
            pool.close_expired(now)
            if pool.is_drained(now):
                del self._pools[endpoint]

    # Attempts.

    def start_attempt(self, attempt: Attempt, timeout_s: float | None) -> None:
        """Start an attempt; its end is reported exactly once, never before this returns."""
        if timeout_s is not None:
            attempt.timer = self.loop.call_later(timeout_s, self.expire_attempt, attempt)
        pool = self._pools.get(attempt.endpoint)
        if pool is None:
            self.loop.call_soon(self.connect_failed, attempt)
        else:
            pool.start(attempt, attempt.started_at_ns)

    def request_written(self, attempt: Attempt) -> None:
        """Count an attempt whose last byte is sent, unless it is a probe."""
        if not isinstance(attempt, ProbeAttempt):
            self._metrics.attempts += 1

    def expire_attempt(self, attempt: Attempt) -> None:
        """Stop waiting: what never left the write buffer was not executed, anything else may have been."""
        self._abandon(attempt, Outcome.CONNECT_FAILED if self._is_unsent(attempt) else Outcome.TIMEOUT)

    def limit_overtime(self, attempt: Attempt) -> None:
        """Let a value that flows past its client's time go on for a little longer."""
        if attempt.connection is not None:
            attempt.connection.limit_overtime()

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt that is no longer needed."""
        self._abandon(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Cancel an attempt that nobody waits for any more, unless its last byte is sent."""
        if self._is_unsent(attempt):
            self._abandon(attempt, Outcome.NOT_SENT)

    def connect_failed(self, attempt: Attempt) -> None:
        """End an attempt that was certainly not executed."""
        self.finish_attempt(attempt, AttemptResult.without_response(Outcome.CONNECT_FAILED))

    def not_sent(self, attempt: Attempt) -> None:
        """End an attempt that this gateway did not make: nothing is known of the endpoint."""
        self.finish_attempt(attempt, AttemptResult.without_response(Outcome.NOT_SENT))

    def finish_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt, in this one place; what comes second, as a late failure, is ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.outcome = result.outcome
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        self._on_attempt_ended(attempt, result.outcome, result.value, result.load_report)

    def _is_unsent(self, attempt: Attempt) -> bool:
        return attempt.connection is None or attempt.connection.has_unsent

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            # Responses come in order: a connection whose response is not waited for is of no more use.
            attempt.connection.close()
        self.finish_attempt(attempt, AttemptResult.without_response(outcome))
