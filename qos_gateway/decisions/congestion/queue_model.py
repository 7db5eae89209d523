"""The closed queuing model: a delay, and one shared queue whose demand is fitted to recent latency."""

from math import ceil

from ...types import Settings
from ...units import SECOND
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_MEMORY_NS, SHORT_MEMORY_NS, TICK_INTERVAL_NS
from .class_latency import ClassLatency
from .mean_value_analysis import ClosedNetwork
from .outstanding_attempt import OutstandingAttempt

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
        self.objectives = [float(c.latency_objective) for c in settings.classes]
        self.latency = [ClassLatency(SHORT_MEMORY_NS) for _ in settings.classes]
        self.mean_in_flight = DecayingMean(SHORT_MEMORY_NS)
        self.mean_latency = 0.0
        self.delay = 0.0  # latency outside the queue, over all classes
        self.network = ClosedNetwork()
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
            samples = latency.samples_with(now, late)
            if latency.weight >= MIN_BASELINE_SAMPLES:
                latency.move_baseline(1.0 + BASELINE_GROWTH_PER_S * TICK_INTERVAL_NS / SECOND)
            total += samples.total
            weight += samples.weight
            delay += latency.baseline_or_mean() * samples.weight
            headroom += samples.weight * self.headroom(class_index)
        self.congested = False
        self.concurrency_limit = None
        if weight > 1e-6:
            # One response at baseline is taken as given: when none come any more, no congestion is left.
            self.mean_latency = (total + delay / weight) / (weight + 1.0)
            self.delay = min(delay / weight, self.mean_latency)
            self._judge(CONGESTION_THRESHOLD * headroom / weight)

    def _judge(self, noise: float) -> None:
        """Tell whether latency has risen beyond noise, and fit the network and the limit to it."""
        level = ceil(self.mean_in_flight.value)
        self.congested = self.mean_latency - self.delay > noise and level > 1
        if self.congested:
            self.network = ClosedNetwork.fitted(self.delay, level, self.mean_latency, BISECTION_STEPS)
            headroom = min(self.headroom(class_index) for class_index in range(len(self.objectives)))
            self.concurrency_limit = max(2, self.network.in_flight_within(TARGET_WAIT_FRACTION * headroom))

    def headroom(self, class_index: int) -> float:
        """Return what the class's objective leaves over its baseline."""
        objective = self.objectives[class_index]
        return max(objective - self.latency[class_index].baseline, objective * MIN_HEADROOM_FRACTION)

    def uncongested_latency(self, class_index: int) -> float:
        """Return the class's baseline as far as it is known, else an estimate by its objective."""
        known = self.latency[class_index].baseline_or_mean()
        return known or self.objectives[class_index] / OBJECTIVE_PER_BASELINE


def _time_constant(rate: float) -> int:
    """Return how long responses are remembered that come at this rate (per second)."""
    return int(min(LONG_MEMORY_NS, max(SHORT_MEMORY_NS, LATENCY_SAMPLES * SECOND / max(1e-3, rate))))
