"""A customer's use of its quota, as the endpoints meter and report it."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import RARE_REPORT_TIME_CONSTANT_NS
from .bucket_reports import NEVER


@dataclass(slots=True)
class MeteredUsage:
    """Reported use of the quota, as fractions of it. Times are in ns."""

    mean: DecayingMean = field(default_factory=lambda: DecayingMean(RARE_REPORT_TIME_CONSTANT_NS))
    reported_at: int = NEVER  # when a response last reported the use
    fraction: float = 0.0  # the use that was last reported

    def record(self, now: int, fraction: float, period_units: float) -> None:
        """Record a report; its weight is the quota of its period, in units."""
        self.reported_at = now
        self.fraction = fraction
        self.mean.add(now, fraction, period_units)
