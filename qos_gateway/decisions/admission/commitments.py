"""The table of commitments and the seven cases, which choose each customer's cap (the paper, section 5)."""

from collections.abc import Callable
from math import ceil, inf

from ...units import SECOND
from ..congestion.queue_model import QueueModel
from ..quota.account.customer_account import CustomerAccount, Demand
from ..quota.quota import Quota

COMMITMENT_IDLE_TIME_NS = 10 * SECOND  # without requests until one ends: outlasts a steady customer's lulls
EVALUATION_INTERVAL_NS = 2 * SECOND  # long enough for a fit, short for a burst
MIN_OFFERED = 2  # requests in flight that a customer asks for at least, so that a small burst passes
MIN_THROUGHPUT = 1e-3  # requests per second: below it a customer sets no limit to others' response times
BUSY_IN_FLIGHT = 0.05  # mean in flight from which a customer's commitment counts
Goal = Callable[[int], bool]  # whether a goal holds at a concurrency


def seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """Return the concurrency to offer by the seven cases, 0 to reject.

    `response` and `throughput` are the customer's own goals (RMAX, XMIN); `commitments` tells whether those
    of all other customers hold; `requested` is the paper's Nreq.
    """

    def first(levels: range, *goals: Goal) -> int:
        return next((level for level in levels if all(goal(level) for goal in goals)), 0)

    fewer = range(requested - 1, 0, -1)
    more = range(requested + 1, 2 * requested + 1)
    fast = response(requested)
    enough = throughput(requested)
    kept = commitments(requested)
    if kept and fast and enough:  # case 1
        return requested
    if kept and enough:  # case 2: too slow; fewer, or else the fewest that keep the throughput
        return first(fewer, response, throughput) or first(fewer[::-1], throughput) or requested
    if kept and fast:  # case 3: too little throughput; more, or else as many as stay fast enough
        both = first(more, response, throughput, commitments)
        return both or first(more[::-1], response, commitments) or requested
    if kept:  # case 4: neither
        return first(fewer, response) or first(more, throughput, commitments) or requested
    # Cases 5 to 7: fewer, with both own goals, with the throughput alone, or with neither.
    offered = first(fewer, response, throughput, commitments) or first(fewer, commitments, throughput)
    return (enough and offered) or first(fewer, commitments)


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
            if now - account.last_request_at > COMMITMENT_IDLE_TIME_NS and not account.in_flight:
                account.in_flight_cap = 0  # the token bucket stays, as the quota does
                del self.active[account.customer_id]
        due = [a for a in self.active.values() if now - a.evaluated_at >= EVALUATION_INTERVAL_NS]
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
        others = sum(a.expected_in_flight for a in busy)
        headroom = min((a.headroom for a in busy), default=account.headroom)
        for other in busy:
            if other.customer_id not in throughputs:
                throughputs[other.customer_id] = max(self._demand(now, other).throughput, MIN_THROUGHPUT)
        capped = [a for a in busy if a.in_flight_cap > 1]
        slowest = min((a.in_flight_cap * SECOND / throughputs[a.customer_id] for a in capped), default=inf)
        delay = self.model.delay

        def wait(level: int) -> float:
            return self.model.network.wait(others + level)

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
