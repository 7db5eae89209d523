"""The small closed queuing model, and the paper's seven cases that choose a concurrency by it."""

from __future__ import annotations

from collections.abc import Callable
from math import ceil

from ..state.decaying_mean import DecayingMean, LatencyMean, decay_factor
from ..types import Settings
from ..units import SECOND
from .time_constants import LONG_MEMORY, SHORT_MEMORY

Goal = Callable[[int], bool]

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
TICK = SECOND // 10  # the module's own beat: refits the model, tells peers; a tenth of usual aims
LATENCY_SAMPLES = 8.0  # answers that a recent latency rests on; where few come, memory is longer for it
BASELINE_GROWTH_PER_S = 0.01  # part a second by which a shortest latency is forgotten upwards
CONGESTION_THRESHOLD = (
    0.15  # part of the room between delay and aim from which a wait is a rise; below it is noise
)
OBJECTIVE_PER_BASELINE = 8  # latencies without a queue that an aim may hold, where none was seen yet
TARGET_WAIT_FRACTION = (
    0.4  # part of the room between delay and aim that the mean wait may take: latencies vary
)


def mean_value_analysis(demand: float, delay: float, most: int) -> list[float]:
    """Mean value analysis of one delay and one queue: response times for 0..most in flight."""
    times, queued = [delay + demand], 0.0
    for n in range(1, most + 1):
        wait = demand * (1.0 + queued)
        times.append(delay + wait)
        queued = n * wait / (delay + wait)
    return times


def _memory(rate: float) -> int:
    return int(min(LONG_MEMORY, max(SHORT_MEMORY, LATENCY_SAMPLES * SECOND / max(1e-3, rate))))


class QueueModel:
    """Delay plus one shared queue; the demand is fitted to recent latency at the recent number in flight."""

    def __init__(self, settings: Settings) -> None:
        self.latency_objectives = [float(c.latency_objective) for c in settings.classes]
        self.latency = [LatencyMean(SHORT_MEMORY) for _ in settings.classes]
        self.baseline_latency = [0.0] * len(self.latency_objectives)
        self.mean_in_flight, self.congested = DecayingMean(SHORT_MEMORY), False
        self.delay, self.mean_latency, self.response_times = 0.0, 0.0, [0.0]
        self.concurrency_limit: int | None = None

    def fit(self, now: int, out: int, outstanding: list[tuple[int, int]]) -> None:
        """Refit; outstanding attempts older than the mean count as answers that late, to see jams in time."""
        self.mean_in_flight.add(now, out)
        total = weight = delay = room = 0.0
        # All classes wait in one queue: its rise is told by as many answers of any, and sooner over again.
        memory = _memory(sum(latency.recent.rate(now) for latency in self.latency))
        for cls, latency in enumerate(self.latency):
            latency.time_constant, latency.recent.time_constant = _memory(latency.rate(now)), memory
            if latency.weight < 0.5:
                continue
            ages = [age for c, age in outstanding if c == cls and age > latency.value]
            left = decay_factor(now - latency.recent.updated_at, memory)
            w = latency.recent.weight * left + len(ages)
            if latency.weight >= 4.0:
                grown = self.baseline_latency[cls] * (1.0 + BASELINE_GROWTH_PER_S * TICK / SECOND)
                self.baseline_latency[cls] = min(grown, latency.value) if grown else latency.value
            rest = self.baseline_latency[cls] or latency.value
            total += latency.recent.weighted_sum * left + sum(ages)
            weight, delay = weight + w, delay + rest * w
            room += w * self.headroom(cls)
        self.congested, self.concurrency_limit, n = False, None, ceil(self.mean_in_flight.value)
        if weight > 1e-6:
            # One answer at rest is taken as given: when none come any more, no rise is left.
            self.mean_latency, self.delay = (total + delay / weight) / (weight + 1.0), delay / weight
            self.delay = min(self.delay, self.mean_latency)
            self.congested = self.mean_latency - self.delay > CONGESTION_THRESHOLD * room / weight and n > 1
        if self.congested:
            self._fit_demand(n)

    def _fit_demand(self, n: int) -> None:
        low, high = 0.0, self.mean_latency
        for _ in range(20):
            demand = (low + high) / 2
            over = mean_value_analysis(demand, self.delay, n)[n] > self.mean_latency
            low, high = (low, demand) if over else (demand, high)
        self.response_times = mean_value_analysis(high, self.delay, 4 * n + 20)
        room = TARGET_WAIT_FRACTION * min(self.headroom(cls) for cls in range(len(self.latency_objectives)))
        self.concurrency_limit = max(2, sum(t - self.delay <= room for t in self.response_times) - 1)

    def headroom(self, cls: int) -> float:
        return max(
            self.latency_objectives[cls] - self.baseline_latency[cls], self.latency_objectives[cls] / 4
        )

    def uncongested_latency(self, cls: int) -> float:
        """A class's latency without a queue, as far as known: where no answer came, by its aim."""
        return (
            self.baseline_latency[cls]
            or self.latency[cls].value
            or self.latency_objectives[cls] / OBJECTIVE_PER_BASELINE
        )

    def response_time(self, n: float) -> float:
        return self.response_times[min(max(0, round(n)), len(self.response_times) - 1)]


def seven_cases(wanted: int, response: Goal, throughput: Goal, others: Goal) -> int:
    """The paper's section 5: concurrency offered, 0 to reject; each goal tells whether it holds at one."""

    def first(levels: range, *goals: Goal) -> int:
        return next((n for n in levels if all(goal(n) for goal in goals)), 0)

    fewer, more = range(wanted - 1, 0, -1), range(wanted + 1, 2 * wanted + 1)

    r, x, w = response(wanted), throughput(wanted), others(wanted)
    if w and r and x:
        return wanted  # case 1
    if w and x:  # case 2: too slow; fewer, or else the fewest that keep the throughput
        return first(fewer, response, throughput) or first(fewer[::-1], throughput) or wanted
    if w and r:  # case 3: too little throughput; more, or else as many as stay fast enough
        return first(more, response, throughput, others) or first(more[::-1], response, others) or wanted
    if w:  # case 4: both
        return first(fewer, response) or first(more, throughput, others) or wanted
    both = first(fewer, response, throughput, others) or first(fewer, others, throughput)  # cases 5 to 7
    return (x and both) or first(fewer, others)
