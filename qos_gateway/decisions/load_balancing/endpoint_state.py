"""State of one endpoint as this gateway observes it, with the transitions of that state."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...types import Endpoint
from ..statistics.decaying_mean import DecayingMean

ClassAndPlan = tuple[int, int]  # indexes of a request class and of a customer's plan in the settings


@dataclass(slots=True)
class ClassResult:
    """The latest attempt of a request class at an endpoint that was answered or timed out."""

    at: int
    unanswered: float  # 1.0 if the attempt timed out, 0.0 if it was answered


@dataclass(slots=True)
class EndpointState:
    """One endpoint as this gateway observes it; times are in ns, 0 for never."""

    endpoint: Endpoint
    slowness: DecayingMean  # latency relative to the mean of the request's class
    ejection_time: int  # length of the next ejection
    slow_start_tokens: float  # attempts that may be sent during slow start
    slow_start_tokens_at: int  # time of the last refill
    in_service: bool = True  # reported as ready
    listed: bool = True
    in_flight: int = 0  # attempts of this gateway
    consecutive_failures: int = 0
    ejected_until: int = 0
    last_response_at: int = 0  # end of the last successful attempt
    latest_answered_send: int = 0  # start of the most recently started attempt among the successful ones
    overloaded_until: dict[ClassAndPlan, int] = field(default_factory=dict)  # assumed so after a rejection
    last_result_by_class: dict[int, ClassResult] = field(default_factory=dict)
    disabled_at: int = 0  # start of the last administrative disabling that has ended
    assumed_start: int = 0  # start of slow start while the list reports no start since the disabling

    @property
    def slow_start_at(self) -> int:
        """Start of the slow start window, 0 for long ago."""
        reported = self.endpoint.started_at
        assumed = self.assumed_start
        # No call of max(): this is read several times for each endpoint of the subset at each request.
        return reported if reported > assumed else assumed

    def update(self, endpoint: Endpoint, *, in_service: bool, listed: bool) -> None:
        """Take over a new entry of the endpoint list."""
        self.endpoint = endpoint
        self.in_service = in_service
        self.listed = listed

    def unlist(self) -> None:
        """Mark the endpoint as missing from the endpoint list."""
        self.in_service = False
        self.listed = False

    def continue_after_restart(self, previous: EndpointState) -> None:
        """Take over what a restart of the endpoint leaves valid of its state before."""
        self.in_flight = previous.in_flight
        self.disabled_at = previous.disabled_at
        if self.endpoint.started_at < previous.disabled_at:
            self.assumed_start = previous.assumed_start

    def continue_after_disabling(self, previous: EndpointState, now: int, disabled_at: int) -> None:
        """Take over what a disabling since `disabled_at` leaves valid of the state before.

        The endpoint may have been restarted meanwhile and the list may be late, so slow start is assumed to
        begin now unless a start since `disabled_at` is known.
        """
        self.in_service = previous.in_service
        self.listed = previous.listed
        self.in_flight = previous.in_flight
        self.disabled_at = disabled_at
        if self.endpoint.started_at < disabled_at:
            self.assumed_start = now

    def eject(self, now: int, max_ejection_time: int) -> None:
        """Eject the endpoint, and double the time of the next ejection up to `max_ejection_time`."""
        self.ejected_until = now + self.ejection_time
        self.ejection_time = min(max_ejection_time, 2 * self.ejection_time)

    def record_success(self, now: int, sent_at: int, slowness: float, base_ejection_time: int) -> None:
        """Record a successful attempt; `slowness` is its latency relative to the mean of its class.

        Failures are counted anew, and the next ejection lasts `base_ejection_time`.
        """
        self.consecutive_failures = 0
        self.ejection_time = base_ejection_time
        self.last_response_at = now
        self.latest_answered_send = max(self.latest_answered_send, sent_at)
        self.slowness.add(now, slowness)

    def refill_slow_start_tokens(self, now: int, tokens: float, capacity: float) -> None:
        """Add slow start tokens up to `capacity`."""
        self.slow_start_tokens = min(capacity, self.slow_start_tokens + tokens)
        self.slow_start_tokens_at = now
