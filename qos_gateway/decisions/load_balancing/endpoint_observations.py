"""What attempts show of the endpoints in all, beside the state of each one."""

from __future__ import annotations

from dataclasses import dataclass

from ...types import Settings
from ..statistics.decaying_mean import DecayingMean
from .endpoint_registry import EndpointRegistry, NewEndpointState
from .endpoint_state import ClassResult, EndpointState
from .zones import ZoneTable


@dataclass(frozen=True, slots=True)
class ObservationMemory:
    """Time constants of the means, in ns."""

    completions: int  # of warm endpoints, and of their number
    failures: int


class EndpointObservations(EndpointRegistry):
    """The endpoints with statistics of the attempts that this gateway sent them."""

    def __init__(self, settings: Settings, memory: ObservationMemory, new_state: NewEndpointState) -> None:
        super().__init__(new_state)
        self.settings = settings
        self.zones = ZoneTable()
        # Time-outs among all attempts that were answered or timed out, by class.
        self.unanswered_ratio = [DecayingMean(memory.failures) for _ in settings.classes]
        # Resets and errors among these and successes.
        self.reset_ratio = DecayingMean(memory.failures)
        self.latest_answered_send = 0  # start of the most recently started attempt among the successful ones
        # Attempts that warm endpoints completed or worked on when cancelled: far fewer than sent in overload.
        self.warm_completions = DecayingMean(memory.completions)
        self.warm_endpoints = DecayingMean(memory.completions)  # their number, over the same time ...
        self.warm_endpoints.updated_at = -memory.completions  # ... with full weight for the first list
        self.handover_fraction = 1.0  # fraction of the slow start tokens that belongs to this process

    def slow_start_fraction(self, now: int, state: EndpointState) -> float:
        """Estimate which fraction of its capacity an endpoint has at least reached, 1 after slow start."""
        started_at = state.slow_start_at
        window = self.settings.slow_start_window
        if not started_at or now - started_at >= window:
            return 1.0
        initial = self.settings.initial_capacity_fraction
        return initial + (1.0 - initial) * max(0, now - started_at) / window

    def drop_warmed_up(self, now: int) -> None:
        """Drop endpoints whose slow start is over from the set of those that warm up."""
        self.warming_up -= {
            i for i in self.warming_up if self.slow_start_fraction(now, self.endpoints[i]) >= 1.0
        }

    def record_warm_endpoints(self, now: int, count: float) -> None:
        """Record the number of warm endpoints, weighted by time for many updates at once to count little."""
        elapsed = (now - self.warm_endpoints.updated_at) / self.warm_endpoints.time_constant
        self.warm_endpoints.add(now, count, min(1.0, elapsed))

    def completions_per_warm_endpoint(self, now: int) -> float:
        """Return the completions per second of a warm endpoint, by the mean over all."""
        return self.warm_completions.rate(now) / (self.warm_endpoints.value or 1.0)

    def record_class_result(
        self, now: int, state: EndpointState, class_index: int, unanswered: float
    ) -> None:
        """Record whether an attempt of a request class was answered (0.0) or timed out (1.0)."""
        state.last_result_by_class[class_index] = ClassResult(now, unanswered)
        self.unanswered_ratio[class_index].add(now, unanswered)

    def answered_since(self, endpoint_id: int, since: int) -> bool:
        """Return whether an endpoint answered an attempt that was sent since then."""
        state = self.endpoints.get(endpoint_id)
        return state is not None and state.latest_answered_send >= since

    def was_lost_with_zone(self, endpoint_id: int, sent_at: int) -> bool:
        """Return whether an attempt was in flight to a zone when that was found unresponsive."""
        state = self.endpoints.get(endpoint_id)
        return state is not None and self.zones.was_unresponsive_after(state.endpoint.zone, sent_at)
