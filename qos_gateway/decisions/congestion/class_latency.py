"""The latency of one class of requests, and what it is without congestion."""

from __future__ import annotations

from dataclasses import dataclass

from ..statistics.decaying_mean import DecayingMean, decay_factor


@dataclass(slots=True)
class LatencySamples:
    """A number of latencies (ns), of which only the sum matters."""

    weight: float
    total: float


class ClassLatency(DecayingMean):
    """A class's mean latency, beside it what came of late, and its baseline. Times are in ns."""

    __slots__ = ("baseline", "recent")

    def __init__(self, time_constant: int) -> None:
        """Start both means with the same time constant; each may be changed."""
        super().__init__(time_constant)
        self.recent = DecayingMean(time_constant)
        self.baseline = 0.0  # latency without congestion; 0 while unknown

    def add(self, now: int, value: float, weight: float = 1.0) -> None:
        """Add a response's latency."""
        super().add(now, value, weight)
        self.recent.add(now, value, weight)

    def samples_with(self, now: int, ages: list[int]) -> LatencySamples:
        """Return the recent latencies, decayed, together with the ages of attempts without a response."""
        decay = decay_factor(now - self.recent.updated_at, self.recent.time_constant)
        return LatencySamples(
            self.recent.weight * decay + len(ages), self.recent.weighted_sum * decay + sum(ages)
        )

    def move_baseline(self, growth: float) -> None:
        """Move the baseline down to the mean, or up by a factor where the mean is above it."""
        grown = self.baseline * growth
        self.baseline = min(grown, self.value) if grown else self.value

    def baseline_or_mean(self) -> float:
        """Return the baseline, the mean where that is unknown, 0 without any response."""
        return self.baseline or self.value
