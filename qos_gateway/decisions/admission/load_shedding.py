"""Load shedding near the concurrency limit, and the congestion log."""

from __future__ import annotations

from ...types import Action, LogLine
from ..congestion.queue_model import QueueModel
from ..requests.request_table import RequestTable
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS
from .priority_demand import PriorityDemand

SHEDDING_START_FRACTION = 0.7  # the lowest priority is shed from this fraction of the limit on
CONGESTION_LOG_INTERVAL_NS = LONG_TIME_CONSTANT_NS


class LoadShedder:
    """Sheds requests, lowest priority first, as the requests in flight approach the concurrency limit."""

    def __init__(self, model: QueueModel, requests: RequestTable, demand: PriorityDemand) -> None:
        self.model = model
        self.requests = requests
        self.demand = demand

    def should_shed(self, now: int, priority: float) -> bool:
        """Return whether to shed a request of `priority`."""
        limit = self.model.concurrency_limit
        in_flight = self.requests.effective_in_flight
        if limit is None or in_flight < SHEDDING_START_FRACTION * limit:
            return False
        fraction_below = self.demand.fraction_below(now, priority)
        fraction = SHEDDING_START_FRACTION + (1.0 - SHEDDING_START_FRACTION) * fraction_below
        return in_flight >= limit * fraction


class CongestionLog:
    """Logs when congestion causes requests of the lowest priority to be shed, at most once per interval."""

    def __init__(self, model: QueueModel, requests: RequestTable, now: int) -> None:
        """Start in a state that allows a line at `now`."""
        self.model = model
        self.requests = requests
        self._logged_at = now - CONGESTION_LOG_INTERVAL_NS

    def lines(self, now: int) -> list[Action]:
        """Return the log line, if one is due."""
        limit = self.model.concurrency_limit
        in_flight = self.requests.in_flight
        logged_recently = now - self._logged_at < CONGESTION_LOG_INTERVAL_NS
        if limit is None or in_flight < SHEDDING_START_FRACTION * limit or logged_recently:
            return []
        self._logged_at = now
        return [LogLine(f"congested in_flight={in_flight} limit={limit}")]
