"""What all ways of holding quotas decide alike; by itself, the local one, with nobody to ask."""

import random
from math import ceil

from ...state.customer import CustomerAccount, DecayTimes
from ...state.quota_base import QuotaBase
from ...state.quota_decision import Charge, QuotaDecision, Verdict
from ...types import Action, Settings
from ...units import SECOND
from ..lease import Leases
from ..queue_model import TICK
from ..time_constants import LONG_MEMORY, SHORT_MEMORY

REPORT_FRESH_FOR = 1 * SECOND  # ns for which a report of usage elsewhere counts in full ...
REPORT_EXPIRES_AFTER = (
    3 * SECOND
)  # ... and from which on not at all: silent gateways' slices are theirs again
MIN_RESERVATION_TIME = 4 * TICK  # ns to the deadline: with less a request can't wait for a reply
UNCOUNTED_SLOT_PROBABILITY = 0.4  # that a slot is free where even slices of an in-flight limit are under one
PLAN_PRIOR_WEIGHT = 0.1  # samples of no grant: a plan's first reports already say more
CUSTOMER_PRIOR_WEIGHT = 0.5  # samples of its plan's grants: the customer's own first report outweighs them
USAGE_GRANT_SPAN = 0.5  # of a quota, around all used: from surely granted to surely denied
GOSSIP_REPEATS = 3  # messages that repeat a changed total, as any may get lost
DECAY = DecayTimes(SHORT_MEMORY, SHORT_MEMORY, 3 * LONG_MEMORY, LONG_MEMORY, 3 * LONG_MEMORY, LONG_MEMORY)


class Quota(QuotaBase):
    """Local slices; subclasses add whom to ask. Random draws come before the caller's own."""

    leases: Leases | None = None
    sliced_ceiling_fraction = 1.0  # part of a ceiling that is held in even slices

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng, DECAY)

    def _prepare(self, account: CustomerAccount, spread: int) -> None:
        account.reported_at = -REPORT_EXPIRES_AFTER

    def _slice(self, account: CustomerAccount, count: int, first: int) -> None:
        """Start so that all slices hold the whole on average, and a ceiling's only its slack."""
        super()._slice(account, count, first)
        tokens, largest = account.plan.burst / account.slice_count, self.settings.largest_request_units
        chance = tokens / max(largest, 1e-9)
        account.local_tokens = tokens if chance >= 1.0 else largest * (self.rng.random() < chance)
        slack = account.plan.ceiling_slack * self.sliced_ceiling_fraction
        account.ceiling_tokens += slack / account.slice_count

    def _is_owner(self, account: CustomerAccount) -> bool:
        """Return whether the bucket kept here is the customer's whole one."""
        return account.slice_count == 1

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that counts as this gateway's: all of it while reports are fresh."""
        span = REPORT_EXPIRES_AFTER - REPORT_FRESH_FOR
        reports = self._report_times(now, account)
        freshness = [min(1.0, max(0.0, (REPORT_EXPIRES_AFTER - now + at) / span)) for at in reports]
        return (1.0 + sum(freshness) / len(reports) * (account.slices - 1)) / account.slices

    def _report_times(self, now: int, account: CustomerAccount) -> list[int]:
        return [now if self._is_owner(account) else account.reported_at]

    def decide(
        self, now: int, account: CustomerAccount, units: float, deadline: int, congested: bool
    ) -> QuotaDecision:
        """Charge a request to its customer's quota; nothing is reported of it before it was sent."""
        return self._decide(now, Charge(account, units, deadline, account.excess_pays and not congested))

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        if self._is_owner(charge.account):
            return QuotaDecision.immediate(self._spend_from_bucket(now, charge))
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units))

    def _spend_from_bucket(self, now: int, charge: Charge) -> bool:
        return (charge.may_exceed or self._permits(now, charge.account, charge.units)) and self._debit(charge)

    def _debit(self, charge: Charge) -> bool:
        account = charge.account
        within = not account.plan.rate or account.tokens >= charge.units
        if not (within or charge.may_exceed) or not account.below_ceiling(charge.units):
            return False
        account.ceiling_tokens -= charge.units
        if within and account.plan.rate:
            account.spend_from_quota(charge.units)
            account.pending_gossip = GOSSIP_REPEATS
        return True

    def _permits(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether ceiling and in-flight limit have room; the limit's even slice without a fresh report."""
        limit = account.plan.max_in_flight
        fresh = now - account.in_flight_elsewhere_at < REPORT_FRESH_FOR // 4
        most = ceil(limit / (1 if fresh else account.slices))
        has_slot = not limit or account.in_flight + fresh * account.in_flight_elsewhere < most
        return has_slot and account.below_ceiling(units)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Decide without the bucket's state: by the even slice, else at random, as often as grants came lately."""
        from_slice = account.local_tokens >= units
        drawn = from_slice or self.rng.random() < self._grant_probability(now, account, units)
        if not drawn or not self._permits(now, account, units):
            return False
        account.local_tokens -= units * from_slice
        account.ceiling_tokens -= units
        return True

    def _grant_probability(self, now: int, account: CustomerAccount, units: float) -> float:
        plan_ratio = self.plan_grant_ratio[account.plan_index].mean_with_prior(now, 0.0, PLAN_PRIOR_WEIGHT)
        fits = account.fraction_within_slice(now, units, LONG_MEMORY)
        fits *= UNCOUNTED_SLOT_PROBABILITY if self._in_flight_slot(account) else 1.0
        return account.grant_ratio.mean_with_prior(now, plan_ratio, CUSTOMER_PRIOR_WEIGHT) * fits

    def _in_flight_slot(self, account: CustomerAccount) -> float:
        """Return what a request in flight adds to the shared count; 0 where none is kept."""
        return 0.0

    def _reserve(self, now: int, charge: Charge) -> QuotaDecision:
        """Ask for the units, and hold the request where its deadline leaves time for the reply."""
        if charge.may_exceed and not charge.account.plan.ceiling_rate:
            return QuotaDecision.immediate(True)
        reservation = self.next_reservation()
        action = self._reservation(now, charge, reservation)
        if charge.deadline - now >= MIN_RESERVATION_TIME:
            return QuotaDecision(Verdict.RESERVED, [action], reservation=reservation)
        return QuotaDecision.immediate(self.decide_locally(now, charge.account, charge.units), [action])

    def _reservation(self, now: int, charge: Charge, reservation: int) -> Action:
        raise NotImplementedError

    def record_usage(self, now: int, account: CustomerAccount, percent: int) -> None:
        """Take a backend's report as a sign of the next grant too: full use grants half."""
        super().record_usage(now, account, percent)
        granted = 0.5 + (1.01 - (percent + 1) / 100) / USAGE_GRANT_SPAN
        account.grant_ratio.add(now, min(1.0, max(0.0, granted)))
