"""Compare the requests that a fleet forwards with the limits of exact token buckets."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from benchmarks.customer_population import PLANS
from benchmarks.token_bucket import TokenBucket
from qos_gateway.types import CounterReplied, Outcome, Plan
from qos_gateway.units import MILLISECOND, SECOND

METER_PERIOD_NS = 500 * MILLISECOND
METER_DELAY_NS = 700 * MILLISECOND  # after a period's end until endpoints report its usage


class CustomerAudit:
    """Exact quotas of one customer over all gateways; unlike them it sees every request."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._offered_quota = TokenBucket(plan.rate, plan.burst)
        self._sent_quota = TokenBucket(plan.rate, plan.burst)
        self._ceiling = TokenBucket(plan.ceiling_rate, plan.ceiling_burst + plan.ceiling_slack)
        self._sent_by_period: dict[int, int] = defaultdict(int)
        self._in_flight = 0

    def offer(self, now: int) -> bool:
        """Record a request that arrived at `now` (ns); return whether the quota covers it."""
        return self._offered_quota.take(now)

    def send(self, now: int) -> bool:
        """Record a request that was forwarded at `now` (ns); return whether the quota covers it."""
        self._sent_by_period[now // METER_PERIOD_NS] += 1
        return self._sent_quota.take(now)

    def exceeds_ceiling(self, now: int) -> bool:
        """Record a request that was forwarded at `now` (ns); return whether it exceeds the hard ceiling."""
        return bool(self._plan.ceiling_rate) and not self._ceiling.take(now)

    def start_attempt(self) -> bool:
        """Record a new attempt; return whether it exceeds the plan's limit on attempts in flight."""
        exceeds_limit = 0 < self._plan.max_in_flight <= self._in_flight
        self._in_flight += 1
        return exceeds_limit

    def end_attempt(self) -> None:
        """Record the end of an attempt."""
        self._in_flight -= 1

    def reported_usage(self, now: int) -> int:
        """Return the usage that an endpoint reports: 1 + percent of the rate, or 0 if there is none yet."""
        period = (now - METER_DELAY_NS) // METER_PERIOD_NS - 1
        if period < 0:
            return 0
        allowed = self._plan.rate * METER_PERIOD_NS / SECOND
        return 1 + round(100 * self._sent_by_period[period] / allowed)


@dataclass
class PlanCounts:
    """Requests of the customers of one plan."""

    offered_within_quota: int = 0
    sent_within_quota: int = 0
    sent_beyond_quota: int = 0


@dataclass
class FleetCounts:
    """Counts of the measured time of one simulation, `seconds` long."""

    gateways: int
    seconds: float
    offered: int = 0
    calls: int = 0  # to the counter
    answered_calls: int = 0
    overloaded_calls: int = 0
    unanswered_calls: int = 0  # refused connection or no answer in time
    by_plan: tuple[PlanCounts, ...] = field(default_factory=lambda: tuple(PlanCounts() for _ in PLANS))
    over_ceiling: int = 0  # requests forwarded beyond the ceiling and its slack
    over_in_flight_limit: int = 0  # attempts beyond the plan's limit on attempts in flight

    def add_call(self, reply: CounterReplied) -> None:
        """Count a call to the counter by its outcome."""
        self.calls += 1
        if reply.outcome is Outcome.OK:
            self.answered_calls += 1
        elif reply.outcome is Outcome.OVERLOADED:
            self.overloaded_calls += 1
        else:
            self.unanswered_calls += 1

    def per_second(self, count: int) -> float:
        """Return a count as a rate."""
        return count / self.seconds

    @property
    def calls_per_request(self) -> float:
        """Return the calls to the counter for each offered request."""
        return self.calls / max(1, self.offered)

    @property
    def offered_within_quota(self) -> int:
        """Return the requests of all plans that the quotas cover."""
        return sum(counts.offered_within_quota for counts in self.by_plan)

    @property
    def sent_within_quota(self) -> int:
        """Return the forwarded requests of all plans that the quotas cover."""
        return sum(counts.sent_within_quota for counts in self.by_plan)

    @property
    def sent_unpaid(self) -> int:
        """Return the requests forwarded beyond the quotas of plans whose excess costs more than it earns."""
        return sum(
            counts.sent_beyond_quota
            for counts, plan in zip(self.by_plan, PLANS, strict=True)
            if plan.excess_weight < plan.excess_cost
        )

    @property
    def granted_fraction(self) -> float:
        """Return the requests forwarded within the quotas, as a fraction of those that the quotas cover."""
        return self.sent_within_quota / max(1, self.offered_within_quota)

    @property
    def unpaid_fraction(self) -> float:
        """Return the unpaid requests beyond the quotas, for each request that the quotas cover."""
        return self.sent_unpaid / max(1, self.offered_within_quota)
