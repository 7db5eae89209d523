"""Arithmetic of token buckets and their slices."""

from __future__ import annotations

from dataclasses import dataclass

from ....types import Plan


@dataclass(slots=True)
class TokenBucket:
    """Refill rate and capacity of a bucket or a slice of one; `CustomerBuckets` holds the tokens."""

    rate: float  # units per second
    capacity: float  # units

    def scaled(self, fraction: float) -> TokenBucket:
        """Return the slice that is `fraction` (0 to 1) of this bucket."""
        return TokenBucket(self.rate * fraction, self.capacity * fraction)

    def refilled(self, tokens: float, elapsed_s: float) -> float:
        """Return the tokens after a refill for `elapsed_s` seconds, limited to the capacity."""
        return min(self.capacity, tokens + self.rate * elapsed_s)


def ceiling_beyond_quota(plan: Plan) -> TokenBucket:
    """Return the part of a plan's ceiling that lies above its quota."""
    return TokenBucket(max(0.0, plan.ceiling_rate - plan.rate), max(0.0, plan.ceiling_burst - plan.burst))


def slice_for_rank(
    bucket: TokenBucket,
    *,
    even_fraction: float,
    total_fraction: float,
    largest_request: float,
    rank: int,
    slice_count: int,
) -> TokenBucket:
    """Return the slice of the gateway of that rank among `slice_count` gateways.

    If even slices can hold the largest request, it is `even_fraction` of the bucket. Otherwise the first
    gateways divide `total_fraction` of the bucket into slices that can, and the others get nothing.
    """
    usable_count = int(bucket.capacity / largest_request)
    if usable_count >= slice_count:
        return bucket.scaled(even_fraction)
    return bucket.scaled(total_fraction * (rank < usable_count) / max(1, usable_count))


def ceiling_slice(plan: Plan, quota_fraction: float, excess_fraction: float) -> TokenBucket:
    """Return a slice of the ceiling: fractions of the quota and of the part above the quota."""
    rate = plan.rate * quota_fraction + (plan.ceiling_rate - plan.rate) * excess_fraction
    burst = plan.burst * quota_fraction + (plan.ceiling_burst - plan.burst) * excess_fraction
    return TokenBucket(rate, burst)
