"""Terms for which parts of quotas are leased."""

from __future__ import annotations

from dataclasses import dataclass

HASH_MULTIPLIER = 0x9E3779B1  # a multiplier that scatters neighbouring numbers evenly


@dataclass(slots=True)
class LeaseTerm:
    """A customer's term at one time."""

    number: int
    remaining: int  # ns until it ends


class LeaseTerms:
    """The terms of all customers, which begin at different times."""

    def __init__(self, length: int, seed: int) -> None:
        self.length = length  # in ns
        self.seed = seed

    def at(self, now: int, customer_id: int) -> LeaseTerm:
        """Return the customer's term at `now`."""
        position = now + customer_id * HASH_MULTIPLIER % self.length
        return LeaseTerm(position // self.length, self.length - position % self.length)

    def staggered_lead(self, customer_id: int, fraction: float) -> float:
        """Return a time (ns) of up to `fraction` of a term, different for each customer and gateway."""
        thousandths = (customer_id * 31 + self.seed) * HASH_MULTIPLIER % 1000
        return fraction * self.length * thousandths / 1000
