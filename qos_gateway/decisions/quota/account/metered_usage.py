"""A customer's quota usage, as metered and reported by the endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import RARE_REPORT_TIME_CONSTANT_NS
from .bucket_reports import NEVER


@dataclass(slots=True)
class MeteredUsage:
    """Reported usage as fractions of the quota. Times are in ns."""

    mean: DecayingMean = field(default_factory=lambda: DecayingMean(RARE_REPORT_TIME_CONSTANT_NS))
    reported_at: int = NEVER  # time of the last report in a response
    fraction: float = 0.0  # usage in the last report

    def record(self, now: int, fraction: float, period_units: float) -> None:
        """Record a report, weighted with the quota of its period (units)."""
        self.reported_at = now
        self.fraction = fraction
        self.mean.add(now, fraction, period_units)
