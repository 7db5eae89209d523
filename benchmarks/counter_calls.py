"""Calls to the quota counter where each request is counted, by fleet size, capacity and fault."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.call_rates import (
    CALL_RATE_COLUMNS,
    FAULT_COLUMNS,
    CallRates,
    LabelledCounts,
    extrapolated_rates,
    measured_rates,
)
from benchmarks.design import DESIGN
from benchmarks.fleet_simulation import simulate
from benchmarks.quota_counter import FaultCase, fault_cases
from benchmarks.scenario import FleetSize, Scenario
from benchmarks.tables import print_table, report_progress

FLEET_SIZES = (
    FleetSize(gateways=6, customers=140, requests_per_s=1200.0),
    FleetSize(gateways=12, customers=275, requests_per_s=2400.0),
    FleetSize(gateways=24, customers=550, requests_per_s=4850.0),
    FleetSize(gateways=48, customers=1100, requests_per_s=9700.0),
)
FAULT_FLEET_SIZE = FLEET_SIZES[2]
FAULT_START_S = 4.0
FAULT_END_S = 6.0


@dataclass(frozen=True)
class CounterCapacity:
    """Calls per second that the counter accepts."""

    label: str
    calls_per_s: float | None  # None: any number
    is_proportional: bool = False  # to the fleet's size; `calls_per_s` then applies at the design size

    @property
    def is_extrapolatable(self) -> bool:
        """Return whether rates are linear in the fleet's size, which a fixed capacity prevents."""
        return self.calls_per_s is None or self.is_proportional

    def for_gateways(self, gateways: int) -> float | None:
        """Return the capacity, in calls per second, for a fleet of `gateways` gateways."""
        if self.calls_per_s is None or not self.is_proportional:
            return self.calls_per_s
        return self.calls_per_s * gateways / DESIGN.gateways


UNLIMITED = CounterCapacity("unlimited", None)
FIXED = CounterCapacity("750/s", DESIGN.counter_calls_per_s)
PROPORTIONAL = CounterCapacity("750/s x G/480", DESIGN.counter_calls_per_s, is_proportional=True)


def measure_call_rates(
    capacity: CounterCapacity, has_usage_meter: bool, sizes: Sequence[FleetSize]
) -> list[CallRates]:
    """Return the rates of fleets of these sizes, and those extrapolated from them."""
    fleets = []
    for size in sizes:
        meter = "on" if has_usage_meter else "off"
        report_progress(f"counter calls: {capacity.label}, meter {meter}, {size.gateways} gateways")
        scenario = Scenario(
            size,
            counter_capacity=capacity.for_gateways(size.gateways),
            has_usage_meter=has_usage_meter,
        )
        fleets.append(simulate(scenario))
    rates = [measured_rates(capacity.label, has_usage_meter, counts) for counts in fleets]
    if capacity.is_extrapolatable:
        rates.append(extrapolated_rates(capacity.label, has_usage_meter, fleets))
    return rates


def print_call_rates(sizes: Sequence[FleetSize] = FLEET_SIZES) -> None:
    """Print the call rates for every capacity, without and with usage meters."""
    rows = []
    for capacity in (UNLIMITED, FIXED, PROPORTIONAL):
        for has_usage_meter in (False, True):
            rows += measure_call_rates(capacity, has_usage_meter, sizes)
    title = "Calls to the quota counter (virtual clock, 8 s, counted from the 3rd on)"
    print_table(title, CALL_RATE_COLUMNS, rows)


def print_faults(size: FleetSize = FAULT_FLEET_SIZE) -> None:
    """Print the call rates around every fault of a counter of unlimited capacity."""
    rows = []
    for case in [FaultCase("none"), *fault_cases(size.gateways, FAULT_START_S, FAULT_END_S)]:
        report_progress(f"counter calls: {case.label}")
        scenario = Scenario(size, count_from_s=FAULT_START_S, fault_windows=case.fault_windows)
        rows.append(LabelledCounts(case.label, simulate(scenario)))
    title = "Faults of an unlimited counter from the 4th to the 6th second, counted from the 4th to the 8th"
    print_table(title, FAULT_COLUMNS, rows)


def main() -> None:
    """Print all tables."""
    print_call_rates()
    print_faults()


if __name__ == "__main__":
    main()
