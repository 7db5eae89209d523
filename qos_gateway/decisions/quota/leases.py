"""Leases of a part of a customer's quota for a term: docs/quota-leases.md has the design."""

from ...types import Action
from .account import CustomerAccount
from .lease_terms import LeaseClaim, LeaseClaims

EVEN_FRACTION = 0.5  # of each quota that stays in even slices: most customers use less, and need no call
LEASED_FRACTION = 0.6  # of each quota that is leased: a tenth too much in all, as few use all of their leases
CLAIM_MARGIN = 1.5  # times the demand here that a lease covers: few requests come far from evenly
SHORT_DEMAND_WEIGHT = 0.5  # of the last second's demand alone: of a new customer little was seen
MAX_SAVED_FRACTION = 4.0  # times its part of the burst that a gateway may save up: customers move about
LOW_TOKENS_REQUESTS = 2.0  # of the largest request left in the bucket, below which a lease is claimed
RENEWAL_LEAD = 0.2  # of a term, in which the next one is claimed ahead, by each gateway at another time
CLAIM_BACKOFF = 0.05  # of a term, before the next claim for the same customer


class Leases(LeaseClaims):
    """Which leases this gateway claims, and what it is granted."""

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Return the fraction of the quota that is this gateway's: its part of the even slices and its lease.

        Where a claim has no answer it is an even slice of the whole: only what those hold is given twice.
        """
        term = self.term(now, account).number
        if term not in account.lease_fractions and account.unanswered_claim_term == term:
            return 1.0 / account.slice_count
        return EVEN_FRACTION / account.slice_count + account.lease_fractions.get(term, 0.0)

    def claim(self, now: int, account: CustomerAccount, largest: float, call_rate: float) -> list[Action]:
        """Claim a lease where tokens are low, or ahead for the next term where this one's lease is in use."""
        if now < account.next_claim_at:
            return []
        term = self.term(now, account)
        leased = account.lease_fractions
        lead = self.scattered_lead(account, RENEWAL_LEAD)
        ahead = term.remaining < lead and leased.get(term.number, 0.0) > 0.0 and term.number + 1 not in leased
        if not ahead and account.local_tokens >= LOW_TOKENS_REQUESTS * largest:
            return []
        target = term.number + ahead
        account.next_claim_at = now + int(CLAIM_BACKOFF * self.term_length * self.rng.uniform(1.0, 2.0))
        fraction = self._wanted_fraction(now, account) - leased.get(target, 0.0)
        if fraction <= 0.0:
            return []
        if self.rng.random() >= call_rate:  # a crowded counter replies to nobody: some have to do without
            account.unanswered_claim_term = target
            return []
        return [self.claim_call(account, target, fraction)]

    def _wanted_fraction(self, now: int, account: CustomerAccount) -> float:
        recent = SHORT_DEMAND_WEIGHT * account.demand.rate(now) * account.demand.value
        covered = CLAIM_MARGIN * max(account.requested_rate(now), recent) / account.plan.rate
        return min(LEASED_FRACTION, covered - EVEN_FRACTION / account.slice_count)

    def _on_claimed(self, now: int, account: CustomerAccount, claim: LeaseClaim, total: float) -> None:
        """Take what the claims before it left; what came late, or twice, is never granted twice."""
        term = self.term(now, account)
        unclaimed = max(0.0, LEASED_FRACTION - (total - claim.fraction))
        account.add_lease(term.number, claim.term, min(claim.fraction, unclaimed))
        if total >= LEASED_FRACTION:  # nothing is left to claim before the term after it
            end = now + term.remaining + (claim.term - term.number) * self.term_length
            next_claim_at = end - int(RENEWAL_LEAD * self.term_length)
            account.next_claim_at = max(account.next_claim_at, next_claim_at)
