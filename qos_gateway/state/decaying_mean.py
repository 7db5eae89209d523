"""Exponentially decaying means of samples over time."""

from __future__ import annotations

from math import exp

from ..units import SECOND


def decay_factor(age: int, constant: int) -> float:
    """Weight that is left of something `age` old."""
    return exp(-age / constant)


class DecayingMean:
    """A recent mean: samples lose weight with age, by the time constant `memory`."""

    __slots__ = ("time_constant", "updated_at", "weight", "weighted_sum")

    def __init__(self, memory: int) -> None:
        self.updated_at, self.weighted_sum, self.weight, self.time_constant = 0, 0.0, 0.0, memory

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        left = exp((self.updated_at - now) / self.time_constant)
        self.weighted_sum, self.weight = (
            self.weighted_sum * left + value * weight,
            self.weight * left + weight,
        )
        self.updated_at = now

    def rate(self, now: int) -> float:
        """Samples a second."""
        return self.weight * exp((self.updated_at - now) / self.time_constant) * SECOND / self.time_constant

    def mean_with_prior(self, now: int, prior: float, strength: float) -> float:
        """The mean with `strength` samples of `prior` mixed in; what is old goes back to the prior."""
        left = exp((self.updated_at - now) / self.time_constant)
        return (self.weighted_sum * left + prior * strength) / (self.weight * left + strength)

    @property
    def value(self) -> float:
        return self.weighted_sum / self.weight if self.weight > 1e-9 else 0.0


class LatencyMean(DecayingMean):
    """A class's mean latency, and beside it what came of late, for a mean that is shared by all classes."""

    __slots__ = ("recent",)

    def __init__(self, time_constant: int) -> None:
        super().__init__(time_constant)
        self.recent = DecayingMean(time_constant)

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        super().add(now, value, weight)
        self.recent.add(now, value, weight)
