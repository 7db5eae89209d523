"""What this gateway knows of one customer, and the arithmetic on it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ...types import Plan
from ...units import SECOND
from ..statistics.decaying_mean import DecayingMean
from .peer_messages import CustomerTotal
from .peer_totals import spent_since
from .pending_calls import CounterCall

NEVER = -(1 << 62)  # a time in ns before all others


@dataclass(frozen=True, slots=True)
class DecayTimes:
    """Time constants of decaying means, in ns."""

    short: int  # for what happens often: requests in flight, demand
    long: int  # for what happens seldom
    longest: int  # for what is reported seldom: grants, metered usage


@dataclass(frozen=True, slots=True)
class RetentionTimes:
    """How long (ns) the account of a customer that sends nothing is kept."""

    regular: int
    rare: int  # of a customer that spent no more than so many quarter units here:
    rare_quarter_units: int


@dataclass(slots=True)
class CustomerAccount:
    """A customer's token buckets and their slices, and what was reported of it.

    Times are in ns, amounts in units.
    """

    customer_id: int
    plan: Plan
    plan_index: int
    owner: int  # position of the gateway that keeps the bucket, where it is kept by owners
    tokens: float  # of the quota's bucket, as far as is known here; negative where too much was spent
    refilled_at: int
    last_request_at: int
    reported_at: int  # when owner or counter last reported the bucket's state
    demand: DecayingMean  # units requested here
    grant_ratio: DecayingMean  # 1 for units granted, 0 for denied
    long_demand: DecayingMean  # units requested here, remembered longer than the demand
    usage: DecayingMean  # metered use as a fraction of the quota, weighted by the quota of its period
    in_flight_elsewhere_at: int = NEVER  # when the requests in flight elsewhere were last reported
    ceiling_tokens: float = 0.0  # of the ceiling's slice here
    local_tokens: float = 0.0  # of this gateway's slice of the quota
    peers: tuple[int, ...] = ()  # positions of the other gateways that serve the customer
    rank: int = 0  # of this gateway among those that serve the customer
    slice_count: int = 0  # gateways among which the quota is sliced; 0 where no request came here yet
    in_flight: int = 0
    spent_quarter_units: int = 0  # quarter units sent on inside the quota, since this gateway's start
    pending_gossip: int = 0  # messages that are still to repeat the running total
    peer_totals: dict[int, int] = field(default_factory=dict)  # last running total, by peer
    in_flight_elsewhere: int = 0  # requests in flight at other gateways, as reported
    reported_tokens: float = inf  # what owner or counter reported last
    counter_key: int = 0  # of the counter that last reported the bucket's state ...
    initial_deficit: float = 0.0  # ... and the units that the bucket lacked when the key's lifetime began
    pending_release: float = 0.0  # in-flight slots to give back with the next call to the counter; 0 or less
    unconfirmed_correction: float = (
        0.0  # correction of the counter of which no reply tells if it was made twice
    )
    unreported_units: float = 0.0  # units spent from the slice that the counter was not told of
    lease_fractions: dict[int, float] = field(default_factory=dict)  # leased part of the quota, by term
    next_claim_at: int = 0  # before which no lease is claimed
    unanswered_claim_term: int = -1  # the newest term for which a claim has no answer
    usage_reported_at: int = NEVER  # when a response last reported the use of the quota ...
    reported_usage: float = 0.0  # ... as a fraction of it

    @classmethod
    def create(
        cls, customer_id: int, plan: Plan, plan_index: int, owner: int, now: int, decay: DecayTimes
    ) -> CustomerAccount:
        """Return the account of a customer that is new here, with a full bucket."""
        return cls(
            customer_id,
            plan,
            plan_index,
            owner,
            tokens=plan.burst,
            refilled_at=now,
            last_request_at=now,
            reported_at=NEVER,
            demand=DecayingMean(decay.short),
            grant_ratio=DecayingMean(decay.longest),
            long_demand=DecayingMean(decay.long),
            usage=DecayingMean(decay.longest),
        )

    @property
    def slices(self) -> int:
        """Gateways among which the quota is sliced, one at least."""
        return max(1, self.slice_count)

    def observe(self, now: int, units: float) -> None:
        """Count a request that arrives here."""
        self.last_request_at = now
        self.demand.add(now, units)
        self.long_demand.add(now, units)

    @property
    def excess_pays(self) -> bool:
        """Whether a request beyond the quota is worth more than it costs, by the plan."""
        return self.plan.excess_weight > self.plan.excess_cost

    def below_ceiling(self, units: float) -> bool:
        """Return whether the ceiling's slice has room for the units."""
        return not self.plan.ceiling_rate or self.ceiling_tokens >= units

    def requested_rate(self, now: int) -> float:
        """Return the units a second that were requested here of late."""
        return self.long_demand.rate(now) * self.long_demand.value

    def retention(self, times: RetentionTimes) -> int:
        """Return for how long without requests this is kept: until its buckets are surely full again."""
        if self.spent_quarter_units > times.rare_quarter_units or self.peer_totals:
            return times.regular
        bucket_full = 2 * self.plan.burst / max(self.plan.rate, 1e-9)
        ceiling_full = self.plan.ceiling_burst / max(self.plan.ceiling_rate, 1e-9)
        return min(times.regular, max(times.rare, int(SECOND * max(bucket_full, ceiling_full))))

    def take(self, units: float, may_exceed: bool, gossip_repeats: int) -> bool:
        """Take units off the bucket and the ceiling's slice, or off the ceiling's alone where allowed.

        Units of the bucket are gossiped in as many messages.
        """
        within = not self.plan.rate or self.tokens >= units
        if not self._take_from_ceiling(units, within or may_exceed):
            return False
        if within and self.plan.rate:
            self.tokens -= units
            self.pending_gossip = gossip_repeats
            self.spent_quarter_units += round(4 * units)
        return True

    def take_from_slice(self, units: float, has_slot: bool, may_exceed: bool) -> bool:
        """Take units off the local slice and the ceiling's, off the ceiling's alone as allowed."""
        within = has_slot and self.local_tokens >= units
        if not self._take_from_ceiling(units, within or may_exceed):
            return False
        self.local_tokens -= units * within
        self.spent_quarter_units += round(4 * units)
        return True

    def _take_from_ceiling(self, units: float, allowed: bool) -> bool:
        if not allowed or not self.below_ceiling(units):
            return False
        self.ceiling_tokens -= units
        return True

    def spend_unreported(self, units: float) -> None:
        """Take units off bucket and slices; the counter is told later."""
        self.local_tokens = max(0.0, self.local_tokens - units)
        self.ceiling_tokens -= units
        self.tokens -= units
        self.unreported_units += units

    def record_report(self, now: int, tokens: float, granted: bool) -> None:
        """Take over the bucket's state as its owner or the counter reported it."""
        self.tokens = tokens
        self.reported_tokens = tokens
        self.reported_at = now
        self.grant_ratio.add(now, float(granted))

    def take_unsent(self, amount: float, reservation: int, is_correction: bool) -> CounterCall:
        """Return a call to the counter that reports what is unreported as well."""
        call = CounterCall(reservation, amount, is_correction, self.pending_release, self.unreported_units)
        self.pending_release = 0.0
        self.unreported_units = 0.0
        return call

    def restore_unsent(self, call: CounterCall) -> None:
        """Account for a call that is known not to have been added."""
        self.unreported_units += call.unreported
        is_release = not call.reservation and not call.is_correction
        self.pending_release += call.released + call.amount * is_release

    def record_unknown(self, call: CounterCall, in_flight_slot: float) -> None:
        """Account for a call that may have been added, as no reply came: its slot is held by nobody."""
        self.pending_release -= in_flight_slot * (call.reservation > 0)
        self.unconfirmed_correction += call.amount * call.is_correction

    def begin_key(self, key: int, tokens: float) -> None:
        """Go over to the counter of another key's lifetime, in which the bucket began with `tokens`."""
        self.counter_key = key
        self.initial_deficit = self.plan.burst - min(self.plan.burst, max(0.0, tokens))

    def total(self) -> CustomerTotal:
        """Return what peers are told of this customer."""
        return CustomerTotal(self.customer_id, self.spent_quarter_units, self.in_flight)

    def record_in_flight(self, now: int, everywhere: float) -> None:
        """Take over the count of requests in flight at all gateways."""
        self.in_flight_elsewhere_at = now
        self.in_flight_elsewhere = max(0, int(everywhere) - self.in_flight)

    def apply_peer_total(self, sender: int, total: int, continues: bool, is_past: bool) -> None:
        """Take off what a peer spent since its last total; one begun anew counts whole, unless `is_past`.

        Below zero too, or two gateways would both spend the same refill; not below minus a burst.
        """
        spent = spent_since(total, self.peer_totals.get(sender) if continues else None)
        if spent is None:
            spent = 0.0 if is_past else min(total / 4, self.plan.burst)
        self.tokens = min(self.tokens, max(-self.plan.burst, self.tokens - spent))
        self.peer_totals[sender] = total

    def add_lease(self, current_term: int, term: int, fraction: float) -> None:
        """Add a leased fraction of the quota for a term, and forget the leases of past terms."""
        current = {number: held for number, held in self.lease_fractions.items() if number >= current_term}
        self.lease_fractions = current | {term: current.get(term, 0.0) + fraction}

    def usage_estimate(self, now: int, prior: float, prior_units: float, memory: int) -> float:
        """Return the fraction of the quota in use: the metered or that requested here, whichever is more.

        `prior` is the fraction assumed, with the weight of `prior_units`; one such request says nothing.
        Requests here are held against the slice of the quota over `memory` ns.
        """
        metered = self.usage.mean_with_prior(now, prior, prior_units)
        requested = max(0.0, self.requested_rate(now) * memory / SECOND - prior_units)
        slice_units = self.plan.rate * memory / SECOND / self.slices
        return max(metered, (prior * prior_units + requested) / (prior_units + slice_units))

    def fraction_within_slice(self, now: int, units: float, memory: int) -> float:
        """Return the part of the requests seen here that the slice has room for, 0 to 1.

        The one request at hand, of `units`, says nothing of the rate.
        """
        one = units * SECOND / memory
        return min(1.0, (self.plan.rate / self.slices + 2 * one) / (self.requested_rate(now) + one))
