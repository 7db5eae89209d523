"""A log line at intervals on how attempts and calls to the counter ended."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from dataclasses import dataclass

from ...types import Outcome
from ..clients.connections import ClientConnections
from ..endpoints.connections import EndpointConnections
from ..requests.open_requests import OpenRequests

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0  # often enough to see trouble begin, seldom enough to keep days of it


@dataclass(frozen=True, slots=True)
class ActivitySources:
    """What the line tells the present numbers of."""

    requests: OpenRequests
    clients: ClientConnections
    endpoint_connections: EndpointConnections


class ActivityLog:
    """Counts outcomes between two lines; it shows trouble that no single attempt does."""

    def __init__(self) -> None:
        self.attempt_outcomes: Counter[Outcome] = Counter()
        self.counter_outcomes: Counter[Outcome] = Counter()
        self._timer: asyncio.TimerHandle | None = None

    def start(self, sources: ActivitySources) -> None:
        """Write the first line one interval from now."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOG_INTERVAL_S, self._write, sources)

    def stop(self) -> None:
        """Write no further line."""
        if self._timer is not None:
            self._timer.cancel()

    def _write(self, sources: ActivitySources) -> None:
        self.start(sources)
        log.info(
            "activity attempts=%s counter=%s requests=%d client_connections=%d "
            "endpoint_connections=%d endpoint_connections_idle=%d",
            _format_outcomes(self.attempt_outcomes),
            _format_outcomes(self.counter_outcomes),
            len(sources.requests),
            sources.clients.connection_count(),
            sources.endpoint_connections.open_connections,
            sources.endpoint_connections.idle_count(),
        )
        self.attempt_outcomes.clear()
        self.counter_outcomes.clear()


def _format_outcomes(outcomes: Counter[Outcome]) -> str:
    return ",".join(f"{outcome.name}:{number}" for outcome, number in sorted(outcomes.items())) or "none"
