"""Scenarios of endpoints in slow start, and the endpoints themselves, on a virtual clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import sqrt

from tests.support.builders import MS, SECOND

# All times are in ns. Endpoints start at START_NS; in the endpoint list a start at 0 is long ago.
START_NS = 100 * SECOND
TRAFFIC_LEAD_NS = SECOND
SLOW_START_NS = 5 * SECOND
OVERLOAD_WINDOW_NS = 2 * SECOND
RESPONSE_TIME_NS = 40 * MS  # without the time in the queue and the time of the work
MAX_QUEUE_S = 0.8  # of work that waits at an endpoint; beyond it, the endpoint rejects requests


@dataclass(frozen=True, kw_only=True)
class FleetSize:
    """Gateways and endpoints of one simulation."""

    gateways: int
    warm: int  # endpoints that are warm before
    starting: int  # endpoints that start
    capacity_per_s: float  # requests that a warm endpoint serves


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """Changes of a list of endpoints; some of them start at `START_NS`."""

    fleet: FleetSize
    utilization: float  # offered load by the capacity of the warm endpoints
    failing: int = 0  # warm endpoints that fail when the others start
    restarted: bool = False  # the starting ones were in the list before
    error_ratio: float = 0.0  # fraction of the attempts that end in an error or a time-out
    gateway_restarts: int = 0  # in the middle of the slow start
    overload_multiple: float = 2.0
    initial_capacity: float = 0.2
    traffic_spread: float = 1.0  # sigma of the logarithm of a gateway's share of the traffic
    slow_start_ns: int = SLOW_START_NS
    duration_ns: int = SLOW_START_NS  # of the traffic after `START_NS`
    replacement_interval_ns: int = 0  # between the starts of two endpoints, each with one that fails
    all_start_first: bool = False  # every endpoint starts when the gateways do, and none later


@dataclass
class SimulatedEndpoint:
    """A first-in, first-out queue; its capacity rises linearly after its start."""

    scenario: Scenario
    started_at: int = 0
    free_at: int = 0
    failed: bool = False
    # Attempts since its start: when, and whether the gateway was informed of the start.
    sent: list[tuple[int, bool]] = field(default_factory=list)

    def capacity(self, now: int) -> float:
        """Return the requests per second that it serves."""
        full = self.scenario.fleet.capacity_per_s
        if not self.started_at:
            return full
        start = self.scenario.initial_capacity
        return full * min(1.0, start + (1.0 - start) * (now - self.started_at) / self.scenario.slow_start_ns)

    def serve(self, now: int, work: float) -> int | None:
        """Return when the response is sent, None if the request is rejected."""
        if self.free_at - now > MAX_QUEUE_S * SECOND:
            return None
        self.free_at = max(now, self.free_at) + int(work / self.capacity(now) * SECOND)
        return self.free_at + RESPONSE_TIME_NS

    def load_ratios(self) -> Iterator[float]:
        """Compare the attempts in each window of the slow start with the overload limit.

        Only windows count of which two thirds came from gateways that were informed of its start.
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
