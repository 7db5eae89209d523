"""Leases of a part of a customer's quota for a term: docs/quota-leases.md has the design."""

from __future__ import annotations

import random
from collections import deque

from ..state.customer import CustomerAccount
from ..types import Action, AddToCounter, CounterReplied, Outcome
from ..units import SECOND

EVEN_FRACTION = 0.5  # part of each quota that stays in even slices: most customers use less, and need no call
LEASED_FRACTION = (
    0.6  # ... and the part that is leased: a tenth too much in all, as leases are seldom all used at once
)
CLAIM_MARGIN = 1.5  # times what is asked for here that a lease covers: few requests come far from evenly
SHORT_DEMAND_WEIGHT = (
    0.5  # of what was asked for in the last second alone, that counts: of a new customer little was seen
)
MAX_SAVED_FRACTION = (
    4.0  # times its part of the burst that a gateway may save up: a customer comes to one, now to another
)
LOW_TOKENS_REQUESTS = 2.0  # of the largest request left in the bucket, below which a lease is asked for
RENEWAL_LEAD = 0.2  # part of a term in which the next one is claimed ahead, at a time of each gateway's own
CLAIM_BACKOFF = 0.05  # part of a term before the next claim for the same customer
COUNTER_KEY_LIFETIME = (
    60 * SECOND
)  # of a term's number, the most that may be asked; it outlasts lead and term
TERM_SCATTER = 0x9E3779B1  # so that customers' terms begin at other times


class Leases:
    """What this gateway leased, and the claims that are out. A term's number adds up all gateways' claims."""

    def __init__(self, length: int, seed: int, rng: random.Random) -> None:
        self.term_length, self.seed, self.rng = length, seed, rng  # length of a term in ns
        self.pending_claims: dict[
            int, deque[tuple[int, float]]
        ] = {}  # by number: the terms claimed, and how much

    def term(self, now: int, account: CustomerAccount) -> tuple[int, int]:
        """Which term it is for that customer, and the ns that are left of it."""
        at = now + account.customer_id * TERM_SCATTER % self.term_length
        return at // self.term_length, self.term_length - at % self.term_length

    def quota_share(self, now: int, account: CustomerAccount) -> float:
        """Part of the quota that is this gateway's: the floor and its lease, or an even slice where a claim
        has no answer. The slices of those that are cut off are all that is ever given twice.
        """
        term, _ = self.term(now, account)
        if term not in account.lease_fractions and account.unanswered_claim_term == term:
            return 1.0 / account.slice_count
        return EVEN_FRACTION / account.slice_count + account.lease_fractions.get(term, 0.0)

    def claim(self, now: int, account: CustomerAccount, largest: float, pace: float) -> list[Action]:
        """A call where the bucket runs low, or ahead for the next term where this one's lease is in use."""
        if now < account.next_claim_at:
            return []
        term, left = self.term(now, account)
        lead = (
            RENEWAL_LEAD
            * self.term_length
            * ((account.customer_id * 31 + self.seed) * TERM_SCATTER % 1000)
            / 1000
        )
        ahead = (
            left < lead
            and account.lease_fractions.get(term, 0.0) > 0.0
            and term + 1 not in account.lease_fractions
        )
        if not ahead and account.local_tokens >= LOW_TOKENS_REQUESTS * largest:
            return []
        target, account.next_claim_at = (
            term + ahead,
            now + int(CLAIM_BACKOFF * self.term_length * self.rng.uniform(1.0, 2.0)),
        )
        seen, demand = account.long_demand, account.demand
        asked = max(seen.rate(now) * seen.value, SHORT_DEMAND_WEIGHT * demand.rate(now) * demand.value)
        wanted = min(
            LEASED_FRACTION, CLAIM_MARGIN * asked / account.plan.rate - EVEN_FRACTION / account.slice_count
        )
        wanted -= account.lease_fractions.get(target, 0.0)
        if wanted <= 0.0:
            return []
        if self.rng.random() >= pace:
            account.unanswered_claim_term = (
                target  # a crowded counter answers nobody: some have to do without
            )
            return []
        name = account.customer_id << 16 | target & 0xFFFF
        self.pending_claims.setdefault(name, deque()).append((target, wanted))
        return [AddToCounter(name, COUNTER_KEY_LIFETIME, wanted)]

    def on_counter_reply(self, now: int, event: CounterReplied, account: CustomerAccount | None) -> None:
        """What came of a claim. The total tells what those before it took; what came too late, or was added
        twice, is missing from the pool until the term ends, and never in it twice.
        """
        queue = self.pending_claims[event.key]
        target, wanted = queue.popleft()
        if not queue:
            del self.pending_claims[event.key]
        if account is None:
            return
        term, left = self.term(now, account)
        if event.outcome is not Outcome.OK:
            account.unanswered_claim_term = target
            return
        kept = {t: part for t, part in account.lease_fractions.items() if t >= term}
        granted = min(wanted, max(0.0, LEASED_FRACTION - (event.total - wanted)))
        account.lease_fractions = kept | {target: kept.get(target, 0.0) + granted}
        if event.total >= LEASED_FRACTION:
            # The pool is given away: nothing more to claim before the term after it.
            end = now + left + (target - term) * self.term_length
            account.next_claim_at = max(account.next_claim_at, end - int(RENEWAL_LEAD * self.term_length))
