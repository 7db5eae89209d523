"""Arithmetic of token buckets and of their slices."""

from __future__ import annotations

from dataclasses import dataclass

from ....types import Plan


@dataclass(slots=True)
class TokenBucket:
    """Refill rate and capacity of a bucket or of a slice of one; `CustomerBuckets` keeps the tokens."""

    rate: float  # units per second
    capacity: float  # units

    def scaled(self, fraction: float) -> TokenBucket:
        """Return the slice that is `fraction` (0 to 1) of this bucket."""
        return TokenBucket(self.rate * fraction, self.capacity * fraction)

    def refilled(self, tokens: float, elapsed_s: float) -> float:
        """Return the tokens after `elapsed_s` seconds without a request, at most the capacity."""
        return min(self.capacity, tokens + self.rate * elapsed_s)


def ceiling_beyond_quota(plan: Plan) -> TokenBucket:
    """Return the part of a plan's ceiling that exceeds its quota."""
    return TokenBucket(max(0.0, plan.ceiling_rate - plan.rate), max(0.0, plan.ceiling_burst - plan.burst))


def whole_slice(
    bucket: TokenBucket, *, even: float, total: float, largest: float, rank: int, slices: int
) -> TokenBucket:
    """Return the slice of the gateway of that rank among `slices` gateways.

    It is the fraction `even` of the bucket if each slice can hold the largest request. Otherwise the first
    gateways share the fraction `total` in slices that can, and the others have none.
    """
    whole = int(bucket.capacity / largest)
    return bucket.scaled(even if whole >= slices else total * (rank < whole) / max(1, whole))


def leased_ceiling(plan: Plan, share: float, even: float) -> TokenBucket:
    """Return a slice of the ceiling: `share` of the quota, and `even` of what exceeds the quota."""
    rate = plan.rate * share + (plan.ceiling_rate - plan.rate) * even
    return TokenBucket(rate, plan.burst * share + (plan.ceiling_burst - plan.burst) * even)
