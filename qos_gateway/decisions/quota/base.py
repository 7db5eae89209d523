"""What all ways of holding quotas decide alike; by itself, the local one, with nobody to ask."""

from math import ceil

from ...types import Arrival
from ...units import SECOND
from ..statistics.time_constants import LONG_MEMORY_NS, SHORT_MEMORY_NS, TICK_INTERVAL_NS
from .account import CustomerAccount, DecayTimes, RetentionTimes
from .counter_protocol import CounterProtocol
from .leases import Leases
from .peer_protocol import ReservationProtocol
from .quota_base import QuotaTuning
from .quota_decision import Charge, QuotaDecision, Verdict

TUNING = QuotaTuning(
    decay=DecayTimes(SHORT_MEMORY_NS, LONG_MEMORY_NS, 3 * LONG_MEMORY_NS),
    # A rare customer spent eight quarter units at most: most such never come again.
    retention=RetentionTimes(120 * SECOND, 20 * SECOND, 8),
    report_fresh_for=1 * SECOND,  # in the order of latency objectives
    report_expires_after=3 * SECOND,  # then the slices of silent gateways are theirs again
    gossip_repeats=3,  # any message may get lost
    restart_margin=1 * SECOND,  # a fleet that starts together is no restart
    max_reordering_tenths=50,  # more of them come from a peer that restarted
)
USAGE_GRANT_SPAN = 0.5  # of a quota, around all used: from surely granted to surely denied
MIN_RESERVATION_TIME_NS = 4 * TICK_INTERVAL_NS  # to the deadline: with less a request can't wait for a reply
UNCOUNTED_SLOT_PROBABILITY = 0.4  # that a slot is free where even slices of an in-flight limit are under one
PLAN_PRIOR_WEIGHT = 0.1  # samples of no grant: a plan's first reports already say more
CUSTOMER_PRIOR_WEIGHT = 0.5  # samples of its plan's grants: a customer's own first report outweighs them


class Quota(CounterProtocol, ReservationProtocol):
    """Local slices; subclasses add whom to ask. Random draws come before the caller's own."""

    tuning = TUNING
    leases: Leases | None = None

    def decide(self, now: int, account: CustomerAccount, request: Arrival, congested: bool) -> QuotaDecision:
        """Charge a request to its customer's quota; nothing is reported of it before it was sent."""
        may_exceed = account.excess_pays and not congested
        return self._decide(now, Charge(account, request.units, request.deadline, may_exceed))

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        if self._is_owner(charge.account):
            return QuotaDecision.immediate(self._take_from_bucket(now, charge))
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units))

    def _take_from_bucket(self, now: int, charge: Charge) -> bool:
        if not (charge.may_exceed or self._permits(now, charge.account, charge.units)):
            return False
        return charge.account.take(charge.units, charge.may_exceed, TUNING.gossip_repeats)

    def _permits(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether ceiling and in-flight limit have room, the limit's even slice if unreported."""
        limit = account.plan.max_in_flight
        fresh = now - account.in_flight_elsewhere_at < TUNING.report_fresh_for // 4
        most = ceil(limit / (1 if fresh else account.slices))
        has_slot = not limit or account.in_flight + fresh * account.in_flight_elsewhere < most
        return has_slot and account.below_ceiling(units)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Decide without the bucket's state: by the even slice, else at random, as often as grants came."""
        from_slice = account.local_tokens >= units
        drawn = from_slice or self.rng.random() < self._grant_probability(now, account, units)
        if not drawn or not self._permits(now, account, units):
            return False
        account.local_tokens -= units * from_slice
        account.ceiling_tokens -= units
        return True

    def _grant_probability(self, now: int, account: CustomerAccount, units: float) -> float:
        plan_ratio = self.plan_grant_ratio[account.plan_index].mean_with_prior(now, 0.0, PLAN_PRIOR_WEIGHT)
        fits = account.fraction_within_slice(now, units, LONG_MEMORY_NS)
        fits *= UNCOUNTED_SLOT_PROBABILITY if self._in_flight_slot(account) else 1.0
        return account.grant_ratio.mean_with_prior(now, plan_ratio, CUSTOMER_PRIOR_WEIGHT) * fits

    def _usage_grant(self, percent: int) -> float:
        return min(1.0, max(0.0, 0.5 + (1.01 - (percent + 1) / 100) / USAGE_GRANT_SPAN))

    def _reserve(self, now: int, charge: Charge) -> QuotaDecision:
        """Ask for the units, and hold the request where its deadline leaves time for the reply."""
        if charge.may_exceed and not charge.account.plan.ceiling_rate:
            return QuotaDecision.immediate(True)
        reservation = self.next_reservation()
        action = self._ask(now, charge.account, charge.units, reservation)
        if charge.deadline - now >= MIN_RESERVATION_TIME_NS:
            return QuotaDecision(Verdict.RESERVED, [action], reservation=reservation)
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units), [action])
