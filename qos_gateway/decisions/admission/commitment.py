"""QoS commitment to one customer: its goals, demand, and cap on requests in flight."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

from ...units import SECOND
from ..quota.account.bucket_reports import NEVER
from ..quota.account.customer_account import CustomerAccount
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import SHORT_TIME_CONSTANT_NS

MIN_CONCURRENCY = 2  # requested for every customer, so that a small burst is admitted
PRIORITY_SMOOTHING_FACTOR = 0.2  # weight of the newest request in a customer's mean priority
HEADROOM_GROWTH_PER_REQUEST = 1.01  # factor; the headroom of the request's class limits the growth


@dataclass(slots=True)
class Demand:
    """What a customer requests, in the paper's terms."""

    concurrency: int  # Nreq
    throughput: float  # XMIN, in requests per second


@dataclass(slots=True, eq=False)
class Commitment:
    """Commitment to a customer that has sent requests to this gateway. Times are in ns."""

    account: CustomerAccount
    evaluated_at: int = NEVER
    in_flight_cap: int = 0  # the paper's Noffer; 0 until the first evaluation and while the customer is idle
    priority_weight: float = 0.0  # mean priority of the customer's requests
    headroom: float = 0.0  # mean queueing time that the customer's classes allow
    latency_objective: int = 0  # RMAX: the longest objective of the customer's classes
    mean_in_flight: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))

    @property
    def expected_in_flight(self) -> float:
        """The mean number of requests in flight, at most one unless the cap is higher."""
        mean = self.mean_in_flight.value
        return mean if self.in_flight_cap > 1 else min(1.0, mean)

    def observe(self, priority: float, headroom: float, latency_objective: int) -> None:
        """Update the customer's goals with a request's priority and the goals of its class."""
        self.priority_weight += PRIORITY_SMOOTHING_FACTOR * (priority - self.priority_weight)
        self.headroom = (
            min(self.headroom, headroom) * HEADROOM_GROWTH_PER_REQUEST if self.headroom else headroom
        )
        self.latency_objective = max(self.latency_objective, latency_objective)

    def demand(self, now: int, quota_share: float) -> Demand:
        """Return the demand under a slice of the quota, `quota_share` of it, in requests of mean units.

        Nreq is the slice's rate times RMAX plus the slice's burst. XMIN is the arrival rate of requests, at
        most the slice's rate.
        """
        account = self.account
        requested = account.demand.short_term
        share_in_requests = quota_share / (requested.value or 1.0)
        rate = account.plan.rate * share_in_requests
        burst = account.plan.burst * share_in_requests
        concurrency = ceil(rate * self.latency_objective / SECOND + burst)
        return Demand(max(MIN_CONCURRENCY, concurrency), min(rate, requested.rate(now)))

    def set_cap(self, now: int, cap: int) -> None:
        """Set the cap, as the result of an evaluation at `now`."""
        self.evaluated_at = now
        self.in_flight_cap = cap

    def suspend(self) -> None:
        """Clear the cap of an idle customer; its next request triggers an evaluation."""
        self.in_flight_cap = 0
