"""Exponentially decaying means of samples over time."""

from __future__ import annotations

from math import exp

from ...units import SECOND

MIN_WEIGHT = 1e-9  # samples; a lower weight counts as none


def decay_factor(age: int, time_constant: int) -> float:
    """Return the weight of a sample of `age` relative to a new one. Both arguments are in ns."""
    return exp(-age / time_constant)


class DecayingMean:
    """A mean whose samples lose weight exponentially with age. Times are in ns."""

    __slots__ = ("time_constant", "updated_at", "weight", "weighted_sum")

    def __init__(self, time_constant: int) -> None:
        """Start without samples; `time_constant` is the age at which a sample weighs 1/e."""
        self.time_constant = time_constant
        self.updated_at = 0
        self.weighted_sum = 0.0
        self.weight = 0.0

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Add a sample of `weight` at `now`."""
        decay = exp((self.updated_at - now) / self.time_constant)
        self.weighted_sum = self.weighted_sum * decay + value * weight
        self.weight = self.weight * decay + weight
        self.updated_at = now

    def scale_weight(self, factor: float) -> None:
        """Multiply the weight of all samples; the mean does not change."""
        self.weight *= factor
        self.weighted_sum *= factor

    def scale_values(self, factor: float) -> None:
        """Multiply the values of all samples; their weight does not change."""
        self.weighted_sum *= factor

    def rate(self, now: int) -> float:
        """Return the recent rate of samples per second."""
        return self.weight * exp((self.updated_at - now) / self.time_constant) * SECOND / self.time_constant

    def mean_with_prior(self, now: int, prior: float, prior_weight: float) -> float:
        """Return the mean with `prior_weight` samples of value `prior` added, which do not decay."""
        decay = exp((self.updated_at - now) / self.time_constant)
        return (self.weighted_sum * decay + prior * prior_weight) / (self.weight * decay + prior_weight)

    @property
    def value(self) -> float:
        """The mean; 0 without samples."""
        return self.weighted_sum / self.weight if self.weight > MIN_WEIGHT else 0.0
