"""Quotas enforced through a counter that all gateways share."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ...types import Action, CounterReplied, Outcome, Settings
from ...units import SECOND
from .account.bucket_reports import REPORT_CURRENT_FOR_NS, REPORT_EXPIRES_AFTER_NS, REPORT_FRESH_FOR_NS
from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket, ceiling_beyond_quota, slice_for_rank
from .counter.counter_reading import CounterReading, read_counter
from .counter.counter_total import IN_FLIGHT_UNIT, customer_of
from .quota import Quota
from .quota_decision import Charge, QuotaDecision, QuotaReply

# Fractions of a quota.
LIGHT_USAGE_FRACTION = 0.75  # a bucket has tokens while reported use and local demand are below it
TYPICAL_USAGE_FRACTION = 0.4  # prior for a customer with few requests
UNCERTAIN_USAGE_FRACTION = 0.75  # from this estimated use on, the bucket may be empty

MAX_COUNTER_LAG_BURSTS = 0.125  # a larger difference between the counter and the bucket is corrected


class CounterQuota(Quota):
    """Compares the units that all gateways spent with the refill since the counter key's lifetime began.

    Customers with light use are served from the local slice, and their units are reported with a later call.
    """

    uses_counter = True

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng)
        self._ceilings_beyond_quota = [ceiling_beyond_quota(plan) for plan in settings.plans]

    def _refill_unreported(self, now: int, account: CustomerAccount, elapsed_s: float) -> None:
        if self._probably_has_tokens(now, account):
            account.counter_calls.subtract_refilled(account.plan.rate * elapsed_s)

    def _ceiling_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:
        """Return the slice of the ceiling's part beyond the quota; the counter grants the part within it."""
        buckets = account.buckets
        if buckets.slice_count <= 1:
            return super()._ceiling_slice(now, account, share)
        return slice_for_rank(
            self._ceilings_beyond_quota[account.plan_index],
            even_fraction=share,
            total_fraction=self.handover_fraction,
            largest_request=self.settings.largest_request_units,
            rank=buckets.rank,
            slice_count=buckets.slice_count,
        )

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        account, plan = charge.account, charge.account.plan
        buckets = account.buckets
        if not self._is_owner(account) and (charge.may_exceed or not plan.max_in_flight):
            unlimited = charge.may_exceed and not plan.ceiling_rate
            if self._spend_from_slice(now, account, charge.units) or unlimited:
                return QuotaDecision.immediate(True)
            if buckets.tokens < charge.units:
                # These tokens include the refill since the last report, so the bucket holds no more.
                return QuotaDecision.immediate(False)
        # A current report suffices, unless the bucket has the units and only the ceiling's slice lacks them.
        is_current = now - account.reports.reported_at < REPORT_CURRENT_FOR_NS
        is_current = is_current and (buckets.tokens < charge.units or buckets.below_ceiling(charge.units))
        if is_current or self._is_owner(account):
            return QuotaDecision.immediate(self._take_from_bucket(now, charge), report_usage=is_current)
        # While the counter is overloaded, calls for customers whose bucket may be empty take precedence.
        may_skip = self.counter.call_rate < 1.0 and self._may_spend_unreported(now, account, charge.units)
        if self.rng.random() < self._call_probability(may_skip):
            return self._reserve(now, charge)
        return QuotaDecision.immediate(self.decide_locally(now, account, charge.units))

    def _call_probability(self, may_skip: bool) -> float:
        """Return the probability of a call; as the call rate falls, skippable calls are dropped first."""
        skipped = 1.0 if may_skip else 0.0
        return min(1.0, max(0.0, 2.0 * self.counter.call_rate - skipped))

    def _max_unreported_units(self, account: CustomerAccount) -> float:
        return max(self.settings.largest_request_units, MAX_COUNTER_LAG_BURSTS * account.plan.burst)

    def _spend_from_slice(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend units of the even slice without a call, if they are few and the customer's use is light."""
        unreported = account.counter_calls.unreported_units + units
        is_small = unreported <= self._max_unreported_units(account) <= account.buckets.local_tokens
        reported = now - account.usage.reported_at < REPORT_EXPIRES_AFTER_NS
        light = reported and account.usage.fraction < LIGHT_USAGE_FRACTION
        slice_rate = LIGHT_USAGE_FRACTION * account.plan.rate / account.buckets.slices
        light = light and account.demand.unit_rate(now) < slice_rate
        if not (is_small and light and self._permits(now, account, units)):
            return False
        account.spend_unreported(units)
        return True

    def _probably_has_tokens(self, now: int, account: CustomerAccount) -> bool:
        """Return whether the bucket likely has tokens: an estimate, as reports are too rare to be certain."""
        largest = self.settings.largest_request_units
        return account.usage_estimate(now, TYPICAL_USAGE_FRACTION, largest) < UNCERTAIN_USAGE_FRACTION

    def _may_spend_unreported(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Return whether units may be spent without a call: they are few and the bucket likely has tokens."""
        is_small = account.counter_calls.unreported_units + units <= self._max_unreported_units(account)
        permitted = is_small and account.buckets.tokens >= units and self._permits(now, account, units)
        return permitted and self._probably_has_tokens(now, account)

    def decide_locally(self, now: int, account: CustomerAccount, units: float) -> bool:
        """Spend units without a call if that is allowed, else decide as without a counter."""
        if not self._may_spend_unreported(now, account, units):
            return super().decide_locally(now, account, units)
        account.spend_unreported(units)
        return True

    def _request_units(self, now: int, account: CustomerAccount, units: float, reservation: int) -> Action:
        """Return a call that counts units and a slot; if only a sample is counted, units are scaled up."""
        counted = self._call_probability(False)
        if counted < 1.0 and not self._may_spend_unreported(now, account, units):
            units /= counted
        slot = self.counter.in_flight_slot(account.plan)
        return self.counter.call(now, account, units + slot, reservation)

    def release_slot(self, now: int, account: CustomerAccount) -> list[Action]:
        """Release the counted slot of a request with no attempts in flight."""
        slot = self.counter.in_flight_slot(account.plan)
        return [self.counter.call(now, account, -slot)] if slot else []

    def resend_releases(self, now: int, accounts: Iterable[CustomerAccount]) -> list[Action]:
        """Release slots that are counted without a request, as each reduces the in-flight limit."""
        unsent = [a for a in accounts if a.counter_calls.pending_release <= -IN_FLIGHT_UNIT / 2]
        return [
            self.counter.call(now, account, 0.0)
            for account in unsent
            if self.rng.random() < self.counter.call_rate
        ]

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Record the bucket's state from a reply, or account for a failed call."""
        account = self.accounts.get(customer_of(event.key))
        call = self.counter.pending_calls.pop_oldest(event.key)
        if call is None:
            return QuotaReply()
        if account is None:  # removed since the call
            return QuotaReply(call.reservation)
        self.counter.adapt_call_rate(event.outcome)
        if event.outcome is Outcome.OK:
            self.refill(now, account)
            slot = self.counter.in_flight_slot(account.plan)
            return self._on_reading(now, read_counter(now, account, call, event, slot))
        self.counter.record_failed_call(account, call, event.outcome)
        return QuotaReply(call.reservation)

    def _on_reading(self, now: int, reading: CounterReading) -> QuotaReply:
        """Undo a correction that another gateway had already made, or decide by the bucket's tokens."""
        account, call, plan = reading.account, reading.call, reading.account.plan
        if call.is_correction or call.amount < 0:
            # Without the surplus that it removes, another gateway had already made the correction.
            is_duplicate = call.is_correction and reading.surplus < call.amount / 2
            return QuotaReply(actions=[self.counter.call(now, account, -call.amount)] if is_duplicate else [])
        has_tokens = not plan.rate or reading.tokens >= min(reading.units, plan.burst / 2)
        granted = has_tokens and (not plan.max_in_flight or reading.in_flight < plan.max_in_flight)
        account.record_in_flight(now, reading.in_flight)
        actions = self._corrections(now, reading, granted)
        # Bounds the deficit from a transiently wrong total: it is refilled within `REPORT_CURRENT_FOR_NS`.
        floor = -plan.rate * REPORT_FRESH_FOR_NS / (4 * SECOND)
        tokens = reading.tokens - reading.units * granted - account.counter_calls.unreported_units
        self._record_report(now, account, max(floor, tokens), granted)
        return QuotaReply(call.reservation, granted, actions)

    def _corrections(self, now: int, reading: CounterReading, granted: bool) -> list[Action]:
        """Return the calls that undo a duplicate correction or a denied request, or remove a surplus."""
        account, call = reading.account, reading.call
        actions: list[Action] = []
        unconfirmed = account.counter_calls.take_unconfirmed_correction()
        # If the surplus is far below that of an empty bucket, another gateway made the same correction.
        if unconfirmed and reading.surplus < -account.plan.burst - unconfirmed / 2:
            actions.append(self.counter.call(now, account, -unconfirmed))
        if call.amount and not granted and (call.reservation or account.excess_pays):
            actions.append(self.counter.call(now, account, -call.amount))
        elif reading.surplus * self.counter.call_rate > account.plan.burst * MAX_COUNTER_LAG_BURSTS:
            actions.append(self.counter.call(now, account, reading.surplus, is_correction=True))
        return actions
