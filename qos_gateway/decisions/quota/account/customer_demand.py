"""The units that a customer requests at this gateway."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import LONG_TIME_CONSTANT_NS, SHORT_TIME_CONSTANT_NS


@dataclass(slots=True)
class CustomerDemand:
    """Decaying means of the units per request, over a short and a long time."""

    short_term: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))
    long_term: DecayingMean = field(default_factory=lambda: DecayingMean(LONG_TIME_CONSTANT_NS))

    def add(self, now: int, units: float) -> None:
        """Count a request that arrives at this gateway."""
        self.short_term.add(now, units)
        self.long_term.add(now, units)

    def rate(self, now: int) -> float:
        """Return the requests per second, over the short time."""
        return self.short_term.rate(now)

    @property
    def value(self) -> float:
        """Return the mean units per request, over the short time; 0 without requests."""
        return self.short_term.value

    def requested_rate(self, now: int) -> float:
        """Return the units per second, over the long time."""
        return self.long_term.rate(now) * self.long_term.value

    def restore(self, long_term: DecayingMean) -> None:
        """Continue with the long-term mean of the process before."""
        self.long_term = long_term
