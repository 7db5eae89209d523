"""Quotas held by a counter that all gateways share, each request counted or parts of the quota leased."""

import random
from collections.abc import Iterable
from math import ceil

from ...state.counter_reading import CounterReading, read_counter
from ...state.counter_total import IN_FLIGHT_UNIT, customer_of
from ...state.customer import CustomerAccount
from ...state.quota_decision import Charge, QuotaDecision, QuotaReply
from ...state.token_bucket import TokenBucket, ceiling_beyond_quota, leased_ceiling
from ...types import Action, CounterReplied, Outcome, Settings
from ...units import SECOND
from .. import lease
from ..time_constants import LONG_MEMORY
from .base import REPORT_EXPIRES_AFTER, REPORT_FRESH_FOR, Quota

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

    def _prepare(self, account: CustomerAccount, spread: int) -> None:
        """Fill the slices of a customer that is new here since the start: nothing of them was spent."""
        super()._prepare(account, spread)
        account.refilled_at = self.started_at if spread else account.refilled_at

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        if account.unreported_units and self._likely_has_tokens(now, account):
            account.unreported_units = max(0.0, account.unreported_units - account.plan.rate * elapsed_s)

    def _ceiling_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        """Return the slice of what the ceiling has beyond the quota, as the counter grants the rest.

        Where an even slice is less than a request it is in as many whole ones, with the first of the gateways.
        """
        if account.slice_count <= 1:
            return super()._ceiling_bucket(now, account, even)
        bucket = ceiling_beyond_quota(account.plan)
        whole = int(bucket.capacity / self.settings.largest_request_units)
        if whole < account.slice_count:
            even = self.handover_fraction * (account.rank < whole) / max(1, whole)
        return bucket.scaled(even)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        account, plan = charge.account, charge.account.plan
        if not self._is_owner(account) and (charge.may_exceed or not plan.max_in_flight):
            unlimited = charge.may_exceed and not plan.ceiling_rate
            if self._spend_from_slice(now, account, charge.units) or unlimited:
                return QuotaDecision.immediate(True)
            if account.tokens < charge.units:
                return QuotaDecision.immediate(False)  # the most that the bucket can hold by now
        # A report this fresh is acted on at once, unless only this slice of the ceiling stands against it.
        known = now - account.reported_at < REPORT_FRESH_FOR // 4
        known = known and (account.tokens < charge.units or account.below_ceiling(charge.units))
        if known or self._is_owner(account):
            return QuotaDecision.immediate(self._spend_from_bucket(now, charge), reports=known)
        # A crowded counter is called for doubtful customers first.
        trusted = self.call_rate < 1.0 and self._may_spend_unreported(now, account, charge.units)
        if self.rng.random() < self._call_probability(trusted):
            return self._reserve(now, charge)
        return QuotaDecision.immediate(self.decide_locally(now, account, charge.units))

    def _call_probability(self, trusted: bool) -> float:
        return min(1.0, max(0.0, 2.0 * self.call_rate - trusted))

    def _largest_unreported(self, account: CustomerAccount) -> float:
        return max(self.settings.largest_request_units, COUNTER_LAG_FRACTION * account.plan.burst)

    def _spend_from_slice(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend a little of the even slice without a call, while the customer surely has tokens."""
        little = account.unreported_units + units <= self._largest_unreported(account) <= account.local_tokens
        reported = now - account.usage_reported_at < REPORT_EXPIRES_AFTER
        light = reported and account.reported_usage < LIGHT_USAGE
        light = light and account.requested_rate(now) < LIGHT_USAGE * account.plan.rate / account.slices
        if not (little and light and self._permits(now, account, units)):
            return False
        account.spend_unreported(units)
        return True

    def _likely_has_tokens(self, now: int, account: CustomerAccount) -> bool:
        largest = self.settings.largest_request_units
        return account.usage_estimate(now, TYPICAL_USAGE, largest, LONG_MEMORY) < UNCERTAIN_USAGE

    def _may_spend_unreported(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether the bucket likely has tokens, so that a little may be spent without a call to spare."""
        little = account.unreported_units + units <= self._largest_unreported(account)
        permitted = little and account.tokens >= units and self._permits(now, account, units)
        return permitted and self._likely_has_tokens(now, account)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend a little of a bucket that likely has tokens, else decide as without a counter."""
        if not self._may_spend_unreported(now, account, units):
            return super().decide_locally(now, account, units)
        account.spend_unreported(units)
        return True

    def _reservation(self, now: int, charge: Charge, reservation: int) -> Action:
        return self._count(now, charge.account, charge.units, reservation)

    def report_consumed(self, now: int, account: CustomerAccount, units: float) -> Action:
        """Count units that were spent by a fresh report."""
        self.next_reservation()
        return self._count(now, account, units)

    def _count(self, now: int, account: CustomerAccount, units: float, reservation: int = 0) -> Action:
        """Count units and a slot; while not all requests are counted each stands for those that are not."""
        counted = self._call_probability(False)
        if counted < 1.0 and not self._may_spend_unreported(now, account, units):
            units /= counted
        return self.call_counter(now, account, units + self._in_flight_slot(account), reservation)

    def _in_flight_slot(self, account: CustomerAccount) -> float:
        return IN_FLIGHT_UNIT * (account.plan.max_in_flight > 0)

    def release(self, now: int, account: CustomerAccount) -> list[Action]:
        """Take a slot out of the count."""
        slot = self._in_flight_slot(account)
        return [self.call_counter(now, account, -slot)] if slot else []

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:
        """Take slots out of the count whose calls failed, or customers would be shut out."""
        late = [account for account in accounts if account.pending_release <= -IN_FLIGHT_UNIT / 2]
        return [
            self.call_counter(now, account, 0.0) for account in late if self.rng.random() < self.call_rate
        ]

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Take in the bucket's state, or account for a call that failed."""
        account = self.accounts.get(customer_of(event.key))
        call = self.pending_calls.pop_oldest(event.key) if account else None
        if account is None or call is None:
            return QuotaReply()
        self._adapt_call_rate(event.outcome)
        slot = self._in_flight_slot(account)
        if event.outcome is Outcome.OK:
            self.refill(now, account)
            return self._on_reading(now, read_counter(now, account, call, event, slot, LONG_MEMORY))
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET):
            account.record_unknown(call, slot)
        else:
            account.restore_unsent(call)
        return QuotaReply(call.reservation)

    def _adapt_call_rate(self, outcome: Outcome) -> None:
        """Call a counter less that fails, and slowly more once it replies; a reset is no sign of a crowd."""
        if outcome is Outcome.OK:
            self.call_rate = min(1.0, self.call_rate + CALL_RATE_INCREASE)
        elif outcome is not Outcome.RESET:
            self.call_rate = max(MIN_CALL_RATE, self.call_rate * CALL_RATE_FACTOR)

    def _on_reading(self, now: int, reading: CounterReading) -> QuotaReply:
        account, call, plan = reading.account, reading.call, reading.account.plan
        if call.is_correction or call.amount < 0:
            doubled = call.is_correction and reading.surplus < call.amount / 2  # another gateway was first
            return QuotaReply(actions=[self.call_counter(now, account, -call.amount)] if doubled else [])
        has_tokens = not plan.rate or reading.tokens >= min(reading.units, plan.burst / 2)
        has_slot = not plan.max_in_flight or reading.in_flight < plan.max_in_flight
        granted = has_tokens and has_slot
        account.record_in_flight(now, reading.in_flight)
        actions = self._corrections(now, reading, granted)
        # A total that is wrong for a moment must not shut the customer out for longer than reports are fresh.
        least = -plan.rate * REPORT_FRESH_FOR / (4 * SECOND)
        tokens = reading.tokens - reading.units * granted - account.unreported_units
        self.record_report(now, account, max(least, tokens), granted)
        return QuotaReply(call.reservation, granted, actions)

    def _corrections(self, now: int, reading: CounterReading, granted: bool) -> list[Action]:
        account, call, actions = reading.account, reading.call, list[Action]()
        if unconfirmed := account.unconfirmed_correction:
            # Nobody knows whether another gateway made it too: far below an empty bucket, one did.
            undo = self.call_counter(now, account, -unconfirmed)
            actions += [undo] * (reading.surplus < -account.plan.burst - unconfirmed / 2)
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
        """Return whether the quota is leased: alike at all gateways, or some would count it and others lease it.

        A part of the ceiling that can't hold a request is of no use.
        """
        plan, slices = account.plan, account.slice_count
        if slices < 2 or not plan.rate:
            return False
        floor = leased_ceiling(plan, lease.EVEN_FRACTION / slices, 1.0 / slices)
        return not plan.ceiling_rate or floor.capacity >= self.settings.largest_request_units

    def _share(self, now: int, account: CustomerAccount) -> float:
        return self.leases.quota_share(now, account) * self.handover_fraction

    def _local_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._local_bucket(now, account, even)
        share = self._share(now, account)
        return self.local_bucket(account, share, min(1.0, lease.MAX_SAVED_FRACTION * share))

    def _ceiling_bucket(self, now: int, account: CustomerAccount, even: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._ceiling_bucket(now, account, even)
        return leased_ceiling(account.plan, self._share(now, account), even)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        if not self.is_leased(charge.account):
            return super()._decide(now, charge)
        largest = self.settings.largest_request_units
        claims = self.leases.claim(now, charge.account, largest, self.call_rate)
        return QuotaDecision.immediate(self._spend_leased(charge), claims)

    def _spend_leased(self, charge: Charge) -> bool:
        """Spend from the local slice alone: nobody is asked, and no request waits."""
        account, limit = charge.account, charge.account.plan.max_in_flight
        has_slot = not limit or account.in_flight < ceil(limit / account.slice_count)
        within = has_slot and account.local_tokens >= charge.units
        if not (within or charge.may_exceed) or not account.below_ceiling(charge.units):
            return False
        account.local_tokens -= charge.units * within
        account.ceiling_tokens -= charge.units
        account.count_spent(charge.units)
        return True

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Take in a reply to a claim, or to a counted request."""
        if event.key not in self.leases.pending_claims:
            return super().on_counter_reply(now, event)
        self._adapt_call_rate(event.outcome)
        self.leases.on_counter_reply(now, event, self.accounts.get(customer_of(event.key)))
        return QuotaReply()
