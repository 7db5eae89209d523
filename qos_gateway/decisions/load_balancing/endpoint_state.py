"""State of one endpoint as observed by this gateway, and its transitions."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...types import Endpoint, Health
from ...units import SECOND
from ..snapshot import EndpointSnapshot, MeanSnapshot
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS, SHORT_TIME_CONSTANT_NS

BASE_EJECTION_TIME_NS = SECOND // 2  # doubles with each ejection until an attempt succeeds
MAX_EJECTION_TIME_NS = 8 * SECOND
OVERLOAD_MEMORY_NS = LONG_TIME_CONSTANT_NS  # an endpoint counts as overloaded for this long after a rejection

ClassAndPlan = tuple[int, int]  # indexes into the settings: request class, customer's plan


@dataclass(slots=True)
class ClassResult:
    """Result of the latest attempt of a request class that an endpoint answered or that timed out."""

    at: int  # ns
    unanswered: float  # 1.0 if the attempt timed out, 0.0 if it was answered


@dataclass(slots=True)
class SlowStartBucket:
    """Token bucket that limits the attempts sent to one endpoint during slow start."""

    tokens: float
    refilled_at: int  # ns

    def refill(self, now: int, tokens: float, capacity: float) -> None:
        """Add tokens up to `capacity`."""
        self.tokens = min(capacity, self.tokens + tokens)
        self.refilled_at = now

    def take(self) -> None:
        """Remove one token; the balance may become negative."""
        self.tokens -= 1.0

    def empty(self) -> None:
        """Remove all tokens."""
        self.tokens = 0.0


@dataclass(slots=True)
class EndpointState:
    """State of one endpoint; times are in ns, 0 means never."""

    endpoint: Endpoint
    slow_start_bucket: SlowStartBucket
    corrected_start: int = 0  # replaces a reported start that is implausible by this gateway's clock
    # Latency divided by the mean latency of the request class.
    relative_latency: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))
    ejection_time: int = BASE_EJECTION_TIME_NS  # length of the next ejection
    in_service: bool = True  # reported as ready
    in_flight: int = 0  # attempts sent by this gateway
    consecutive_failures: int = 0
    ejected_until: int = 0
    last_response_at: int = 0  # when the last successful attempt ended
    latest_successful_send: int = 0  # latest send time of any successful attempt
    overloaded_until: dict[ClassAndPlan, int] = field(default_factory=dict)  # set by rejections
    last_result_by_class: dict[int, ClassResult] = field(default_factory=dict)
    disabled_at: int = 0  # time of the last disabling by an operator; set once it is enabled again
    assumed_start: int = 0  # start of slow start if the list reports no plausible start

    @property
    def started_at(self) -> int:
        """Start time by this gateway's clock, 0 if it is long ago."""
        return self.corrected_start or self.endpoint.started_at

    @property
    def slow_start_at(self) -> int:
        """Start of the slow start window, 0 if the endpoint has none."""
        started = self.corrected_start or self.endpoint.started_at
        assumed = self.assumed_start
        # Hot path, read several times per subset endpoint and request: calls neither started_at nor max().
        return started if started > assumed else assumed

    def update(self, endpoint: Endpoint) -> None:
        """Apply a new entry from the endpoint list."""
        self.endpoint = endpoint
        self.in_service = endpoint.health is Health.READY

    def mark_out_of_service(self) -> None:
        """Mark the endpoint as not in service until the next update."""
        self.in_service = False

    def continue_after_restart(self, previous: EndpointState) -> None:
        """Copy what remains valid from the state before the endpoint restarted."""
        self.in_flight = previous.in_flight
        self.disabled_at = previous.disabled_at
        if self.started_at < previous.disabled_at:
            self.assumed_start = previous.assumed_start

    def continue_after_disabling(self, previous: EndpointState, now: int, disabled_at: int) -> None:
        """Copy what remains valid from the state before the endpoint was disabled at `disabled_at`.

        The endpoint may have restarted in the meantime without the list reporting it yet, so slow start
        begins now unless a start since `disabled_at` is known.
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
        """Eject the endpoint, and double its next ejection time up to `MAX_EJECTION_TIME_NS`."""
        self.ejected_until = now + self.ejection_time
        self.ejection_time = min(MAX_EJECTION_TIME_NS, 2 * self.ejection_time)

    def record_failure(self) -> None:
        """Count a failed attempt."""
        self.consecutive_failures += 1

    def record_success(self, now: int, sent_at: int, relative_latency: float) -> None:
        """Record a successful attempt; `relative_latency` is 1 for the mean latency of its class.

        Resets the count of consecutive failures and the next ejection time.
        """
        self.consecutive_failures = 0
        self.ejection_time = BASE_EJECTION_TIME_NS
        self.last_response_at = now
        self.latest_successful_send = max(self.latest_successful_send, sent_at)
        self.relative_latency.add(now, relative_latency)

    def record_class_result(self, now: int, class_index: int, unanswered: float) -> None:
        """Record whether an attempt of a request class was answered (0.0) or timed out (1.0)."""
        self.last_result_by_class[class_index] = ClassResult(now, unanswered)

    def record_overload(self, now: int, class_and_plan: ClassAndPlan) -> None:
        """Record that the endpoint rejected an attempt of a class and plan as overloaded."""
        self.overloaded_until[class_and_plan] = now + OVERLOAD_MEMORY_NS

    def capture(self) -> EndpointSnapshot:
        """Return the part of the state that the next process needs."""
        return EndpointSnapshot(
            endpoint=self.endpoint.id,
            started_at=self.endpoint.started_at,
            ejected_until=self.ejected_until,
            ejection_time=self.ejection_time,
            consecutive_failures=self.consecutive_failures,
            slow_start_tokens=self.slow_start_bucket.tokens,
            disabled_at=self.disabled_at,
            assumed_start=max(self.assumed_start, self.corrected_start),
            relative_latency=MeanSnapshot.of(self.relative_latency),
        )

    def can_restore(self, snapshot: EndpointSnapshot) -> bool:
        """Return whether the endpoint was not removed and has not restarted since the snapshot."""
        listed = self.endpoint
        return listed.started_at == snapshot.started_at and listed.health is not Health.REMOVED

    def restore(self, now: int, snapshot: EndpointSnapshot) -> None:
        """Restore the state that the previous process captured."""
        self.ejected_until = snapshot.ejected_until
        self.ejection_time = snapshot.ejection_time
        self.consecutive_failures = snapshot.consecutive_failures
        self.slow_start_bucket = SlowStartBucket(snapshot.slow_start_tokens, now)
        self.disabled_at = snapshot.disabled_at
        self.assumed_start = snapshot.assumed_start
        if self.corrected_start and snapshot.assumed_start:
            self.corrected_start = snapshot.assumed_start
        self.relative_latency = snapshot.relative_latency.to_mean()
