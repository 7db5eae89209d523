"""Distinguishes a longer fixed delay from queueing by linear regression of latency on the number in flight.

Queueing makes latency rise with the number in flight; a fixed delay is the same for any number. The slope of
the least-squares line shows the queueing, its intercept the delay.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import sqrt

from ...units import SECOND

SAMPLING_PERIOD_NS = SECOND // 2  # attempts sent within it count with the same number in flight
MAX_PERIODS = 16
MIN_SAMPLES = 16  # responses for a regression
MIN_PERIODS = 4  # the latency is still changing in the first periods
MIN_RELATIVE_IN_FLIGHT_DEVIATION = 0.05  # standard deviation, relative to the mean
SLOPE_MARGIN_STANDARD_ERRORS = 3.0  # added to the slope for its upper bound
MAX_QUEUE_FRACTION = 0.5  # if more of the latency beyond the known delay may be queueing, it is not a delay
REFUTING_RISE_FRACTION = 0.25  # a rise by more than this fraction of the added delay refutes an estimate
CONFIRMATION_TIME_NS = 5 * SECOND  # an estimate that is not refuted by then is confirmed
INITIAL_BACKOFF_NS = 10 * SECOND  # pause after a refuted estimate; doubles with each further one
MAX_BACKOFF_NS = 160 * SECOND


@dataclass(slots=True)
class SamplingPeriod:
    """Attempts sent within one period: the mean number in flight at its start, and their latencies (ns)."""

    start: int
    in_flight: float
    samples: int = 0
    total: float = 0.0
    sum_of_squares: float = 0.0

    def add(self, latency: float) -> None:
        """Add a response's latency."""
        self.samples += 1
        self.total += latency
        self.sum_of_squares += latency * latency


@dataclass(frozen=True, slots=True)
class LatencyRegression:
    """Linear regression of latency (ns) on the number in flight."""

    slope: float
    slope_standard_error: float
    mean_in_flight: float
    mean_latency: float

    @property
    def intercept(self) -> float:
        """Return the latency with no request in flight, which is the delay; a negative slope counts as 0."""
        return self.mean_latency - max(0.0, self.slope) * self.mean_in_flight


def fit_regression(periods: list[SamplingPeriod]) -> LatencyRegression | None:
    """Return the least-squares line; None with too few samples or too similar numbers in flight."""
    samples = sum(period.samples for period in periods)
    if samples < MIN_SAMPLES:
        return None
    mean_x = sum(period.samples * period.in_flight for period in periods) / samples
    mean_y = sum(period.total for period in periods) / samples
    xx = sum(period.samples * (period.in_flight - mean_x) ** 2 for period in periods)
    xy = sum((period.in_flight - mean_x) * (period.total - period.samples * mean_y) for period in periods)
    yy = sum(period.sum_of_squares for period in periods) - samples * mean_y * mean_y
    if xx < samples * (MIN_RELATIVE_IN_FLIGHT_DEVIATION * mean_x) ** 2 or not xx:
        return None
    slope = xy / xx
    residual = max(0.0, yy - slope * xy) / (samples - 2)
    return LatencyRegression(slope, sqrt(residual / xx), mean_x, mean_y)


@dataclass(frozen=True, slots=True)
class DelayEstimate:
    """An estimated delay: the mean latency it is based on, and the delay known before. Times are in ns."""

    estimated_at: int
    previous_delay: float
    latency: float

    def is_refuted_by(self, latency: float) -> bool:
        """Return whether latency has risen since, with more requests in flight, which indicates queueing."""
        return latency - self.latency > REFUTING_RISE_FRACTION * (self.latency - self.previous_delay)


class DelayDetector:
    """Collects latencies during congestion and estimates the delay from them. Times are in ns."""

    def __init__(self) -> None:
        self._periods: deque[SamplingPeriod] = deque(maxlen=MAX_PERIODS)
        self._unconfirmed: DelayEstimate | None = None  # the last estimate, until confirmed
        self._backoff = INITIAL_BACKOFF_NS
        self._suspended_until = 0

    def clear(self) -> None:
        """Discard all latencies."""
        self._periods.clear()

    def begin_period_if_due(self, now: int, in_flight: float) -> None:
        """Begin another sampling period if the last one is over."""
        if not self._periods or now - self._periods[-1].start >= SAMPLING_PERIOD_NS:
            self._periods.append(SamplingPeriod(now, in_flight))

    def add(self, sent_at: int, latency: int) -> None:
        """Add the latency of an attempt to the period in which it was sent, if any."""
        for period in reversed(self._periods):
            if sent_at >= period.start:
                if sent_at < period.start + SAMPLING_PERIOD_NS:
                    period.add(latency)
                return

    def estimate_delay(self, now: int, baseline_delay: float) -> float | None:
        """Return the delay if most of the latency beyond `baseline_delay` is not queueing, else None."""
        if now < self._suspended_until:
            return None
        complete = [
            period for period in self._periods if period.start + SAMPLING_PERIOD_NS + baseline_delay <= now
        ]
        regression = fit_regression(complete) if len(complete) >= MIN_PERIODS else None
        if regression is None or regression.mean_latency <= baseline_delay:
            return None
        max_slope = regression.slope + SLOPE_MARGIN_STANDARD_ERRORS * regression.slope_standard_error
        queue_slope = (regression.mean_latency - baseline_delay) / regression.mean_in_flight
        if max_slope >= MAX_QUEUE_FRACTION * queue_slope:
            return None
        self._periods.clear()
        self._unconfirmed = DelayEstimate(now, baseline_delay, regression.mean_latency)
        return max(baseline_delay, regression.intercept)

    def revert_if_refuted(self, now: int, latency: float) -> float | None:
        """Return the delay known before the last estimate if `latency` refutes it, else None.

        An estimate that is not refuted within `CONFIRMATION_TIME_NS` is confirmed.
        """
        estimate = self._unconfirmed
        if estimate is None:
            return None
        if estimate.is_refuted_by(latency):
            self._unconfirmed = None
            self._suspended_until = now + self._backoff
            self._backoff = min(MAX_BACKOFF_NS, 2 * self._backoff)
            return estimate.previous_delay
        if now - estimate.estimated_at > CONFIRMATION_TIME_NS:
            self._unconfirmed = None
            self._backoff = INITIAL_BACKOFF_NS
        return None
