"""Tokens of a customer's quota and ceiling, as held at this gateway."""

from __future__ import annotations

from dataclasses import dataclass

from ....types import Plan
from ....units import SECOND
from .token_bucket import TokenBucket


@dataclass(slots=True)
class CustomerBuckets:
    """Tokens of a customer's quota and ceiling, in units; times are in ns.

    `tokens` is the content of the quota's bucket as known to this gateway, and negative if overspent.
    `local_tokens` and `ceiling_tokens` are those of the local slices of the quota and of the ceiling.
    """

    plan: Plan
    tokens: float
    refilled_at: int
    ceiling_tokens: float = 0.0
    local_tokens: float = 0.0
    rank: int = 0  # this gateway's rank among those that serve the customer, from 0
    slice_count: int = 0  # gateways that share the quota; 0 before the customer's first request here

    @property
    def slices(self) -> int:
        """The number of gateways that share the quota, at least 1."""
        return max(1, self.slice_count)

    def set_slice(self, rank: int, gateway_count: int) -> None:
        """Set this gateway's rank among the gateways that serve the customer, and their number.

        A gateway outside them, which the customer's requests still reach, adds a slice of its own.
        """
        self.rank = rank
        self.slice_count = gateway_count + (rank >= gateway_count)

    def start_slices(self, local_tokens: float, ceiling_tokens: float) -> None:
        """Set the tokens of the quota's slice, and add those of the ceiling's slice."""
        self.local_tokens = local_tokens
        self.ceiling_tokens += ceiling_tokens

    def set_tokens(self, tokens: float) -> None:
        """Set the tokens of the quota's bucket."""
        self.tokens = tokens

    def limit_tokens(self, maximum: float) -> None:
        """Reduce the tokens of the quota's bucket to `maximum`."""
        self.tokens = min(self.tokens, maximum)

    def set_ceiling_tokens(self, tokens: float) -> None:
        """Set the tokens of the ceiling's slice."""
        self.ceiling_tokens = tokens

    def refill(self, now: int, bucket: TokenBucket | None, local: TokenBucket, ceiling: TokenBucket) -> None:
        """Refill all tokens up to `now`; without `bucket`, the tokens of the quota's bucket do not change."""
        elapsed_s = (now - self.refilled_at) / SECOND
        self.refilled_at = now
        if bucket is not None:
            self.tokens = bucket.refilled(self.tokens, elapsed_s)
        self.local_tokens = local.refilled(self.local_tokens, elapsed_s)
        self.ceiling_tokens = ceiling.refilled(self.ceiling_tokens, elapsed_s)

    def below_ceiling(self, units: float) -> bool:
        """Return whether the ceiling's slice holds the units; always true for a plan without a ceiling."""
        return not self.plan.ceiling_rate or self.ceiling_tokens >= units

    def take(self, units: float, may_exceed: bool) -> bool:
        """Take units from the bucket and the ceiling, or from the ceiling alone if `may_exceed`.

        Return whether the units were taken.
        """
        rate = self.plan.rate
        within_quota = not rate or self.tokens >= units
        if not ((within_quota or may_exceed) and self.below_ceiling(units)):
            return False
        self.ceiling_tokens -= units
        if within_quota and rate:
            self.tokens -= units
        return True

    def take_from_slice(self, units: float, has_slot: bool, may_exceed: bool) -> bool:
        """Take units from the slices of quota and ceiling, or from the ceiling's alone if `may_exceed`.

        Return whether the units were taken.
        """
        within_quota = has_slot and self.local_tokens >= units
        if not ((within_quota or may_exceed) and self.below_ceiling(units)):
            return False
        self.ceiling_tokens -= units
        self.local_tokens -= units * within_quota
        return True

    def spend_locally(self, units: float, from_slice: bool) -> None:
        """Spend units of the ceiling's slice, and of the quota's slice if `from_slice`."""
        self.local_tokens -= units * from_slice
        self.ceiling_tokens -= units

    def spend_unreported(self, units: float) -> None:
        """Spend units of the bucket and of both slices."""
        self.local_tokens = max(0.0, self.local_tokens - units)
        self.ceiling_tokens -= units
        self.tokens -= units

    def spend_elsewhere(self, units: float) -> None:
        """Deduct units that another gateway spent.

        The tokens may fall to minus one burst: at a limit of 0, two gateways could both spend the same
        refill.
        """
        self.tokens = min(self.tokens, max(-self.plan.burst, self.tokens - units))

    def settle(self, units: float) -> None:
        """Deduct the difference between a request's actual and estimated cost; it may be negative."""
        self.tokens -= units

    def scale(self, fraction: float, scales_bucket: bool) -> None:
        """Keep a fraction of the slices' tokens, and of the bucket's tokens if `scales_bucket`."""
        if scales_bucket:
            self.tokens *= fraction
        self.local_tokens *= fraction
        self.ceiling_tokens *= fraction

    def restore(self, slice_count: int, tokens: float, local_tokens: float, ceiling_tokens: float) -> None:
        """Restore the tokens that the previous process handed over."""
        self.slice_count = slice_count
        self.tokens = tokens
        self.local_tokens = local_tokens
        self.ceiling_tokens = ceiling_tokens
