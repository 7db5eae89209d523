"""Leases of quotas over a fleet, on the virtual clock of the scale tests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.fleet_simulation import simulate
from benchmarks.quota_counter import Fault, FaultWindow, partition_half
from benchmarks.scenario import FleetSize, Restart, Scenario
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Settings
from tests.support.builders import SECOND


@pytest.mark.parametrize(
    "fault_windows",
    [
        (),
        tuple(FaultWindow(fault, 6.0, 9.0) for fault in Fault),
        (partition_half(12, 6.0, 9.0),),
    ],
    ids=["well", "all faults", "cut"],
)
def test_fleet_calls_a_tenth_as_often_within_quotas_and_never_over_a_ceiling(
    fault_windows: tuple[FaultWindow, ...],
) -> None:
    """With terms of 5 s, and three gateways that restart in the middle."""

    def leased(made: Settings, seed: int, now: int) -> DecisionEngine:
        return DecisionEngine(replace(made, lease_term=5 * SECOND), seed, now)

    scenario = Scenario(
        FleetSize(12, 140, 1200.0),
        count_from_s=4.0,
        end_s=12.0,
        fault_windows=fault_windows,
        restarts=tuple(Restart(7.0, gateway) for gateway in range(3)),
    )
    of_each = simulate(scenario)
    of_leases = simulate(replace(scenario, make_engine=leased))
    assert of_leases.calls <= 0.2 * of_each.calls
    assert of_leases.granted_fraction >= 0.9
    assert of_leases.unpaid_fraction <= 0.03
    assert of_leases.over_ceiling == 0
