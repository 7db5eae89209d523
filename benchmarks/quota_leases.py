"""Calls to the quota counter where quotas are leased for terms, beside each request counted.

A whole term after the first one is simulated, which takes minutes of processor time.
"""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, replace

from benchmarks.call_rates import (
    CALL_RATE_COLUMNS,
    FAULT_COLUMNS,
    UNANSWERED_COLUMN,
    CallRates,
    LabelledCounts,
    extrapolated_rates,
    measured_rates,
)
from benchmarks.counter_calls import FLEET_SIZES, PROPORTIONAL, UNLIMITED, CounterCapacity
from benchmarks.fleet_simulation import simulate
from benchmarks.quota_audit import FleetCounts
from benchmarks.quota_counter import FaultWindow, fault_cases
from benchmarks.scenario import FleetSize, Scenario
from benchmarks.tables import print_table, report_progress
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Settings
from qos_gateway.units import SECOND

LEASE_TERM_S = 50  # the longest that the configuration allows
COUNT_FROM_S = 60.0  # of the virtual clock: after the first term, for a whole term
END_S = 110.0
PROCESSES = 4  # at once; the machine is shared with other work
LEASE_FLEET_SIZES = FLEET_SIZES[:3]  # 9,700 requests a second over two terms would take most of an hour
LEASE_FAULT_COLUMNS = [column for column in FAULT_COLUMNS if column is not UNANSWERED_COLUMN]


@dataclass(frozen=True)
class LeasingEngineFactory:
    """Creates decision engines that lease quotas; a class, as it has to go to other processes."""

    term_s: float

    def __call__(self, settings: Settings, seed: int, now: int) -> DecisionEngine:
        """Return an engine that starts at `now` (ns)."""
        return DecisionEngine(replace(settings, lease_term=int(self.term_s * SECOND)), seed, now)


def lease_scenario(
    size: FleetSize, capacity: float | None = None, fault_windows: Sequence[FaultWindow] = ()
) -> Scenario:
    """Return the scenario with leases that is counted over the whole second term."""
    return Scenario(
        size,
        counter_capacity=capacity,
        count_from_s=COUNT_FROM_S,
        end_s=END_S,
        fault_windows=tuple(fault_windows),
        make_engine=LeasingEngineFactory(LEASE_TERM_S),
    )


class FleetSeries:
    """Simulations of fleets of several sizes, which run in a pool of processes."""

    def __init__(self, label: str, scenarios: Sequence[Scenario], pool: ProcessPoolExecutor) -> None:
        self._label = label
        self._futures = [pool.submit(simulate, scenario) for scenario in scenarios]

    def rates(self) -> list[CallRates]:
        """Wait for the simulations; return their rates, and those extrapolated from several sizes."""
        report_progress(f"quota leases: {self._label}")
        fleets = [future.result() for future in self._futures]
        rates = [measured_rates(self._label, False, counts) for counts in fleets]
        if len(fleets) > 1:
            rates.append(extrapolated_rates(self._label, False, fleets))
        return rates


def submit_series(
    capacity: CounterCapacity, sizes: Sequence[FleetSize], pool: ProcessPoolExecutor
) -> list[FleetSeries]:
    """Start the simulations for one capacity: each request counted, and with leases."""
    capacities = [capacity.for_gateways(size.gateways) for size in sizes]
    counted = [
        Scenario(size, counter_capacity=calls_per_s)
        for size, calls_per_s in zip(sizes, capacities, strict=True)
    ]
    leased = [lease_scenario(size, calls_per_s) for size, calls_per_s in zip(sizes, capacities, strict=True)]
    return [
        FleetSeries(f"each counted, {capacity.label}", counted, pool),
        FleetSeries(f"leases of {LEASE_TERM_S} s, {capacity.label}", leased, pool),
    ]


@dataclass(frozen=True)
class PendingFaultCase:
    """The simulation of a fault, which runs in a pool of processes."""

    label: str
    future: Future[FleetCounts]

    def result(self) -> LabelledCounts:
        """Wait for the simulation and return its counts."""
        report_progress(f"quota leases: {self.label}")
        return LabelledCounts(self.label, self.future.result())


def submit_fault_cases(size: FleetSize, pool: ProcessPoolExecutor) -> list[PendingFaultCase]:
    """Start a simulation with leases for every fault of the counter."""
    return [
        PendingFaultCase(case.label, pool.submit(simulate, lease_scenario(size, None, case.fault_windows)))
        for case in fault_cases(size.gateways, COUNT_FROM_S, END_S)
    ]


def main(sizes: Sequence[FleetSize] = LEASE_FLEET_SIZES) -> None:
    """Print the call rates with leases and without, and those around every fault."""
    fault_size = sizes[min(1, len(sizes) - 1)]
    with ProcessPoolExecutor(PROCESSES) as pool:
        all_series = [
            series
            for capacity in (UNLIMITED, PROPORTIONAL)
            for series in submit_series(capacity, sizes, pool)
        ]
        pending_fault_cases = submit_fault_cases(fault_size, pool)
        rates = [row for series in all_series for row in series.rates()]
        title = "Quotas leased and counted (virtual clock; leases over the whole second term)"
        print_table(title, CALL_RATE_COLUMNS, rates)
        faults = [pending.result() for pending in pending_fault_cases]
    title = f"Leases, with a fault of an unlimited counter over the counted term of {LEASE_TERM_S} s"
    print_table(title, LEASE_FAULT_COLUMNS, faults)


if __name__ == "__main__":
    main()
