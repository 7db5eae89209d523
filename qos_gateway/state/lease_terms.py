"""Terms for which parts of quotas are leased."""

from __future__ import annotations

from dataclasses import dataclass

TERM_SCATTER = 0x9E3779B1  # a multiplier that scatters neighbouring numbers evenly


@dataclass(frozen=True, slots=True)
class LeaseTerm:
    """A customer's term at one time."""

    number: int
    remaining: int  # ns until it ends


@dataclass(frozen=True, slots=True)
class LeaseClaim:
    """A claim without a reply."""

    term: int
    fraction: float  # of the quota


def term_at(now: int, customer_id: int, length: int) -> LeaseTerm:
    """Return the term of `length` ns at `now`; customers' terms begin at different times."""
    position = now + customer_id * TERM_SCATTER % length
    return LeaseTerm(position // length, length - position % length)


def scattered_fraction(customer_id: int, seed: int, whole: float) -> float:
    """Return a part of `whole`, in thousandths, that is another one for each customer and seed."""
    return whole * ((customer_id * 31 + seed) * TERM_SCATTER % 1000) / 1000
