"""State of one endpoint as this gateway observes it, with the transitions of that state."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...types import Endpoint, Health
from ...units import SECOND
from ..snapshot import EndpointSnapshot, MeanSnapshot
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS, SHORT_TIME_CONSTANT_NS

BASE_EJECTION_TIME_NS = SECOND // 2  # of the first ejection, doubled by each further one without a success
MAX_EJECTION_TIME_NS = 8 * SECOND
# Time for which an endpoint counts as overloaded after a rejection.
OVERLOAD_MEMORY_NS = LONG_TIME_CONSTANT_NS

ClassAndPlan = tuple[int, int]  # indexes of a request class and of a customer's plan in the settings


@dataclass(slots=True)
class ClassResult:
    """The latest attempt of a request class at an endpoint that was answered or timed out."""

    at: int
    unanswered: float  # 1.0 if the attempt timed out, 0.0 if it was answered


@dataclass(slots=True)
class SlowStartBucket:
    """The attempts that one endpoint may be sent during slow start."""

    tokens: float
    refilled_at: int  # ns

    def refill(self, now: int, tokens: float, capacity: float) -> None:
        """Add tokens up to `capacity`."""
        self.tokens = min(capacity, self.tokens + tokens)
        self.refilled_at = now

    def take(self) -> None:
        """Remove one token; the number may become negative."""
        self.tokens -= 1.0

    def empty(self) -> None:
        """Remove all tokens."""
        self.tokens = 0.0


@dataclass(slots=True)
class EndpointState:
    """One endpoint as this gateway observes it; times are in ns, 0 for never."""

    endpoint: Endpoint
    slow_start_bucket: SlowStartBucket
    corrected_start: int = 0  # where the reported start cannot be true by this gateway's clock
    # Latency relative to the mean of the request's class.
    slowness: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))
    ejection_time: int = BASE_EJECTION_TIME_NS  # length of the next ejection
    in_service: bool = True  # reported as ready
    in_flight: int = 0  # attempts of this gateway
    consecutive_failures: int = 0
    ejected_until: int = 0
    last_response_at: int = 0  # end of the last successful attempt
    latest_answered_send: int = 0  # start of the most recently started attempt among the successful ones
    overloaded_until: dict[ClassAndPlan, int] = field(default_factory=dict)  # assumed so after a rejection
    last_result_by_class: dict[int, ClassResult] = field(default_factory=dict)
    disabled_at: int = 0  # start of the last administrative disabling that has ended
    assumed_start: int = 0  # start of slow start while the list reports no start, or no credible one

    @property
    def started_at(self) -> int:
        """Start by this gateway's clock, 0 for long ago."""
        return self.corrected_start or self.endpoint.started_at

    @property
    def slow_start_at(self) -> int:
        """Start of the slow start window, 0 for an endpoint without one."""
        started = self.corrected_start or self.endpoint.started_at
        assumed = self.assumed_start
        # No call of max(): this is read several times for each endpoint of the subset at each request.
        return started if started > assumed else assumed

    def update(self, endpoint: Endpoint) -> None:
        """Apply a new entry of the endpoint list."""
        self.endpoint = endpoint
        self.in_service = endpoint.health is Health.READY

    def mark_out_of_service(self) -> None:
        """Mark the endpoint as not ready until the next update."""
        self.in_service = False

    def continue_after_restart(self, previous: EndpointState) -> None:
        """Copy from the state before a restart of the endpoint what is still valid."""
        self.in_flight = previous.in_flight
        self.disabled_at = previous.disabled_at
        if self.started_at < previous.disabled_at:
            self.assumed_start = previous.assumed_start

    def continue_after_disabling(self, previous: EndpointState, now: int, disabled_at: int) -> None:
        """Copy from the state before a disabling since `disabled_at` what is still valid.

        The endpoint may have been restarted since and the list may be late, so slow start is assumed to
        begin now unless a start since `disabled_at` is known.
        """
        self.corrected_start = previous.corrected_start
        self.in_service = previous.in_service
        self.in_flight = previous.in_flight
        self.disabled_at = disabled_at
        if self.started_at < disabled_at:
            self.assumed_start = now

    def attempt_started(self) -> None:
        """Count an attempt in flight."""
        self.in_flight += 1

    def attempt_ended(self) -> None:
        """Stop counting an attempt in flight."""
        self.in_flight = max(0, self.in_flight - 1)

    def eject(self, now: int) -> None:
        """Eject the endpoint, and double the time of its next ejection up to `MAX_EJECTION_TIME_NS`."""
        self.ejected_until = now + self.ejection_time
        self.ejection_time = min(MAX_EJECTION_TIME_NS, 2 * self.ejection_time)

    def record_failure(self) -> None:
        """Count a failed attempt."""
        self.consecutive_failures += 1

    def record_success(self, now: int, sent_at: int, slowness: float) -> None:
        """Record a successful attempt; `slowness` is its latency relative to the mean of its class.

        The count of failures starts again, and the next ejection lasts `BASE_EJECTION_TIME_NS`.
        """
        self.consecutive_failures = 0
        self.ejection_time = BASE_EJECTION_TIME_NS
        self.last_response_at = now
        self.latest_answered_send = max(self.latest_answered_send, sent_at)
        self.slowness.add(now, slowness)

    def record_class_result(self, now: int, class_index: int, unanswered: float) -> None:
        """Record whether an attempt of a request class was answered (0.0) or timed out (1.0)."""
        self.last_result_by_class[class_index] = ClassResult(now, unanswered)

    def record_overload(self, now: int, class_and_plan: ClassAndPlan) -> None:
        """Record that the endpoint rejected an attempt of a class and plan."""
        self.overloaded_until[class_and_plan] = now + OVERLOAD_MEMORY_NS

    def capture(self) -> EndpointSnapshot:
        """Return what the next process needs of this state."""
        return EndpointSnapshot(
            endpoint=self.endpoint.id,
            started_at=self.endpoint.started_at,
            ejected_until=self.ejected_until,
            ejection_time=self.ejection_time,
            consecutive_failures=self.consecutive_failures,
            slow_start_tokens=self.slow_start_bucket.tokens,
            disabled_at=self.disabled_at,
            assumed_start=max(self.assumed_start, self.corrected_start),
            slowness=MeanSnapshot.of(self.slowness),
        )

    def is_same_start(self, snapshot: EndpointSnapshot) -> bool:
        """Return whether the endpoint is not removed and was not restarted since the snapshot."""
        listed = self.endpoint
        return listed.started_at == snapshot.started_at and listed.health is not Health.REMOVED

    def restore(self, now: int, snapshot: EndpointSnapshot) -> None:
        """Continue the state that the previous process captured."""
        self.ejected_until = snapshot.ejected_until
        self.ejection_time = snapshot.ejection_time
        self.consecutive_failures = snapshot.consecutive_failures
        self.slow_start_bucket = SlowStartBucket(snapshot.slow_start_tokens, now)
        self.disabled_at = snapshot.disabled_at
        self.assumed_start = snapshot.assumed_start
        if self.corrected_start and snapshot.assumed_start:
            self.corrected_start = snapshot.assumed_start
        self.slowness = snapshot.slowness.to_mean()
