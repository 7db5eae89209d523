"""Recent demand by request priority."""

from __future__ import annotations

from ..statistics.decaying_mean import DecayingMean


class PriorityDemand:
    """Recent arrival rate and mean priority of each kind of request, where a kind is a class and a plan."""

    def __init__(self, time_constant_ns: int) -> None:
        """Start without arrivals; `time_constant_ns` applies to all means."""
        self._time_constant_ns = time_constant_ns
        self._by_kind: dict[tuple[int, int], DecayingMean] = {}

    def add(self, now: int, kind: tuple[int, int], priority: float) -> None:
        """Count one arrival."""
        mean = self._by_kind.get(kind)
        if mean is None:
            mean = self._by_kind[kind] = DecayingMean(self._time_constant_ns)
        mean.add(now, priority)

    def fraction_below(self, now: int, priority: float) -> float:
        """Return the fraction of recent arrivals whose kind has a mean priority below `priority`."""
        total = sum([mean.rate(now) for mean in self._by_kind.values()])
        below = sum([mean.rate(now) for mean in self._by_kind.values() if mean.value < priority])
        return below / max(total, 1e-9)
