"""Input of a simulation of a fleet: its size, the counter's capacity, faults and restarts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.quota_counter import FaultWindow
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Settings

EngineFactory = Callable[[Settings, int, int], DecisionEngine]  # settings, seed, start time (ns)


@dataclass(frozen=True)
class FleetSize:
    """Gateways, customers, and the requests per second that they send."""

    gateways: int
    customers: int
    requests_per_s: float


@dataclass(frozen=True, order=True)
class Restart:
    """A gateway that starts anew at once; its state and its attempts in flight are lost."""

    at_s: float
    gateway: int


@dataclass(frozen=True)
class Scenario:
    """One simulation; times are seconds of the virtual clock, and counts begin at `count_from_s`."""

    size: FleetSize
    counter_capacity: float | None = None  # calls per second; None: unlimited
    has_usage_meter: bool = False  # endpoints report each customer's usage
    count_from_s: float = 3.0
    end_s: float = 8.0
    seed: int = 1
    fault_windows: tuple[FaultWindow, ...] = ()
    restarts: tuple[Restart, ...] = ()
    make_engine: EngineFactory = DecisionEngine
