"""The closed queuing model: a delay, and one shared queue whose demand is fitted to recent latency."""

from __future__ import annotations

from math import ceil

from .. import mean_value_analysis
from ..state.decaying_mean import DecayingMean, LatencyMean, decay_factor
from ..state.outstanding import OutstandingAttempt
from ..types import Settings
from ..units import SECOND
from .time_constants import LONG_MEMORY, SHORT_MEMORY

TICK = SECOND // 10  # between refits, gossip and checks of open requests: a tenth of usual objectives
LATENCY_SAMPLES = 8.0  # responses that a recent latency rests on; where few come, memory is longer
MIN_LATENCY_SAMPLES = 0.5  # below which a class's latency is not used ...
MIN_BASELINE_SAMPLES = 4.0  # ... nor its baseline moved
BASELINE_GROWTH_PER_S = 0.01  # part of it per second by which a baseline is forgotten upwards
CONGESTION_THRESHOLD = 0.15  # part of the headroom from which a wait is congestion; below it is noise
OBJECTIVE_PER_BASELINE = 8  # baselines that an objective is taken to hold, where no latency was seen yet
TARGET_WAIT_FRACTION = 0.4  # part of the headroom that the mean wait may take: latencies vary
BISECTION_STEPS = 20  # of the fitted demand: to a millionth of the mean latency
MIN_HEADROOM_FRACTION = 1 / 4  # part of the objective that its headroom is at least


class QueueModel:
    """Latency by class, and whether and how far it has risen with the number in flight. Times are in ns."""

    def __init__(self, settings: Settings) -> None:
        self.latency_objectives = [float(c.latency_objective) for c in settings.classes]
        self.latency = [LatencyMean(SHORT_MEMORY) for _ in settings.classes]
        self.baseline_latency = [0.0] * len(self.latency_objectives)
        self.mean_in_flight = DecayingMean(SHORT_MEMORY)
        self.mean_latency = 0.0
        self.delay = 0.0  # latency outside the queue, over all classes
        self.response_times = [0.0]  # by number in flight
        self.congested = False
        self.concurrency_limit: int | None = None  # None without congestion

    def fit(self, now: int, in_flight: int, outstanding: list[OutstandingAttempt]) -> None:
        """Refit to recent responses; attempts older than their class's mean count as responses that late."""
        self.mean_in_flight.add(now, in_flight)
        total = weight = delay = headroom = 0.0
        # All classes share one queue: its rise shows in as many responses of any, and sooner ends again.
        time_constant = _time_constant(sum(latency.recent.rate(now) for latency in self.latency))
        for class_index, latency in enumerate(self.latency):
            latency.time_constant = _time_constant(latency.rate(now))
            latency.recent.time_constant = time_constant
            if latency.weight < MIN_LATENCY_SAMPLES:
                continue
            late = [a.age for a in outstanding if a.class_index == class_index and a.age > latency.value]
            decay = decay_factor(now - latency.recent.updated_at, time_constant)
            samples = latency.recent.weight * decay + len(late)
            self._move_baseline(class_index)
            total += latency.recent.weighted_sum * decay + sum(late)
            weight += samples
            delay += (self.baseline_latency[class_index] or latency.value) * samples
            headroom += samples * self.headroom(class_index)
        self.congested = False
        self.concurrency_limit = None
        if weight <= 1e-6:
            return
        level = ceil(self.mean_in_flight.value)
        # One response at baseline is taken as given: when none come any more, no congestion is left.
        self.mean_latency = (total + delay / weight) / (weight + 1.0)
        self.delay = min(delay / weight, self.mean_latency)
        rise = self.mean_latency - self.delay
        self.congested = rise > CONGESTION_THRESHOLD * headroom / weight and level > 1
        if self.congested:
            self._fit_demand(level)

    def _move_baseline(self, class_index: int) -> None:
        latency = self.latency[class_index]
        if latency.weight >= MIN_BASELINE_SAMPLES:
            grown = self.baseline_latency[class_index] * (1.0 + BASELINE_GROWTH_PER_S * TICK / SECOND)
            self.baseline_latency[class_index] = min(grown, latency.value) if grown else latency.value

    def _fit_demand(self, level: int) -> None:
        demand = mean_value_analysis.fit_demand(self.delay, level, self.mean_latency, BISECTION_STEPS)
        self.response_times = mean_value_analysis.response_times(demand, self.delay, 4 * level + 20)
        target = TARGET_WAIT_FRACTION * min(self.headroom(c) for c in range(len(self.latency_objectives)))
        within = sum(time - self.delay <= target for time in self.response_times)
        self.concurrency_limit = max(2, within - 1)

    def headroom(self, class_index: int) -> float:
        """Return what the class's objective leaves over its baseline."""
        objective = self.latency_objectives[class_index]
        return max(objective - self.baseline_latency[class_index], objective * MIN_HEADROOM_FRACTION)

    def uncongested_latency(self, class_index: int) -> float:
        """Return the class's baseline as far as it is known, else an estimate by its objective."""
        known = self.baseline_latency[class_index] or self.latency[class_index].value
        return known or self.latency_objectives[class_index] / OBJECTIVE_PER_BASELINE

    def response_time(self, in_flight: float) -> float:
        """Return the predicted response time with so many in flight, over all customers."""
        return self.response_times[min(max(0, round(in_flight)), len(self.response_times) - 1)]


def _time_constant(rate: float) -> int:
    """Return how long responses are remembered that come at this rate (per second)."""
    return int(min(LONG_MEMORY, max(SHORT_MEMORY, LATENCY_SAMPLES * SECOND / max(1e-3, rate))))
