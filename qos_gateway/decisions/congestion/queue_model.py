"""Closed queueing model: a delay, and one shared queue whose service demand is fitted to recent latency."""

from math import ceil

from ...types import Settings
from ...units import SECOND
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS, SHORT_TIME_CONSTANT_NS, TICK_INTERVAL_NS
from .class_latency import ClassLatency
from .delay_detection import DelayDetector
from .mean_value_analysis import ClosedNetwork
from .outstanding_attempt import OutstandingAttempt

TARGET_LATENCY_SAMPLES = 8.0  # responses per time constant; low rates get a longer one
MIN_RESPONSES_PER_S = 1e-3  # avoids division by zero
MIN_LATENCY_SAMPLES = 0.5  # a class with fewer samples is left out of the fit
MIN_BASELINE_SAMPLES = 4.0  # a class with fewer samples keeps its baseline
MIN_TOTAL_SAMPLES = 1e-6  # with fewer samples over all classes, the model is not fitted
BASELINE_GROWTH_PER_S = 0.01  # fraction of the baseline
CONGESTION_THRESHOLD = 0.15  # wait as a fraction of the headroom; smaller waits are noise
OBJECTIVE_TO_BASELINE_RATIO = 8  # estimates the baseline of a class without responses
TARGET_WAIT_FRACTION = 0.4  # mean wait as a fraction of the headroom; latencies vary around the mean
BISECTION_STEPS = 20  # resolve the service demand to a millionth of the mean latency
MIN_HEADROOM_TO_OBJECTIVE_RATIO = 1 / 4
MIN_CONCURRENCY_LIMIT = 2


class QueueModel:
    """Latency by class, congestion state and concurrency limit. Times are in ns."""

    def __init__(self, settings: Settings) -> None:
        self.objectives = [float(c.latency_objective) for c in settings.classes]
        self.class_latency = [ClassLatency(SHORT_TIME_CONSTANT_NS) for _ in settings.classes]
        self.mean_in_flight = DecayingMean(SHORT_TIME_CONSTANT_NS)
        self.mean_latency = 0.0  # over all classes
        self.delay = 0.0  # mean latency without queueing, over all classes
        self.network = ClosedNetwork()
        self.delay_detector = DelayDetector()
        self.congested = False
        self.concurrency_limit: int | None = None  # None without congestion

    def fit(self, now: int, in_flight: int, outstanding: list[OutstandingAttempt]) -> None:
        """Fit the model to recent responses, and to attempts outstanding longer than their class's mean."""
        self.mean_in_flight.add(now, in_flight)
        total = weight = delay = headroom = 0.0
        # All classes share one queue, so the responses of any class are samples of its latency.
        time_constant = _time_constant(sum(latency.recent_mean.rate(now) for latency in self.class_latency))
        for class_index, latency in enumerate(self.class_latency):
            mean = latency.mean
            latency.set_time_constants(_time_constant(mean.rate(now)), time_constant)
            if mean.weight < MIN_LATENCY_SAMPLES:
                continue
            overdue = [a.age for a in outstanding if a.class_index == class_index and a.age > mean.value]
            samples = latency.samples_with_outstanding(now, overdue)
            if mean.weight >= MIN_BASELINE_SAMPLES:
                latency.update_baseline(1.0 + BASELINE_GROWTH_PER_S * TICK_INTERVAL_NS / SECOND)
            total += samples.total
            weight += samples.weight
            delay += latency.baseline_or_mean() * samples.weight
            headroom += samples.weight * self.headroom(class_index)
        self.congested = False
        self.concurrency_limit = None
        if weight > MIN_TOTAL_SAMPLES:
            # One sample at the baseline is added, so that congestion ends when no more responses arrive.
            self.mean_latency = (total + delay / weight) / (weight + 1.0)
            self.delay = min(delay / weight, self.mean_latency)
            self._detect_congestion(CONGESTION_THRESHOLD * headroom / weight)
            self._detect_delay(now)

    def _detect_congestion(self, threshold: float) -> None:
        """Detect a wait longer than `threshold` (ns); then fit the network and set the concurrency limit."""
        in_flight = ceil(self.mean_in_flight.value)
        self.congested = self.mean_latency - self.delay > threshold and in_flight > 1
        if self.congested:
            self.network = ClosedNetwork.fitted(self.delay, in_flight, self.mean_latency, BISECTION_STEPS)
            headroom = min(self.headroom(class_index) for class_index in range(len(self.objectives)))
            limit = self.network.max_in_flight_for_wait(TARGET_WAIT_FRACTION * headroom)
            self.concurrency_limit = max(MIN_CONCURRENCY_LIMIT, limit)

    def add_latency(self, now: int, class_index: int, latency: int) -> None:
        """Add the latency of a successful attempt that ended at `now`."""
        self.class_latency[class_index].add(now, latency)
        if self.congested:
            self.delay_detector.add(now - latency, latency)

    def _detect_delay(self, now: int) -> None:
        """Adopt a longer delay as the baseline where latencies show no queueing; revert it when refuted."""
        detector = self.delay_detector
        previous_delay = detector.revert_if_refuted(now, self.mean_latency)
        if previous_delay is not None:
            self._scale_baselines(min(previous_delay, self.delay))
        if not self.congested:
            detector.clear()
            return
        detector.begin_period_if_due(now, self.mean_in_flight.value)
        delay = detector.estimate_delay(now, self.delay)
        if delay is not None:
            self._scale_baselines(delay)

    def _scale_baselines(self, delay: float) -> None:
        """Scale the baselines of all classes so that their mean becomes `delay` (ns)."""
        if self.delay > 0.0:
            for latency in self.class_latency:
                latency.scale_baseline(delay / self.delay)

    def headroom(self, class_index: int) -> float:
        """Return the time from the class's baseline to its objective, at least a part of the objective."""
        objective = self.objectives[class_index]
        return max(
            objective - self.class_latency[class_index].baseline, objective * MIN_HEADROOM_TO_OBJECTIVE_RATIO
        )

    def uncongested_latency(self, class_index: int) -> float:
        """Return the class's baseline; while it is unknown, its mean or an estimate from its objective."""
        baseline = self.class_latency[class_index].baseline_or_mean()
        return baseline or self.objectives[class_index] / OBJECTIVE_TO_BASELINE_RATIO


def _time_constant(rate: float) -> int:
    """Return the time constant (ns) that covers enough samples at `rate` responses per second."""
    enough_samples = TARGET_LATENCY_SAMPLES * SECOND / max(MIN_RESPONSES_PER_S, rate)
    return int(min(LONG_TIME_CONSTANT_NS, max(SHORT_TIME_CONSTANT_NS, enough_samples)))
