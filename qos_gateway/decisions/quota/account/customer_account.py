"""One customer's state at this gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from ....types import Plan
from ....units import SECOND
from ...snapshot import AccountSnapshot, MeanSnapshot
from ...statistics.time_constants import LONG_TIME_CONSTANT_NS
from .bucket_reports import BucketReports
from .counter_calls import CounterCalls
from .customer_buckets import CustomerBuckets
from .customer_demand import CustomerDemand
from .customer_lease import CustomerLease
from .metered_usage import MeteredUsage
from .peer_totals import PeerTotals

RETENTION_NS = 120 * SECOND  # time without requests after which an account is removed
MIN_RETENTION_NS = 20 * SECOND  # minimum for a customer that spent little, as most do not return
LOW_SPEND_QUARTER_UNITS = 8  # upper bound for a customer that spent little
MIN_EVICTION_AGE_NS = SECOND  # time without requests, longer than any reservation is pending
IN_FLIGHT_REPORT_VALID_NS = SECOND  # age up to which a handover includes `in_flight_elsewhere`


@dataclass(slots=True)
class CustomerAccount:
    """One customer's plan, buckets, demand and reports. Times are in ns, amounts in units."""

    customer_id: int
    plan: Plan
    plan_index: int
    last_request_at: int
    buckets: CustomerBuckets
    in_flight: int = 0
    demand: CustomerDemand = field(default_factory=CustomerDemand)
    usage: MeteredUsage = field(default_factory=MeteredUsage)
    reports: BucketReports = field(default_factory=BucketReports)
    peer_totals: PeerTotals = field(default_factory=PeerTotals)
    counter_calls: CounterCalls = field(default_factory=CounterCalls)
    lease: CustomerLease = field(default_factory=CustomerLease)

    @classmethod
    def create(
        cls, customer_id: int, plan: Plan, plan_index: int, now: int, refilled_at: int
    ) -> CustomerAccount:
        """Return the account of a new customer, whose bucket was full at `refilled_at`."""
        return cls(
            customer_id=customer_id,
            plan=plan,
            plan_index=plan_index,
            last_request_at=now,
            buckets=CustomerBuckets(plan, tokens=plan.burst, refilled_at=refilled_at),
        )

    def record_request(self, now: int, units: float) -> None:
        """Record a request that arrives at this gateway."""
        self.last_request_at = now
        self.demand.add(now, units)

    def record_peer_request(self, now: int) -> None:
        """Record that another gateway requested units, which extends the account's retention."""
        self.last_request_at = now

    @property
    def excess_pays(self) -> bool:
        """Whether the plan values a request beyond the quota above its cost."""
        return self.plan.excess_weight > self.plan.excess_cost

    def retention(self) -> int:
        """Return the time (ns) without requests after which the account is removed.

        The account's buckets are full by then.
        """
        return self._retention(MIN_RETENTION_NS)

    def _retention(self, minimum: int) -> int:
        """Return the time (ns) without requests after which nothing is lost with the account."""
        if self.peer_totals.spent_quarter_units > LOW_SPEND_QUARTER_UNITS or self.peer_totals.totals:
            return RETENTION_NS
        bucket_full_s = 2 * self.plan.burst / max(self.plan.rate, 1e-9)
        ceiling_full_s = self.plan.ceiling_burst / max(self.plan.ceiling_rate, 1e-9)
        return min(RETENTION_NS, max(minimum, int(SECOND * max(bucket_full_s, ceiling_full_s))))

    def is_evictable(self, now: int) -> bool:
        """Return whether the account can be removed before its retention ends, as nothing is lost with it."""
        is_unsettled = self.in_flight or self.counter_calls.has_unsettled_amounts or self.lease.fractions
        return not is_unsettled and now - self.last_request_at > self._retention(MIN_EVICTION_AGE_NS)

    def take(self, units: float, may_exceed: bool) -> bool:
        """Take units from the bucket and the ceiling, or from the ceiling alone if `may_exceed`.

        Return whether the units were taken.
        """
        within_quota = self.plan.rate and self.buckets.tokens >= units
        if not self.buckets.take(units, may_exceed):
            return False
        if within_quota:
            self.peer_totals.announce_spent(units)
        return True

    def take_from_slice(self, units: float, has_slot: bool, may_exceed: bool) -> bool:
        """Take units from the slices of quota and ceiling, or from the ceiling's alone if `may_exceed`.

        Return whether the units were taken.
        """
        if not self.buckets.take_from_slice(units, has_slot, may_exceed):
            return False
        self.peer_totals.record_spent(units)
        return True

    def spend_unreported(self, units: float) -> None:
        """Spend units of the bucket and the slices; the next call to the counter reports them."""
        self.buckets.spend_unreported(units)
        self.counter_calls.add_unreported(units)

    def record_report(self, now: int, tokens: float, granted: bool) -> None:
        """Set the bucket's tokens to those that its owner or the counter reported."""
        self.buckets.set_tokens(tokens)
        self.reports.record(now, tokens, granted)

    def record_in_flight(self, now: int, everywhere: float) -> None:
        """Record the number of requests in flight at all gateways, this one included."""
        self.reports.record_in_flight(now, max(0, int(everywhere) - self.in_flight))

    def apply_peer_total(self, peer: int, total: int, continues: bool, predates_restart: bool) -> None:
        """Deduct the units that a peer spent since its last running total.

        A total without a comparable predecessor is deducted as a whole, up to one burst; if it
        `predates_restart`, nothing is deducted.
        """
        spent = self.peer_totals.record_peer_total(peer, total, continues)
        if spent is None:
            spent = 0.0 if predates_restart else min(total / 4, self.plan.burst)
        self.buckets.spend_elsewhere(spent)

    def usage_estimate(self, now: int, prior: float, prior_units: float) -> float:
        """Return the fraction of the quota in use: the larger of the metered and the requested fraction.

        `prior` is the assumed fraction, weighted with `prior_units`; a single request of that size does not
        raise the estimate. The requests at this gateway are compared with its slice of the quota.
        """
        metered = self.usage.mean.mean_with_prior(now, prior, prior_units)
        requested = max(0.0, self.demand.unit_rate(now) * LONG_TIME_CONSTANT_NS / SECOND - prior_units)
        slice_units = self.plan.rate * LONG_TIME_CONSTANT_NS / SECOND / self.buckets.slices
        return max(metered, (prior * prior_units + requested) / (prior_units + slice_units))

    def fraction_within_slice(self, now: int, units: float) -> float:
        """Return the fraction (0 to 1) of the requests at this gateway that its slice of the quota can serve.

        The rate does not include the request of `units` that is being decided.
        """
        one_request_rate = units * SECOND / LONG_TIME_CONSTANT_NS
        slice_rate = self.plan.rate / self.buckets.slices
        return min(1.0, (slice_rate + 2 * one_request_rate) / (self.demand.unit_rate(now) + one_request_rate))

    def capture(
        self, now: int, incoming_fraction: float, outgoing_fraction: float, scales_bucket: bool
    ) -> AccountSnapshot:
        """Return the state for the next process, and keep the outgoing fraction of the tokens here.

        The quota's bucket is divided only if `scales_bucket`.
        """
        in_flight = self.in_flight
        if now - self.reports.in_flight_elsewhere_at < IN_FLIGHT_REPORT_VALID_NS:
            in_flight += self.reports.in_flight_elsewhere
        buckets = self.buckets
        snapshot = AccountSnapshot(
            customer_id=self.customer_id,
            plan_index=self.plan_index,
            slice_count=buckets.slice_count,
            peers=self.peer_totals.peers,
            in_flight=in_flight,
            tokens=buckets.tokens * incoming_fraction if scales_bucket else buckets.tokens,
            local_tokens=buckets.local_tokens * incoming_fraction,
            ceiling_tokens=buckets.ceiling_tokens * incoming_fraction,
            reported_at=self.reports.reported_at,
            long_demand=MeanSnapshot.of(self.demand.long_term),
            grant_ratio=MeanSnapshot.of(self.reports.grant_ratio),
        )
        buckets.scale(outgoing_fraction, scales_bucket)
        return snapshot

    def restore(self, now: int, captured: AccountSnapshot) -> None:
        """Restore the state that the previous process captured."""
        self.buckets.restore(
            captured.slice_count, captured.tokens, captured.local_tokens, captured.ceiling_tokens
        )
        self.peer_totals.set_peers(captured.peers)
        self.demand.restore(captured.long_demand.to_mean())
        self.reports.restore(captured.reported_at, captured.grant_ratio.to_mean())
        self.reports.record_in_flight(now, captured.in_flight)
