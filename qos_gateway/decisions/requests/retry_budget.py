"""Retry budget: a token bucket that bounds retries and hedges by a fraction of first attempts."""

from __future__ import annotations

TOKENS_PER_FIRST_ATTEMPT = 0.1  # keeps retries from doubling the load of a failing fleet
MAX_TOKENS = 10.0
MIN_RETRY_COST = 0.1  # tokens, after an attempt that used no time of an endpoint
MAX_RETRY_COST = 1.0  # tokens


class RetryBudget:
    """Token bucket that first attempts fill; retries and hedges draw from it."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = MAX_TOKENS

    def deposit(self) -> None:
        """Add the tokens of one first attempt."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_FIRST_ATTEMPT)

    def allows(self, cost: float) -> bool:
        """Return whether an attempt of this cost (tokens) is within the budget."""
        return self.tokens >= cost

    def withdraw(self, cost: float) -> None:
        """Take the cost (tokens) of an attempt that was sent."""
        self.tokens -= cost

    def capture(self, fraction: float) -> float:
        """Return the tokens that the next process starts with: this fraction of the bucket."""
        return self.tokens * fraction

    def restore(self, tokens: float) -> None:
        """Continue with the tokens that the previous process captured."""
        self.tokens = tokens


def retry_cost(relative_latency: float) -> float:
    """Return the cost (tokens) of a retry after an attempt that took that many mean latencies."""
    return max(MIN_RETRY_COST, min(MAX_RETRY_COST, relative_latency))
