"""Terms for which parts of quotas are leased, and claims for them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ...types import Action, AddToCounter, CounterReplied, Outcome
from .account import CustomerAccount
from .counter_total import COUNTER_KEY_LIFETIME_NS, counter_key
from .pending_calls import PendingCalls

TERM_SCATTER = 0x9E3779B1  # a multiplier that scatters neighbouring numbers evenly


@dataclass(slots=True)
class LeaseTerm:
    """A customer's term at one time."""

    number: int
    remaining: int  # ns until it ends


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A claim without a reply."""

    term: int
    fraction: float  # of the quota


class LeaseClaims:
    """Terms, and the claims without a reply; the counter of a term adds up those of all gateways."""

    def __init__(self, term_length: int, seed: int, rng: random.Random) -> None:
        self.term_length = term_length  # in ns
        self.seed = seed
        self.rng = rng
        self.pending_claims: PendingCalls[LeaseClaim] = PendingCalls()

    def term(self, now: int, account: CustomerAccount) -> LeaseTerm:
        """Return the customer's term at `now`; customers' terms begin at different times."""
        position = now + account.customer_id * TERM_SCATTER % self.term_length
        return LeaseTerm(position // self.term_length, self.term_length - position % self.term_length)

    def scattered_lead(self, account: CustomerAccount, fraction: float) -> float:
        """Return a time of up to `fraction` of a term, another one for each customer and gateway."""
        thousandths = (account.customer_id * 31 + self.seed) * TERM_SCATTER % 1000
        return fraction * self.term_length * thousandths / 1000

    def claim_call(self, account: CustomerAccount, term: int, fraction: float) -> Action:
        """Return the call that claims a fraction of the quota for a term."""
        key = counter_key(account.customer_id, term)
        self.pending_claims.push(key, LeaseClaim(term, fraction))
        return AddToCounter(key, COUNTER_KEY_LIFETIME_NS, fraction)

    def on_counter_reply(self, now: int, event: CounterReplied, account: CustomerAccount | None) -> None:
        """Take in the reply to a claim."""
        claim = self.pending_claims.pop_oldest(event.key)
        if account is None or claim is None:
            return
        if event.outcome is Outcome.OK:
            self._on_claimed(now, account, claim, event.total)
        else:
            account.unanswered_claim_term = claim.term

    def _on_claimed(self, now: int, account: CustomerAccount, claim: LeaseClaim, total: float) -> None:
        """Decide what a claim is granted that was added to the counter of its term."""
        raise NotImplementedError
