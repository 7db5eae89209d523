"""Leases of a part of a customer's quota for a term: docs/quota-leases.md has the design."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ....types import Action, AddToCounter, CounterReplied, Outcome
from ..account.customer_account import CustomerAccount
from ..counter.counter_total import COUNTER_KEY_LIFETIME_NS, counter_key
from ..counter.pending_calls import PendingCalls
from .lease_terms import LeaseTerms

EVEN_FRACTION = 0.5  # of each quota that stays in even slices: most customers use less, and need no call
LEASED_FRACTION = 0.6  # of each quota that is leased: a tenth too much in all, as few use all of their leases
CLAIM_MARGIN = 1.5  # factor on the local demand, for requests that arrive unevenly
SHORT_DEMAND_WEIGHT = 0.5  # of the short-term demand, which is all that is known of a new customer
SAVED_BURST_FACTOR = 4.0  # factor on its part of the burst that a gateway may save, as customers move
LOW_TOKENS_LARGEST_REQUESTS = 2.0  # largest requests in the bucket, below which a lease is claimed
RENEWAL_LEAD_TERMS = 0.2  # of a term, within which each gateway claims the next one at a different time
CLAIM_BACKOFF_TERMS = 0.05  # of a term, before the next claim for the same customer


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A claim without a reply."""

    term: int
    fraction: float  # of the quota


class Leases:
    """The claims of this gateway; the counter of a term adds up those of all gateways."""

    def __init__(self, terms: LeaseTerms, rng: random.Random) -> None:
        self.terms = terms
        self.rng = rng
        self.pending_claims: PendingCalls[LeaseClaim] = PendingCalls()

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that is this gateway's: its even slice and its lease.

        While a claim has no reply it is an even slice of the whole quota, so that at most the slices are
        granted twice.
        """
        lease = account.lease
        term = self.terms.at(now, account.customer_id).number
        if term not in lease.fractions and lease.unanswered_claim_term == term:
            return 1.0 / account.buckets.slice_count
        return EVEN_FRACTION / account.buckets.slice_count + lease.fractions.get(term, 0.0)

    def claim(self, now: int, account: CustomerAccount, largest: float, call_rate: float) -> list[Action]:
        """Claim a lease if tokens are low, or for the next term if the lease of this one is in use."""
        lease = account.lease
        if now < lease.next_claim_at:
            return []
        term = self.terms.at(now, account.customer_id)
        leased = lease.fractions
        lead = self.terms.staggered_lead(account.customer_id, RENEWAL_LEAD_TERMS)
        is_renewal = (
            term.remaining < lead and leased.get(term.number, 0.0) > 0.0 and term.number + 1 not in leased
        )
        if not is_renewal and account.buckets.local_tokens >= LOW_TOKENS_LARGEST_REQUESTS * largest:
            return []
        target = term.number + is_renewal
        lease.back_off(now + int(CLAIM_BACKOFF_TERMS * self.terms.length * self.rng.uniform(1.0, 2.0)))
        fraction = self._wanted_fraction(now, account) - leased.get(target, 0.0)
        if fraction <= 0.0:
            return []
        if self.rng.random() >= call_rate:  # some claims are skipped while the counter is overloaded
            lease.record_unanswered_claim(target)
            return []
        return [self._claim_call(account, target, fraction)]

    def _claim_call(self, account: CustomerAccount, term: int, fraction: float) -> Action:
        key = counter_key(account.customer_id, term)
        self.pending_claims.push(key, LeaseClaim(term, fraction))
        return AddToCounter(key, COUNTER_KEY_LIFETIME_NS, fraction)

    def _wanted_fraction(self, now: int, account: CustomerAccount) -> float:
        demand = account.demand
        recent = SHORT_DEMAND_WEIGHT * demand.request_rate(now) * demand.units_per_request
        covered = CLAIM_MARGIN * max(demand.unit_rate(now), recent) / account.plan.rate
        return min(LEASED_FRACTION, covered - EVEN_FRACTION / account.buckets.slice_count)

    def on_counter_reply(self, now: int, event: CounterReplied, account: CustomerAccount | None) -> None:
        """Apply the reply to a claim."""
        claim = self.pending_claims.pop_oldest(event.key)
        if account is None or claim is None:
            return
        if event.outcome is Outcome.OK:
            self._on_claimed(now, account, claim, event.total)
        else:
            account.lease.record_unanswered_claim(claim.term)

    def _on_claimed(self, now: int, account: CustomerAccount, claim: LeaseClaim, total: float) -> None:
        """Add what earlier claims left of the quota; a claim that counts late or twice adds nothing twice."""
        lease = account.lease
        term = self.terms.at(now, account.customer_id)
        unclaimed = max(0.0, LEASED_FRACTION - (total - claim.fraction))
        lease.add(term.number, claim.term, min(claim.fraction, unclaimed))
        if total >= LEASED_FRACTION:  # nothing is left to claim before the term after it
            end = now + term.remaining + (claim.term - term.number) * self.terms.length
            lease.extend_back_off(end - int(RENEWAL_LEAD_TERMS * self.terms.length))
