"""Leases of a part of a customer's quota for a term; docs/quota-leases.md describes the design."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ....types import Action, AddToCounter, CounterReplied, Outcome
from ..account.customer_account import CustomerAccount
from ..counter.counter_total import COUNTER_KEY_LIFETIME_NS, counter_key
from ..counter.pending_calls import PendingCalls
from .lease_terms import LeaseTerms

# Fractions of each quota.
EVEN_FRACTION = 0.5  # held in even slices; most customers use less and need no call
LEASED_FRACTION = 0.6  # leased; the sum exceeds 1 by a tenth, as few leases are used in full

CLAIM_MARGIN = 1.5  # factor on the local demand, as requests arrive unevenly
SHORT_DEMAND_WEIGHT = 0.5  # only short-term demand is known for a new customer; it counts half
SAVED_BURST_FACTOR = 4.0  # a gateway may save this many times its share of the burst, as customers move
LOW_TOKENS_LARGEST_REQUESTS = 2.0  # a slice with fewer tokens than these need claims a lease
RENEWAL_LEAD_TERMS = 0.2  # maximum lead of a renewal, staggered by gateway
CLAIM_BACKOFF_TERMS = 0.05  # least time between two claims for a customer


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A claim to a fraction of a quota, which has no reply yet."""

    term: int
    fraction: float


class Leases:
    """The claims of this gateway; the counter of each term adds up the claims of all gateways."""

    def __init__(self, terms: LeaseTerms, rng: random.Random) -> None:
        self.terms = terms
        self.rng = rng
        self.pending_claims: PendingCalls[LeaseClaim] = PendingCalls()

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return this gateway's fraction of the quota: its even slice and its lease.

        After a claim without a reply it is an even slice of the whole quota, so that at most even slices
        are granted twice.
        """
        lease = account.lease
        term = self.terms.at(now, account.customer_id).number
        if term not in lease.fractions and lease.unanswered_claim_term == term:
            return 1.0 / account.buckets.slice_count
        return EVEN_FRACTION / account.buckets.slice_count + lease.fractions.get(term, 0.0)

    def claim(self, now: int, account: CustomerAccount, largest: float, call_rate: float) -> list[Action]:
        """Claim a lease for this term if tokens are low, or renew a lease for the next term."""
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
        if self.rng.random() >= call_rate:  # skips some claims while the counter is overloaded
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
        """Add the claimed fraction as far as earlier claims left it free.

        A claim that the counter adds late or twice leaves less to later claims, and is not granted twice.
        """
        lease = account.lease
        term = self.terms.at(now, account.customer_id)
        unclaimed = max(0.0, LEASED_FRACTION - (total - claim.fraction))
        lease.add(term.number, claim.term, min(claim.fraction, unclaimed))
        if total >= LEASED_FRACTION:  # nothing is left until the term after the claimed one
            end = now + term.remaining + (claim.term - term.number) * self.terms.length
            lease.extend_back_off(end - int(RENEWAL_LEAD_TERMS * self.terms.length))
