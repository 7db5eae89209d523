"""The commitment to one customer: its goals, its demand, and its cap on requests in flight."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

from ...units import SECOND
from ..quota.account.bucket_reports import NEVER
from ..quota.account.customer_account import CustomerAccount
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import SHORT_TIME_CONSTANT_NS

MIN_CONCURRENCY = 2  # requested for each customer, so that a small burst passes
PRIORITY_SMOOTHING_FACTOR = 0.2  # weight of the newest request in a customer's mean priority
HEADROOM_GROWTH_FACTOR = 1.01  # per request, until the headroom is that of the request's class


@dataclass(slots=True)
class Demand:
    """What a customer requests: the paper's Nreq, and its XMIN in requests per second."""

    concurrency: int
    throughput: float


@dataclass(slots=True, eq=False)
class Commitment:
    """The commitment to a customer that sent a request here. Times are in ns."""

    account: CustomerAccount
    evaluated_at: int = NEVER
    in_flight_cap: int = 0  # the paper's Noffer; 0 until the first evaluation and while the customer is idle
    priority_weight: float = 0.0  # mean priority of the customer's requests
    headroom: float = 0.0  # mean wait that the customer's classes allow
    latency_objective: int = 0  # RMAX: the longest objective of the customer's classes
    mean_in_flight: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))

    @property
    def expected_in_flight(self) -> float:
        """Requests in flight to expect: their mean, at most one while the customer is capped to one."""
        mean = self.mean_in_flight.value
        return mean if self.in_flight_cap > 1 else min(1.0, mean)

    def observe(self, priority: float, headroom: float, latency_objective: int) -> None:
        """Update the customer's goals with a request of this priority and the goals of its class."""
        self.priority_weight += PRIORITY_SMOOTHING_FACTOR * (priority - self.priority_weight)
        self.headroom = min(self.headroom, headroom) * HEADROOM_GROWTH_FACTOR if self.headroom else headroom
        self.latency_objective = max(self.latency_objective, latency_objective)

    def demand(self, now: int, quota_share: float) -> Demand:
        """Return the demand by the slice of the quota, `quota_share` of it, in requests of mean units.

        Nreq is the slice's rate times RMAX plus the slice's burst; XMIN is the rate of requests, at most the
        slice's.
        """
        account = self.account
        requested = account.demand.short_term
        share_in_requests = quota_share / (requested.value or 1.0)
        rate = account.plan.rate * share_in_requests
        burst = account.plan.burst * share_in_requests
        concurrency = ceil(rate * self.latency_objective / SECOND + burst)
        return Demand(max(MIN_CONCURRENCY, concurrency), min(rate, requested.rate(now)))

    def set_cap(self, now: int, cap: int) -> None:
        """Set the cap that an evaluation at `now` chose."""
        self.evaluated_at = now
        self.in_flight_cap = cap

    def suspend(self) -> None:
        """Withdraw the cap of an idle customer; its next request evaluates the commitment again."""
        self.in_flight_cap = 0
