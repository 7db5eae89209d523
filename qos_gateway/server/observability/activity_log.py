"""A periodic log line that counts the outcomes of attempts and of calls to the counter."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from ...types import Outcome

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ActivityGauges:
    """Callables that return the current number of requests or connections, and what holds memory."""

    open_requests: Callable[[], int]
    client_connections: Callable[[], int]
    endpoint_connections: Callable[[], int]
    idle_endpoint_connections: Callable[[], int]
    memory: Callable[[], str]


class ActivityLog:
    """Counts outcomes in each interval, which reveals faults that no single attempt shows."""

    def __init__(self) -> None:
        self.attempt_outcomes: Counter[Outcome] = Counter()
        self.counter_outcomes: Counter[Outcome] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, gauges: ActivityGauges) -> None:
        """Start the periodic line; the first one is written after one interval."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOG_INTERVAL_S, self._write, gauges)

    def stop(self) -> None:
        """Stop the periodic line."""
        if self._timer is not None:
            self._timer.cancel()

    def _write(self, gauges: ActivityGauges) -> None:
        self.start(gauges)
        log.info(
            "activity attempts=%s counter=%s requests=%d client_connections=%d "
            "endpoint_connections=%d endpoint_connections_idle=%d %s",
            _format_outcomes(self.attempt_outcomes),
            _format_outcomes(self.counter_outcomes),
            gauges.open_requests(),
            gauges.client_connections(),
            gauges.endpoint_connections(),
            gauges.idle_endpoint_connections(),
            gauges.memory(),
        )
        self.attempt_outcomes.clear()
        self.counter_outcomes.clear()


def _format_outcomes(outcomes: Counter[Outcome]) -> str:
    return ",".join(f"{outcome.name}:{number}" for outcome, number in sorted(outcomes.items())) or "none"
