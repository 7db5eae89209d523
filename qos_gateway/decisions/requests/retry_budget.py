"""A budget that bounds retries by a share of first attempts."""

from __future__ import annotations


class RetryBudget:
    """Token bucket that each first attempt fills a little and each retry or hedge empties."""

    __slots__ = ("burst", "ratio", "tokens")

    def __init__(self, ratio: float, burst: float) -> None:
        """Start full: `ratio` is the tokens per first attempt, `burst` the most that is saved up."""
        self.ratio = ratio
        self.burst = burst
        self.tokens = burst

    def deposit(self) -> None:
        """Credit one first attempt."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def allows(self, cost: float) -> bool:
        """Tell whether an attempt of this cost is within the budget."""
        return self.tokens >= cost

    def withdraw(self, cost: float) -> None:
        """Charge an attempt that was sent."""
        self.tokens -= cost
