"""Quotas of which gateways lease parts from the counter, each for a term."""

from __future__ import annotations

import random
from math import ceil

from ...types import CounterReplied, Settings
from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket, ceiling_slice
from .counter.counter_total import customer_of
from .counter_quota import CounterQuota
from .leases.lease_terms import LeaseTerms
from .leases.leases import EVEN_FRACTION, SAVED_BURST_FACTOR, Leases
from .quota_decision import Charge, QuotaDecision, QuotaReply


class LeasedQuota(CounterQuota):
    """Leases parts of a quota if all gateways of the customer can; other requests are counted one by one."""

    leases: Leases

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng)
        self.leases = Leases(LeaseTerms(settings.lease_term, self.incarnation), rng)

    def is_leased(self, account: CustomerAccount) -> bool:
        """Return whether the quota is leased.

        All gateways of a customer decide alike: none leases if the smallest slice of the ceiling cannot hold
        the largest request.
        """
        plan, slices = account.plan, account.buckets.slice_count
        if slices < 2 or not plan.rate:
            return False
        smallest = ceiling_slice(plan, EVEN_FRACTION / slices, 1.0 / slices)
        return not plan.ceiling_rate or smallest.capacity >= self.settings.largest_request_units

    def _local_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that this process may use: its even slice and its lease."""
        return self.leases.quota_share(now, account) * self.handover_fraction

    def _quota_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._quota_slice(now, account, share)
        plan, local_share = account.plan, self._local_share(now, account)
        saved = plan.burst * min(1.0, SAVED_BURST_FACTOR * local_share)
        return TokenBucket(plan.rate * local_share, max(saved, self.settings.largest_request_units))

    def _ceiling_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:
        if not self.is_leased(account):
            return super()._ceiling_slice(now, account, share)
        return ceiling_slice(account.plan, self._local_share(now, account), share)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        """Decide a leased quota from the local slice alone, so that no request waits for a reply."""
        account, limit = charge.account, charge.account.plan.max_in_flight
        if not self.is_leased(account):
            return super()._decide(now, charge)
        largest = self.settings.largest_request_units
        claims = self.leases.claim(now, account, largest, self.counter.call_rate)
        has_slot = not limit or account.in_flight < ceil(limit / account.buckets.slice_count)
        admitted = account.take_from_slice(charge.units, has_slot, charge.may_exceed)
        return QuotaDecision.immediate(admitted, claims)

    def on_counter_reply(self, now: int, event: CounterReplied) -> QuotaReply:
        """Process the reply to a lease claim or to a counted request."""
        if event.key not in self.leases.pending_claims:
            return super().on_counter_reply(now, event)
        self.counter.adapt_call_rate(event.outcome)
        self.leases.on_counter_reply(now, event, self.accounts.get(customer_of(event.key)))
        return QuotaReply()
