"""Latency statistics of one request class, and its baseline without congestion."""

from __future__ import annotations

from dataclasses import dataclass

from ..statistics.decaying_mean import DecayingMean, decay_factor


@dataclass(slots=True)
class LatencySamples:
    """The decayed number of latency samples, and their weighted sum (ns)."""

    weight: float
    total: float


class ClassLatency:
    """Two means of a class's latency with different time constants, and its baseline. Times are in ns."""

    __slots__ = ("baseline", "mean", "recent_mean")

    def __init__(self, time_constant: int) -> None:
        """Start both means with the same time constant."""
        self.mean = DecayingMean(time_constant)  # time constant by the class's own response rate
        self.recent_mean = DecayingMean(time_constant)  # time constant by the response rate of all classes
        self.baseline = 0.0  # 0 while unknown

    def add(self, now: int, latency: float, weight: float = 1.0) -> None:
        """Add a response's latency to both means."""
        self.mean.add(now, latency, weight)
        self.recent_mean.add(now, latency, weight)

    def restore(self, mean: DecayingMean, baseline: float) -> None:
        """Continue with the mean and the baseline of the previous process."""
        self.mean = mean
        self.baseline = baseline

    def set_time_constants(self, mean: int, recent: int) -> None:
        """Set the time constant of each mean."""
        self.mean.time_constant = mean
        self.recent_mean.time_constant = recent

    def samples_with_outstanding(self, now: int, ages: list[int]) -> LatencySamples:
        """Return the recent latencies, with the ages of outstanding attempts added as samples."""
        recent = self.recent_mean
        decay = decay_factor(now - recent.updated_at, recent.time_constant)
        return LatencySamples(recent.weight * decay + len(ages), recent.weighted_sum * decay + sum(ages))

    def update_baseline(self, growth: float) -> None:
        """Lower the baseline to the mean, or raise it towards the mean by at most the factor `growth`."""
        grown = self.baseline * growth
        self.baseline = min(grown, self.mean.value) if grown else self.mean.value

    def scale_baseline(self, factor: float) -> None:
        """Scale the baseline, and raise the mean to it if lower: older latencies are no longer typical."""
        self.baseline *= factor
        if 0.0 < self.mean.value < self.baseline:
            self.mean.scale_values(self.baseline / self.mean.value)

    def baseline_or_mean(self) -> float:
        """Return the baseline, or the mean while the baseline is unknown; 0 before any response."""
        return self.baseline or self.mean.value
