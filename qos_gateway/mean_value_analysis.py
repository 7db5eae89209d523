"""Mean value analysis of a closed network of one delay and one queue (the paper, section 4)."""

from __future__ import annotations


def response_times(demand: float, delay: float, max_in_flight: int) -> list[float]:
    """Return the response times for 0 to `max_in_flight` requests in flight; all times in one unit."""
    times = [delay + demand]
    queued = 0.0
    for in_flight in range(1, max_in_flight + 1):
        wait = demand * (1.0 + queued)
        times.append(delay + wait)
        queued = in_flight * wait / (delay + wait)
    return times


def fit_demand(delay: float, in_flight: int, response_time: float, steps: int) -> float:
    """Return, by bisection, the demand with which so many in flight take `response_time`, from above."""
    low, high = 0.0, response_time
    for _ in range(steps):
        demand = (low + high) / 2
        if response_times(demand, delay, in_flight)[in_flight] > response_time:
            high = demand
        else:
            low = demand
    return high
