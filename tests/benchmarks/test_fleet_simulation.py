"""A small fleet on a virtual clock with the quota counter and its faults."""

from __future__ import annotations

from dataclasses import replace

import pytest

from benchmarks.fleet_simulation import simulate
from benchmarks.quota_audit import FleetCounts
from benchmarks.quota_counter import Fault, FaultWindow, partition_half
from benchmarks.scenario import FleetSize, Restart, Scenario

SCENARIO = Scenario(FleetSize(4, 40, 400.0), count_from_s=1.0, end_s=3.0, seed=5)
LIMITED_SCENARIO = replace(SCENARIO, counter_capacity=20.0)


def simulate_faults(*fault_windows: FaultWindow) -> FleetCounts:
    return simulate(replace(SCENARIO, fault_windows=fault_windows))


def test_simulation_is_the_same_twice_and_another_with_another_seed() -> None:
    assert simulate(LIMITED_SCENARIO) == simulate(LIMITED_SCENARIO)
    assert simulate(LIMITED_SCENARIO) != simulate(replace(LIMITED_SCENARIO, seed=6))


def test_every_call_to_the_counter_has_one_end() -> None:
    outage = FaultWindow(Fault.REQUEST_DROPPED, 1.5, 2.0)
    for counts in (simulate(SCENARIO), simulate(LIMITED_SCENARIO), simulate_faults(outage)):
        assert counts.calls == counts.answered_calls + counts.overloaded_calls + counts.unanswered_calls


def test_with_unlimited_capacity_all_requests_within_quotas_are_granted_and_few_beyond() -> None:
    counts = simulate(SCENARIO)
    assert counts.overloaded_calls == counts.unanswered_calls == 0 < counts.answered_calls == counts.calls
    assert counts.calls_per_request < 1.0
    assert counts.granted_fraction > 0.99
    assert counts.unpaid_fraction < 0.01
    assert counts.over_ceiling == 0


def test_overloaded_counter_answers_its_capacity_and_is_called_less() -> None:
    limited = simulate(LIMITED_SCENARIO)
    unlimited = simulate(SCENARIO)
    assert limited.answered_calls <= 20.0 * limited.seconds + 2
    assert limited.overloaded_calls > 0
    assert limited.calls < unlimited.calls / 4


def test_unreachable_counter_answers_no_call_and_quotas_hold_approximately() -> None:
    counts = simulate_faults(FaultWindow(Fault.CONNECTION_REFUSED, 0.0, 3.0))
    assert counts.answered_calls == counts.overloaded_calls == 0 < counts.unanswered_calls == counts.calls
    assert counts.granted_fraction > 0.85
    assert counts.unpaid_fraction < 0.05


def test_partition_of_one_region_leaves_the_other_its_answers() -> None:
    counts = simulate_faults(partition_half(4, 0.0, 3.0))
    assert 0 < counts.unanswered_calls < counts.answered_calls


def test_increments_without_reply_or_applied_twice_reject_few_requests() -> None:
    without_fault = simulate(SCENARIO)
    for fault in (Fault.REPLY_DROPPED, Fault.DUPLICATED):
        counts = simulate_faults(FaultWindow(fault, 1.0, 3.0))
        assert counts != without_fault
        assert counts.granted_fraction > 0.85


def test_counter_whose_data_is_reset_grants_at_most_the_bursts_again() -> None:
    counts = simulate_faults(FaultWindow(Fault.DATA_RESET, 1.5, 1.6))
    assert simulate(SCENARIO).unpaid_fraction < counts.unpaid_fraction < 0.1


def test_restarts_of_gateways_are_simulated() -> None:
    without_restarts = simulate(SCENARIO)
    counts = simulate(replace(SCENARIO, restarts=(Restart(1.5, 0), Restart(1.5, 1))))
    assert counts != without_restarts
    assert counts.offered == pytest.approx(without_restarts.offered, rel=0.1)
