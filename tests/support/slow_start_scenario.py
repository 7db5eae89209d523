"""Scenarios with endpoints in slow start, and simulated endpoints on a virtual clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import sqrt

from tests.support.builders import MS, SECOND

# Endpoints start at START_NS; in the endpoint list, 0 is a start long ago.
START_NS = 100 * SECOND
TRAFFIC_LEAD_NS = SECOND  # from the first request to START_NS
SLOW_START_NS = 5 * SECOND
OVERLOAD_WINDOW_NS = 2 * SECOND
RESPONSE_TIME_NS = 40 * MS  # without queueing and service time
MAX_QUEUE_S = 0.8  # queueing time beyond which an endpoint rejects requests


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Gateways and endpoints of one simulation."""

    gateways: int
    warm: int  # endpoints that are warm at the beginning
    starting: int  # endpoints that start or restart at `START_NS` or later
    capacity_per_s: float  # requests per second that a warm endpoint serves


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Load and changes of the endpoint list; endpoints start at `START_NS` unless stated otherwise."""

    fleet: FleetSize
    utilization: float  # offered load / capacity of the warm endpoints
    failing: int = 0  # warm endpoints that fail when the others start
    restarted: bool = False  # the starting endpoints were in the list before
    error_ratio: float = 0.0  # fraction of attempts that end in an error or a time-out
    gateway_restarts: int = 0  # gateways that restart in the middle of the slow start
    overload_multiple: float = 2.0
    initial_capacity: float = 0.2
    traffic_spread: float = 1.0  # sigma of the log-normal traffic shares of the gateways
    slow_start_ns: int = SLOW_START_NS
    duration_ns: int = SLOW_START_NS  # of the traffic after `START_NS`
    # Between the starts of endpoints, each of which replaces one that fails; 0: all start together.
    replacement_interval_ns: int = 0
    all_start_first: bool = False  # every endpoint starts together with the gateways, none later


@dataclass
class SimulatedEndpoint:
    """A FIFO queue whose capacity rises linearly after its start; times are in ns."""

    scenario: Scenario
    started_at: int = 0
    free_at: int = 0
    failed: bool = False
    # Attempts since its start: send time, and whether the gateway had received the list with that start.
    sent: list[tuple[int, bool]] = field(default_factory=list)

    def capacity(self, now: int) -> float:
        """Return its capacity in requests per second."""
        full = self.scenario.fleet.capacity_per_s
        if not self.started_at:
            return full
        start = self.scenario.initial_capacity
        return full * min(1.0, start + (1.0 - start) * (now - self.started_at) / self.scenario.slow_start_ns)

    def serve(self, now: int, work: float) -> int | None:
        """Return the time of the response, None if the request is rejected; work 1 is a mean request."""
        if self.free_at - now > MAX_QUEUE_S * SECOND:
            return None
        self.free_at = max(now, self.free_at) + int(work / self.capacity(now) * SECOND)
        return self.free_at + RESPONSE_TIME_NS

    def load_ratios(self) -> Iterator[float]:
        """Yield the number of attempts in each window of the slow start, relative to the overload limit.

        Skips windows unless over two thirds of the attempts came from gateways informed of the start. The
        limit is the overload rate with a margin for random variation.
        """
        first = informed = 0
        for last, (now, was_informed) in enumerate(self.sent):
            informed += was_informed
            while self.sent[first][0] <= now - OVERLOAD_WINDOW_NS:
                informed -= self.sent[first][1]
                first += 1
            received = last + 1 - first
            overload_attempts = (
                self.scenario.overload_multiple * self.capacity(now) * OVERLOAD_WINDOW_NS / SECOND
            )
            if now < self.started_at + self.scenario.slow_start_ns and 3 * informed > 2 * received:
                yield received / (overload_attempts + 2 * sqrt(overload_attempts) + 2)
