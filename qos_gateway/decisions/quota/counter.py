"""Quotas held by a counter that all gateways share, each request counted or parts of the quota leased."""

import random
from math import ceil

from ...types import Action, CounterReplied, Outcome, Settings
from ...units import SECOND
from ..statistics.time_constants import LONG_MEMORY_NS
from . import leases as lease
from .account import CustomerAccount
from .base import TUNING, Quota
from .counter_reading import CounterReading
from .counter_total import customer_of
from .quota_decision import Charge, QuotaDecision, QuotaReply
from .token_bucket import TokenBucket, ceiling_beyond_quota, leased_ceiling, whole_slice

CALL_RATE_INCREASE = 0.01  # of the call rate with each reply: a crowded counter must not be crowded again
CALL_RATE_FACTOR = 0.7  # for the call rate with each call that fails
MIN_CALL_RATE = 0.05  # at which the counter is still seen to come back
LIGHT_USAGE = 0.75  # of a quota, as reported and as seen here, up to which the bucket surely has tokens
TYPICAL_USAGE = 0.4  # of a quota, assumed of a customer of which little was seen
UNCERTAIN_USAGE = 0.75  # of a quota, estimated, from which on the bucket may be empty
COUNTER_LAG_FRACTION = 0.125  # of a burst by which the counter may differ from the bucket uncorrected


class CounterQuota(Quota):
    """The counter adds up what all gateways spend, held against the refill since its key's lifetime began."""

    uses_counter = True

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        if self._probably_has_tokens(now, account):
            account.unreported_units = max(0.0, account.unreported_units - account.plan.rate * elapsed_s)

    def _ceiling_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        """Return a slice of what the ceiling has beyond the quota: the counter grants the rest."""
        if account.slice_count <= 1:
            return super()._ceiling_bucket(account, even)
        bucket = ceiling_beyond_quota(account.plan)
        largest = self.settings.largest_request_units
        return whole_slice(bucket, even, self.handover_fraction, largest, account.rank, account.slice_count)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        account, plan = charge.account, charge.account.plan
        if not self._is_owner(account) and (charge.may_exceed or not plan.max_in_flight):
            unlimited = charge.may_exceed and not plan.ceiling_rate
            if self._spend_from_slice(now, account, charge.units) or unlimited:
                return QuotaDecision.immediate(True)
            if account.tokens < charge.units:
                return QuotaDecision.immediate(False)  # the most that the bucket can hold by now
        # A report this fresh is acted on at once, unless only this slice of the ceiling stands against it.
        is_current = now - account.reported_at < TUNING.report_fresh_for // 4
        is_current = is_current and (account.tokens < charge.units or account.below_ceiling(charge.units))
        if is_current or self._is_owner(account):
            return QuotaDecision.immediate(self._take_from_bucket(now, charge), reports=is_current)
        # A crowded counter is called for doubtful customers first.
        may_skip = self.call_rate < 1.0 and self._may_spend_unreported(now, account, charge.units)
        if self.rng.random() < self._call_probability(may_skip):
            return self._reserve(now, charge)
        return QuotaDecision.immediate(self.decide_locally(now, account, charge.units))

    def _call_probability(self, may_skip: bool) -> float:
        return min(1.0, max(0.0, 2.0 * self.call_rate - may_skip))

    def _may_call(self) -> bool:
        return self.rng.random() < self.call_rate

    def _largest_unreported(self, account: CustomerAccount) -> float:
        return max(self.settings.largest_request_units, COUNTER_LAG_FRACTION * account.plan.burst)

    def _spend_from_slice(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend a little of the even slice without a call, while the customer surely has tokens."""
        little = account.unreported_units + units <= self._largest_unreported(account) <= account.local_tokens
        reported = now - account.usage_reported_at < TUNING.report_expires_after
        light = reported and account.reported_usage < LIGHT_USAGE
        light = light and account.requested_rate(now) < LIGHT_USAGE * account.plan.rate / account.slices
        if not (little and light and self._permits(now, account, units)):
            return False
        account.spend_unreported(units)
        return True

    def _probably_has_tokens(self, now: int, account: CustomerAccount) -> bool:
        """Return whether the bucket likely has tokens where reports are too rare to be certain."""
        largest = self.settings.largest_request_units
        return account.usage_estimate(now, TYPICAL_USAGE, largest, LONG_MEMORY_NS) < UNCERTAIN_USAGE

    def _may_spend_unreported(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether a little may be spent of a bucket that likely has tokens, without a call."""
        little = account.unreported_units + units <= self._largest_unreported(account)
        permitted = little and account.tokens >= units and self._permits(now, account, units)
        return permitted and self._probably_has_tokens(now, account)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend a little of a bucket that likely has tokens, else decide as without a counter."""
        if not self._may_spend_unreported(now, account, units):
            return super().decide_locally(now, account, units)
        account.spend_unreported(units)
        return True

    def _ask(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Count units and a slot; while not all requests are counted each stands for those that are not."""
        counted = self._call_probability(False)
        if counted < 1.0 and not self._may_spend_unreported(now, account, units):
            units /= counted
        return self.call_counter(now, account, units + self._in_flight_slot(account), reservation)

    def _adapt_call_rate(self, outcome: Outcome) -> None:
        """Call a counter less that fails, and slowly more once it replies; a reset is no sign of a crowd."""
        if outcome is Outcome.OK:
            self.call_rate = min(1.0, self.call_rate + CALL_RATE_INCREASE)
        elif outcome is not Outcome.RESET:
            self.call_rate = max(MIN_CALL_RATE, self.call_rate * CALL_RATE_FACTOR)

    def _on_reading(self, now: int, reading: CounterReading) -> QuotaReply:
        """Take a correction back that another gateway made first, or grant what the bucket holds."""
        account, call, plan = reading.account, reading.call, reading.account.plan
        if call.is_correction or call.amount < 0:
            doubled = call.is_correction and reading.surplus < call.amount / 2  # another gateway was first
            return QuotaReply(actions=[self.call_counter(now, account, -call.amount)] if doubled else [])
        has_tokens = not plan.rate or reading.tokens >= min(reading.units, plan.burst / 2)
        granted = has_tokens and (not plan.max_in_flight or reading.in_flight < plan.max_in_flight)
        account.record_in_flight(now, reading.in_flight)
        actions = self._corrections(now, reading, granted)
        # A total that is wrong for a moment must not shut the customer out for longer than reports are fresh.
        floor = -plan.rate * TUNING.report_fresh_for / (4 * SECOND)
        tokens = reading.tokens - reading.units * granted - account.unreported_units
        self.record_report(now, account, max(floor, tokens), granted)
        return QuotaReply(call.reservation, granted, actions)

    def _corrections(self, now: int, reading: CounterReading, granted: bool) -> list[Action]:
        account, call = reading.account, reading.call
        actions: list[Action] = []
        if unconfirmed := account.unconfirmed_correction:
            # Nobody knows whether another gateway made it too: far below an empty bucket, one did.
            if reading.surplus < -account.plan.burst - unconfirmed / 2:
                actions.append(self.call_counter(now, account, -unconfirmed))
            account.unconfirmed_correction = 0.0
        if call.amount and not granted and (call.reservation or account.excess_pays):
            actions.append(self.call_counter(now, account, -call.amount))
        elif reading.surplus * self.call_rate > account.plan.burst * COUNTER_LAG_FRACTION:
            actions.append(self.call_counter(now, account, reading.surplus, correction=True))
        return actions


class LeasedQuota(CounterQuota):
    """Parts of the quota are leased where all gateways of a customer can; other requests are counted."""

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng)
        self.leases: lease.Leases = lease.Leases(settings.lease_term, self.incarnation, rng)

    def is_leased(self, account: CustomerAccount) -> bool:
        """Return whether all gateways lease the quota; none does where a slice can't hold a request."""
        plan, slices = account.plan, account.slice_count
        if slices < 2 or not plan.rate:
            return False
        floor = leased_ceiling(plan, lease.EVEN_FRACTION / slices, 1.0 / slices)
        return not plan.ceiling_rate or floor.capacity >= self.settings.largest_request_units

    def _share(self, account: CustomerAccount) -> float:
        return self.leases.quota_share(account.refilled_at, account) * self.handover_fraction

    def _local_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._local_bucket(account, even)
        share = self._share(account)
        return self.local_bucket(account.plan, share, min(1.0, lease.MAX_SAVED_FRACTION * share))

    def _ceiling_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._ceiling_bucket(account, even)
        return leased_ceiling(account.plan, self._share(account), even)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        """Decide by the local slice alone: nobody is asked, and no request waits."""
        account, limit = charge.account, charge.account.plan.max_in_flight
        if not self.is_leased(account):
            return super()._decide(now, charge)
        claims = self.leases.claim(now, account, self.settings.largest_request_units, self.call_rate)
        has_slot = not limit or account.in_flight < ceil(limit / account.slice_count)
        admitted = account.take_from_slice(charge.units, has_slot, charge.may_exceed)
        return QuotaDecision.immediate(admitted, claims)

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Take in a reply to a claim, or to a counted request."""
        if event.key not in self.leases.pending_claims:
            return super().on_counter_reply(now, event)
        self._adapt_call_rate(event.outcome)
        self.leases.on_counter_reply(now, event, self.accounts.get(customer_of(event.key)))
        return QuotaReply()
