"""Mean value analysis of a closed queueing network with one delay and one queue (the paper, section 4)."""

from __future__ import annotations

from dataclasses import dataclass


def response_times(service_demand: float, delay: float, max_in_flight: int) -> list[float]:
    """Return the response times for 0 to `max_in_flight` requests in flight, in the unit of the arguments."""
    times = [delay + service_demand]
    queued = 0.0
    for in_flight in range(1, max_in_flight + 1):
        wait = service_demand * (1.0 + queued)
        times.append(delay + wait)
        queued = in_flight * wait / (delay + wait)
    return times


def fit_service_demand(delay: float, in_flight: int, response_time: float, steps: int) -> float:
    """Return the service demand for which `in_flight` requests take `response_time`.

    Found by bisection; the result is the upper bound of the last interval.
    """
    low, high = 0.0, response_time
    for _ in range(steps):
        service_demand = (low + high) / 2
        if response_times(service_demand, delay, in_flight)[in_flight] > response_time:
            high = service_demand
        else:
            low = service_demand
    return high


@dataclass(frozen=True, slots=True)
class ClosedNetwork:
    """The delay of a fitted network and its response times, indexed by the number in flight."""

    delay: float = 0.0
    response_times: tuple[float, ...] = (0.0,)

    @classmethod
    def fitted(cls, delay: float, in_flight: int, response_time: float, steps: int) -> ClosedNetwork:
        """Fit the service demand to one response time; compute response times up to `4 * in_flight + 20`."""
        service_demand = fit_service_demand(delay, in_flight, response_time, steps)
        return cls(delay, tuple(response_times(service_demand, delay, 4 * in_flight + 20)))

    def wait(self, in_flight: float) -> float:
        """Return the predicted time in the queue, clamped to the computed range of `in_flight`."""
        return self.response_times[min(max(0, round(in_flight)), len(self.response_times) - 1)] - self.delay

    def max_in_flight_for_wait(self, wait: float) -> int:
        """Return the largest number in flight with at most `wait` in the queue; -1 if there is none."""
        return sum(time - self.delay <= wait for time in self.response_times) - 1
