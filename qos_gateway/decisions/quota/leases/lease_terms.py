"""Terms for which parts of a quota are leased."""

from __future__ import annotations

from dataclasses import dataclass

HASH_MULTIPLIER = 0x9E3779B1  # multiplicative hashing spreads consecutive numbers evenly


@dataclass(slots=True)
class LeaseTerm:
    """A customer's current lease term."""

    number: int
    remaining: int  # ns until the term ends


class LeaseTerms:
    """Computes lease terms of `length` ns, which begin at a different time for each customer."""

    def __init__(self, length: int, seed: int) -> None:
        self.length = length
        self.seed = seed

    def at(self, now: int, customer_id: int) -> LeaseTerm:
        """Return the customer's term at time `now`."""
        position = now + customer_id * HASH_MULTIPLIER % self.length
        return LeaseTerm(position // self.length, self.length - position % self.length)

    def staggered_lead(self, customer_id: int, fraction: float) -> float:
        """Return a lead time (ns) of up to `fraction` of a term, staggered by customer and gateway."""
        thousandths = (customer_id * 31 + self.seed) * HASH_MULTIPLIER % 1000
        return fraction * self.length * thousandths / 1000
