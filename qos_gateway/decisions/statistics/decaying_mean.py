"""Exponentially decaying means of samples over time."""

from __future__ import annotations

from math import exp

from ...units import SECOND


def decay_factor(age: int, time_constant: int) -> float:
    """Return the weight that is left of a sample of that age (both in ns)."""
    return exp(-age / time_constant)


class DecayingMean:
    """A mean whose samples lose weight exponentially with age."""

    __slots__ = ("time_constant", "updated_at", "weight", "weighted_sum")

    def __init__(self, time_constant: int) -> None:
        """`time_constant` (ns): the age at which a sample has lost 1 - 1/e of its weight."""
        self.time_constant = time_constant
        self.updated_at = 0
        self.weighted_sum = 0.0
        self.weight = 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Add a sample."""
        left = exp((self.updated_at - now) / self.time_constant)
        self.weighted_sum = self.weighted_sum * left + value * weight
        self.weight = self.weight * left + weight
        self.updated_at = now

    def rate(self, now: int) -> float:
        """Return the recent number of samples per second."""
        return self.weight * exp((self.updated_at - now) / self.time_constant) * SECOND / self.time_constant

    def mean_with_prior(self, now: int, prior: float, strength: float) -> float:
        """Return the mean with `strength` samples of `prior` mixed in, to which it returns with age."""
        left = exp((self.updated_at - now) / self.time_constant)
        return (self.weighted_sum * left + prior * strength) / (self.weight * left + strength)

    @property
    def value(self) -> float:
        """Return the mean; 0 without samples."""
        return self.weighted_sum / self.weight if self.weight > 1e-9 else 0.0
