"""Table of QoS commitments, and the evaluation that sets each customer's cap."""

from collections.abc import Sequence
from math import ceil, inf

from ...units import SECOND
from ..congestion.queue_model import QueueModel
from ..quota.account.customer_account import CustomerAccount
from ..quota.quota import Quota
from .commitment import Commitment, Demand
from .seven_cases import seven_cases

IDLE_TIMEOUT_NS = 10 * SECOND  # longer than the pauses of a steady customer
EVALUATION_INTERVAL_NS = 2 * SECOND  # long enough to refit the model, short enough to follow a burst
PRUNE_INTERVAL_NS = IDLE_TIMEOUT_NS
MIN_THROUGHPUT_PER_S = 1e-3  # floor of XMIN, too low to limit the response time of others
MIN_BUSY_IN_FLIGHT = 0.05  # mean in flight from which a commitment constrains others
# Bounds of the work of one tick. With more active customers, samples and evaluations become rarer.
MAX_SAMPLES_PER_TICK = 2000
MAX_EVALUATIONS_PER_TICK = 500


class CommitmentTable:
    """Commitments to all customers with an account, and the active subset."""

    def __init__(self, model: QueueModel, quota: Quota, now: int) -> None:
        """Start without commitments; the first pruning is due one interval after `now`."""
        self.model = model
        self.quota = quota
        self.by_customer: dict[int, Commitment] = {}  # active and idle
        self.active: dict[int, Commitment] = {}  # those with a cap, by customer
        self._busy: list[Commitment] = []  # active ones that constrain others, by the last samples
        self._unsampled: list[Commitment] = []  # the active ones that the current round has yet to sample
        self._sampled_busy: list[Commitment] = []  # those that the current round has found busy
        self._pruned_at = now

    def add(self, account: CustomerAccount) -> Commitment:
        """Add and return a commitment to a customer that has none."""
        commitment = self.by_customer[account.customer_id] = Commitment(account)
        return commitment

    def evaluate_due(self, now: int) -> None:
        """Suspend idle commitments and evaluate those due, lowest priority first so that it is cut first."""
        self._suspend_idle(now)
        due = [c for c in self.active.values() if now - c.evaluated_at >= EVALUATION_INTERVAL_NS]
        if len(due) > MAX_EVALUATIONS_PER_TICK:
            due = sorted(due, key=lambda c: c.evaluated_at)[:MAX_EVALUATIONS_PER_TICK]
        throughputs: dict[int, float] = {}
        for commitment in sorted(due, key=lambda c: (c.priority_weight, c.account.customer_id)):
            self.evaluate(now, commitment, throughputs)

    def _suspend_idle(self, now: int) -> None:
        """Sample the requests in flight, and suspend commitments to idle customers."""
        if not self._unsampled:
            self._unsampled = list(self.active.values())
        sampled = self._unsampled[:MAX_SAMPLES_PER_TICK]
        del self._unsampled[:MAX_SAMPLES_PER_TICK]
        for commitment in sampled:
            self._sample(now, commitment)
        if not self._unsampled:
            self._busy, self._sampled_busy = self._sampled_busy, []

    def _sample(self, now: int, commitment: Commitment) -> None:
        """Sample one customer's requests in flight; suspend its commitment if it is idle."""
        account = commitment.account
        if self.active.get(account.customer_id) is not commitment:
            return  # removed since the round began
        commitment.mean_in_flight.add(now, account.in_flight)
        if now - account.last_request_at > IDLE_TIMEOUT_NS and not account.in_flight:
            commitment.suspend()
            del self.active[account.customer_id]
        elif commitment.mean_in_flight.value > MIN_BUSY_IN_FLIGHT:
            self._sampled_busy.append(commitment)

    def prune_due(self, now: int) -> None:
        """Periodically remove accounts that the quota no longer needs, and their commitments."""
        if now - self._pruned_at < PRUNE_INTERVAL_NS:
            return
        self._pruned_at = now
        for customer_id in self.quota.prune(now):
            self.remove(customer_id)

    def remove(self, customer_id: int) -> None:
        """Remove the commitment to a customer whose account was removed, if there is one."""
        self.by_customer.pop(customer_id, None)
        self.active.pop(customer_id, None)

    def evaluate(self, now: int, commitment: Commitment, throughputs: dict[int, float]) -> None:
        """Set the customer's cap: the requested concurrency, or under congestion the seven cases' offer.

        `throughputs` caches XMIN by customer for evaluations at the same `now`.
        """
        self.active[commitment.account.customer_id] = commitment
        demand = self._demand(now, commitment)
        cap = demand.concurrency
        if self.model.congested:
            offered = self._offered_concurrency(now, commitment, demand, throughputs)
            cap = max(1, offered)  # a rejected customer keeps a cap of one
        commitment.set_cap(now, cap)

    def _offered_concurrency(
        self, now: int, commitment: Commitment, demand: Demand, throughputs: dict[int, float]
    ) -> int:
        """Return the concurrency that the seven cases offer; 0 rejects the customer."""
        others = self._busy_others(commitment)
        in_flight = sum([other.expected_in_flight for other in others])
        headroom = min([other.headroom for other in others], default=commitment.headroom)
        max_response_time = self._max_response_time(now, others, throughputs)
        network = self.model.network
        delay = self.model.delay

        def wait(level: int) -> float:
            return network.wait(in_flight + level)

        return seven_cases(
            max(demand.concurrency, ceil(commitment.mean_in_flight.value)),
            response=lambda level: wait(level) <= commitment.headroom,
            throughput=lambda level: level * SECOND >= demand.throughput * (delay + wait(level)),
            commitments=lambda level: wait(level) <= headroom and delay + wait(level) <= max_response_time,
        )

    def _busy_others(self, commitment: Commitment) -> list[Commitment]:
        return [other for other in self._busy if other is not commitment]

    def _max_response_time(
        self, now: int, others: Sequence[Commitment], throughputs: dict[int, float]
    ) -> float:
        """Return the longest response time (ns) at which all others reach their XMIN within their caps."""
        for other in others:
            if other.account.customer_id not in throughputs:
                throughput = max(self._demand(now, other).throughput, MIN_THROUGHPUT_PER_S)
                throughputs[other.account.customer_id] = throughput
        capped = [other for other in others if other.in_flight_cap > 1]
        return min(
            [other.in_flight_cap * SECOND / throughputs[other.account.customer_id] for other in capped],
            default=inf,
        )

    def _demand(self, now: int, commitment: Commitment) -> Demand:
        return commitment.demand(now, self.quota.quota_share(now, commitment.account))
