"""Tells a longer delay from a queue, by latencies of attempts sent with more and with fewer in flight.

Under a queue, latency rises with the number in flight; under a delay it is the same for any number. The least
squares line of latency over the number in flight separates the two.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import sqrt

from ...units import SECOND

PERIOD_NS = SECOND // 2  # of sends that count with the same number in flight
MAX_PERIODS = 16
MIN_SAMPLES = 16  # responses, for a conclusion
MIN_PERIODS = 4  # the first ones are those in which the latency changes
MIN_IN_FLIGHT_DEVIATION = 0.05  # of the mean number in flight
SIGNIFICANT_ERRORS = 3.0  # standard errors of the slope
MAX_QUEUE_SHARE = 0.5  # of the wait, for most of it to count as a delay
REFUTING_RISE = 0.25  # of the wait that was taken for a delay
TRIAL_NS = 5 * SECOND  # in which a rise of the latency refutes a conclusion
FIRST_PAUSE_NS = 10 * SECOND  # after a refuted conclusion; doubled by each further one
MAX_PAUSE_NS = 160 * SECOND


@dataclass(slots=True)
class SendPeriod:
    """Attempts that were sent within one period: the number in flight then, and their latencies (ns)."""

    start: int
    in_flight: float
    samples: int = 0
    total: float = 0.0
    total_of_squares: float = 0.0

    def add(self, latency: float) -> None:
        """Add a response's latency."""
        self.samples += 1
        self.total += latency
        self.total_of_squares += latency * latency


@dataclass(frozen=True, slots=True)
class LatencyLine:
    """Latency (ns) over the number in flight."""

    slope: float
    slope_error: float
    mean_in_flight: float
    mean_latency: float

    @property
    def latency_of_none(self) -> float:
        """Return the latency without any request in flight: the delay."""
        return self.mean_latency - max(0.0, self.slope) * self.mean_in_flight


def fit_line(periods: list[SendPeriod]) -> LatencyLine | None:
    """Return the least squares line, None without enough samples or different numbers in flight."""
    samples = sum(period.samples for period in periods)
    if samples < MIN_SAMPLES:
        return None
    mean_x = sum(period.samples * period.in_flight for period in periods) / samples
    mean_y = sum(period.total for period in periods) / samples
    xx = sum(period.samples * (period.in_flight - mean_x) ** 2 for period in periods)
    xy = sum((period.in_flight - mean_x) * (period.total - period.samples * mean_y) for period in periods)
    yy = sum(period.total_of_squares for period in periods) - samples * mean_y * mean_y
    if xx < samples * (MIN_IN_FLIGHT_DEVIATION * mean_x) ** 2 or not xx:
        return None
    slope = xy / xx
    residual = max(0.0, yy - slope * xy) / (samples - 2)
    return LatencyLine(slope, sqrt(residual / xx), mean_x, mean_y)


@dataclass(frozen=True, slots=True)
class Conclusion:
    """A delay that was found, with what was known before; times in ns."""

    at: int
    previous_delay: float
    latency: float

    def is_refuted_by(self, latency: float) -> bool:
        """Return whether the latency has risen since, with more in flight, as under a queue."""
        return latency - self.latency > REFUTING_RISE * (self.latency - self.previous_delay)


class DelayDetection:
    """Collects the latencies of one time of congestion, and finds the delay in them. Times are in ns."""

    def __init__(self) -> None:
        self._periods: deque[SendPeriod] = deque(maxlen=MAX_PERIODS)
        self._trial: Conclusion | None = None  # the last conclusion, until it has held for a while
        self._pause = FIRST_PAUSE_NS
        self._paused_until = 0

    def end_congestion(self) -> None:
        """Forget all latencies."""
        self._periods.clear()

    def begin_period(self, now: int, in_flight: float) -> None:
        """Begin another period of sends where the last one is over."""
        if not self._periods or now - self._periods[-1].start >= PERIOD_NS:
            self._periods.append(SendPeriod(now, in_flight))

    def add(self, sent_at: int, latency: int) -> None:
        """Add a response to an attempt that was sent at a time."""
        for period in reversed(self._periods):
            if sent_at >= period.start:
                if sent_at < period.start + PERIOD_NS:
                    period.add(latency)
                return

    def find_delay(self, now: int, baseline_delay: float) -> float | None:
        """Return the delay where latencies show that most of what is beyond `baseline_delay` is no queue."""
        if now < self._paused_until:
            return None
        settled = [period for period in self._periods if period.start + PERIOD_NS + baseline_delay <= now]
        line = fit_line(settled) if len(settled) >= MIN_PERIODS else None
        if line is None or line.mean_latency <= baseline_delay:
            return None
        queue_slope = (line.mean_latency - baseline_delay) / line.mean_in_flight
        if line.slope + SIGNIFICANT_ERRORS * line.slope_error >= MAX_QUEUE_SHARE * queue_slope:
            return None
        self._periods.clear()
        self._trial = Conclusion(now, baseline_delay, line.mean_latency)
        return max(baseline_delay, line.latency_of_none)

    def refuted_delay(self, now: int, latency: float) -> float | None:
        """Return the delay known before the last conclusion where the latency has refuted that."""
        trial = self._trial
        if trial is None:
            return None
        if trial.is_refuted_by(latency):
            self._trial = None
            self._paused_until = now + self._pause
            self._pause = min(MAX_PAUSE_NS, 2 * self._pause)
            return trial.previous_delay
        if now - trial.at > TRIAL_NS:
            self._trial = None
            self._pause = FIRST_PAUSE_NS
        return None
