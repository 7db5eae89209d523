"""Leases of a part of a customer's quota for a term: docs/quota-leases.md has the design."""

from __future__ import annotations

import random
from collections import deque

from ..types import Action, AddToCounter, Counted, Outcome
from ..state.entities import SECOND, Account

FLOOR = 0.5  # part of each quota that stays in even slices: most customers use less, and need no call
POOL = 0.6  # ... and the part that is leased: a tenth too much in all, as leases are seldom all used at once
MARGIN = 1.5  # times what is asked for here that a lease covers: few requests come far from evenly
SHORT = 0.5  # of what was asked for in the last second alone, that counts: of a new customer little was seen
SAVED = 4.0  # times its part of the burst that a gateway may save up: a customer comes to one, now to another
LOW = 2.0  # of the largest request left in the bucket, below which a lease is asked for
LEAD = 0.2  # part of a term in which the next one is claimed ahead, at a time of each gateway's own
AGAIN = 0.05  # part of a term before the next claim for the same customer
LIFE = 60 * SECOND  # of a term's number, the most that may be asked; it outlasts lead and term
SCATTER = 0x9E3779B1  # so that customers' terms begin at other times


class Leases:
    """What this gateway leased, and the claims that are out. A term's number adds up all gateways' claims."""

    def __init__(self, length: int, seed: int, rng: random.Random) -> None:
        self.length, self.seed, self.rng = length, seed, rng  # length of a term in ns
        self.out: dict[int, deque[tuple[int, float]]] = {}  # by number: the terms claimed, and how much

    def term(self, now: int, account: Account) -> tuple[int, int]:
        """Which term it is for that customer, and the ns that are left of it."""
        at = now + account.customer * SCATTER % self.length
        return at // self.length, self.length - at % self.length

    def share(self, now: int, account: Account) -> float:
        """Part of the quota that is this gateway's: the floor and its lease, or an even slice where a claim
        has no answer. The slices of those that are cut off are all that is ever given twice."""
        term, _ = self.term(now, account)
        if term not in account.leases and account.unheard == term:
            return 1.0 / account.slices
        return FLOOR / account.slices + account.leases.get(term, 0.0)

    def claim(self, now: int, account: Account, largest: float, pace: float) -> list[Action]:
        """A call where the bucket runs low, or ahead for the next term where this one's lease is in use."""
        if now < account.claim_at:
            return []
        term, left = self.term(now, account)
        lead = LEAD * self.length * ((account.customer * 31 + self.seed) * SCATTER % 1000) / 1000
        ahead = left < lead and account.leases.get(term, 0.0) > 0.0 and term + 1 not in account.leases
        if not ahead and account.part >= LOW * largest:
            return []
        target, account.claim_at = term + ahead, now + int(AGAIN * self.length * self.rng.uniform(1.0, 2.0))
        seen, demand = account.seen, account.demand
        asked = max(seen.rate(now) * seen.value, SHORT * demand.rate(now) * demand.value)
        wanted = min(POOL, MARGIN * asked / account.plan.rate - FLOOR / account.slices)
        wanted -= account.leases.get(target, 0.0)
        if wanted <= 0.0:
            return []
        if self.rng.random() >= pace:
            account.unheard = target  # a crowded counter answers nobody: some have to do without
            return []
        name = account.customer << 16 | target & 0xFFFF
        self.out.setdefault(name, deque()).append((target, wanted))
        return [AddToCounter(name, LIFE, wanted)]

    def answered(self, now: int, event: Counted, account: Account | None) -> None:
        """What came of a claim. The total tells what those before it took; what came too late, or was added
        twice, is missing from the pool until the term ends, and never in it twice."""
        queue = self.out[event.name]
        target, wanted = queue.popleft()
        if not queue:
            del self.out[event.name]
        if account is None:
            return
        term, left = self.term(now, account)
        if event.outcome is not Outcome.OK:
            account.unheard = target
            return
        kept = {t: part for t, part in account.leases.items() if t >= term}
        granted = min(wanted, max(0.0, POOL - (event.total - wanted)))
        account.leases = kept | {target: kept.get(target, 0.0) + granted}
        if event.total >= POOL:
            # The pool is given away: nothing more to claim before the term after it.
            end = now + left + (target - term) * self.length
            account.claim_at = max(account.claim_at, end - int(LEAD * self.length))
