"""A customer's demand at this gateway: request rate and units per request."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import LONG_TIME_CONSTANT_NS, SHORT_TIME_CONSTANT_NS


@dataclass(slots=True)
class CustomerDemand:
    """Decaying means of the units per request, over a short and a long window."""

    short_term: DecayingMean = field(default_factory=lambda: DecayingMean(SHORT_TIME_CONSTANT_NS))
    long_term: DecayingMean = field(default_factory=lambda: DecayingMean(LONG_TIME_CONSTANT_NS))

    def add(self, now: int, units: float) -> None:
        """Record a request of `units` that arrives at this gateway."""
        self.short_term.add(now, units)
        self.long_term.add(now, units)

    def request_rate(self, now: int) -> float:
        """Return the requests per second over the short window."""
        return self.short_term.rate(now)

    @property
    def units_per_request(self) -> float:
        """The mean units per request over the short window; 0 without requests."""
        return self.short_term.value

    def unit_rate(self, now: int) -> float:
        """Return the requested units per second over the long window."""
        return self.long_term.rate(now) * self.long_term.value

    def restore(self, long_term: DecayingMean) -> None:
        """Restore the long-term mean that the previous process handed over."""
        self.long_term = long_term
