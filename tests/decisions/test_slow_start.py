"""Simulations: all gateways together overload no endpoint in any window of its slow start."""

from __future__ import annotations

from dataclasses import replace

import pytest

from qos_gateway.decisions.load_balancing.endpoint_state import EndpointState
from qos_gateway.decisions.load_balancing.load_balancer import LoadBalancer
from tests.support.builders import SECOND
from tests.support.slow_start_scenario import SLOW_START_NS, FleetSize, Scenario
from tests.support.slow_start_simulation import Simulation

FLEETS = [
    FleetSize(gateways=6, warm=8, starting=4, capacity_per_s=30.0),
    FleetSize(gateways=20, warm=12, starting=6, capacity_per_s=30.0),
    FleetSize(gateways=30, warm=12, starting=8, capacity_per_s=6.0),
    FleetSize(gateways=200, warm=16, starting=16, capacity_per_s=6.0),
]
UTILIZATIONS = [0.6, 0.9]


def worst_load_ratio(scenario: Scenario, seeds: int = 1) -> float:
    ratios = []
    for seed in range(seeds):
        simulation = Simulation(scenario, seed)
        simulation.run()
        ratios.append(simulation.worst_load_ratio())
        assert any(endpoint.sent for endpoint in map(simulation.endpoints.__getitem__, simulation.starting))
    return max(ratios)


def scenario_of(size: FleetSize, utilization: float) -> Scenario:
    return Scenario(fleet=size, utilization=utilization, gateway_restarts=max(1, size.gateways // 6))


@pytest.mark.parametrize("utilization", UTILIZATIONS)
@pytest.mark.parametrize("size", FLEETS)
def test_new_and_restarted_endpoints_are_not_overloaded(size: FleetSize, utilization: float) -> None:
    scenario = scenario_of(size, utilization)
    assert worst_load_ratio(scenario) <= 1.0
    assert worst_load_ratio(replace(scenario, restarted=True)) <= 1.0
    assert worst_load_ratio(replace(scenario, restarted=True, error_ratio=0.1)) <= 1.0


@pytest.mark.parametrize("utilization", UTILIZATIONS)
@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("failing_fraction", [0.5, 0.75])
def test_endpoints_in_slow_start_are_not_overloaded_when_warm_ones_fail(
    failing_fraction: float, size: FleetSize, utilization: float
) -> None:
    """The remaining warm endpoints receive the whole load and its retries, far more than they can serve."""
    scenario = replace(
        scenario_of(size, utilization), failing=int(failing_fraction * size.warm), restarted=True
    )
    assert worst_load_ratio(scenario) <= 1.0
    assert worst_load_ratio(replace(scenario, error_ratio=0.1)) <= 1.0


@pytest.mark.parametrize(("overload_multiple", "initial_capacity"), [(1.5, 0.4), (1.2, 0.1), (3.0, 0.2)])
@pytest.mark.parametrize("failing", [0, 6])
def test_endpoints_in_slow_start_are_not_overloaded_with_other_settings(
    failing: int, overload_multiple: float, initial_capacity: float
) -> None:
    scenario = replace(
        scenario_of(FLEETS[1], 0.9),
        overload_multiple=overload_multiple,
        initial_capacity=initial_capacity,
        restarted=True,
        failing=failing,
    )
    assert worst_load_ratio(scenario) <= 1.0


def test_token_rates_based_on_attempts_sent_overload_endpoints_in_slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Verify that the simulation can exceed the bound that the other tests check."""
    original = LoadBalancer.attempt_started

    def attempt_started(load_balancer: LoadBalancer, now: int, state: EndpointState) -> None:
        original(load_balancer, now, state)
        if load_balancer.slow_start.capacity_fraction(now, state) >= 1.0:
            load_balancer.slow_start.warm_completions.add(now, 1.0)

    monkeypatch.setattr(LoadBalancer, "attempt_started", attempt_started)
    assert worst_load_ratio(replace(scenario_of(FLEETS[1], 0.9), restarted=True, failing=9)) > 1.0


@pytest.mark.parametrize("size", FLEETS[:2])
def test_endpoints_in_slow_start_are_used_while_warm_ones_are_busy(size: FleetSize) -> None:
    """Each endpoint receives more than half of the attempts that it could serve during slow start."""
    simulation = Simulation(replace(scenario_of(size, 0.9), restarted=True), 0)
    simulation.run()
    max_served = (
        size.capacity_per_s * SLOW_START_NS / SECOND * (1.0 + simulation.scenario.initial_capacity) / 2
    )
    for number in simulation.starting:
        assert len(simulation.endpoints[number].sent) > 0.5 * max_served
