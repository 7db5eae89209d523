"""The table of commitments: each active customer's cap on requests in flight (the paper, section 5)."""

from __future__ import annotations

from math import ceil

from ..state.customer import CustomerAccount, Demand
from ..units import SECOND
from .queue_model import QueueModel
from .quota import EVALUATION_INTERVAL, Quota
from .seven_cases import seven_cases

COMMITMENT_IDLE_TIME = (
    10 * SECOND
)  # without requests, after which one ends: outlasts a steady customer's lulls
MIN_OFFERED = 2  # requests in flight that a customer asks for at least, so that a small burst passes
MIN_THROUGHPUT = 1e-3  # requests per second: below it a customer sets no limit to others' response times
BUSY_IN_FLIGHT = 0.05  # mean in flight from which a customer's commitment counts


class CommitmentTable:
    """The customers with a commitment, by id, and the choice of their caps."""

    def __init__(self, model: QueueModel, quota: Quota) -> None:
        self.model = model
        self.quota = quota
        self.active: dict[int, CustomerAccount] = {}

    def evaluate_due(self, now: int) -> None:
        """End idle commitments and evaluate those due, lowest priority first, so that cuts fall on it."""
        for account in list(self.active.values()):
            account.mean_in_flight.add(now, account.in_flight)
            if now - account.last_request_at > COMMITMENT_IDLE_TIME and not account.in_flight:
                account.in_flight_cap = 0  # the token bucket stays, as the quota does
                del self.active[account.customer_id]
        due = [a for a in self.active.values() if now - a.evaluated_at >= EVALUATION_INTERVAL]
        throughputs: dict[int, float] = {}
        for account in sorted(due, key=lambda a: (a.priority_weight, a.customer_id)):
            self.evaluate(now, account, throughputs)

    def evaluate(self, now: int, account: CustomerAccount, throughputs: dict[int, float]) -> None:
        """Set the customer's cap by the seven cases; what it asks for, where nothing is congested.

        `throughputs`: others' XMIN by customer id as far as known at `now`, each needed many times over.
        """
        account.evaluated_at = now
        self.active[account.customer_id] = account
        demand = self._demand(now, account)
        if not self.model.congested:
            account.in_flight_cap = demand.concurrency
            return
        busy = [
            a for a in self.active.values() if a is not account and a.mean_in_flight.value > BUSY_IN_FLIGHT
        ]
        others = sum(_expected_in_flight(a) for a in busy)
        headroom = min((a.headroom for a in busy), default=account.headroom)
        for other in busy:
            if other.customer_id not in throughputs:
                throughputs[other.customer_id] = max(self._demand(now, other).throughput, MIN_THROUGHPUT)
        responses = (
            a.in_flight_cap * SECOND / throughputs[a.customer_id] for a in busy if a.in_flight_cap > 1
        )
        slowest = min(responses, default=float("inf"))
        delay = self.model.delay

        def wait(level: int) -> float:
            return self.model.response_time(others + level) - delay

        offered = seven_cases(
            max(demand.concurrency, ceil(account.mean_in_flight.value)),
            lambda level: wait(level) <= account.headroom,
            lambda level: level * SECOND >= demand.throughput * (delay + wait(level)),
            lambda level: wait(level) <= headroom and delay + wait(level) <= slowest,
        )
        account.in_flight_cap = max(1, offered)  # a rejected customer keeps one

    def _demand(self, now: int, account: CustomerAccount) -> Demand:
        """Return the quota slice times the objective plus a slice of the burst; mean units scale both."""
        part = self.quota.quota_share(now, account) / (account.demand.value or 1.0)
        rate = account.plan.rate * part
        burst = account.plan.burst * part
        concurrency = ceil(rate * account.latency_objective / SECOND + burst)
        return Demand(max(MIN_OFFERED, concurrency), min(rate, account.demand.rate(now)))


def _expected_in_flight(account: CustomerAccount) -> float:
    mean = account.mean_in_flight.value
    return mean if account.in_flight_cap > 1 else min(1.0, mean)
