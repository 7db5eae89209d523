"""Endpoints in slow start bear what all gateways send them: every window of a ramp, by simulation."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import accumulate, count
from math import sqrt

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.load_balancing.endpoint_state import EndpointState
from qos_gateway.decisions.load_balancing.load_balancer import LoadBalancer
from qos_gateway.types import (
    AttemptEnded,
    CancelAttempt,
    Event,
    Health,
    ListKind,
    Outcome,
    Send,
    SetTimer,
    Settings,
    TimerFired,
    Topology,
)
from tests.support.builders import MS, SECOND, arrival, ended, listed_endpoint, plan, settings

START = 100 * SECOND  # when endpoints start; list times of 0 mean a long time ago
LEAD, WARM_UP, WINDOW = SECOND, 5 * SECOND, 2 * SECOND
END = START + WARM_UP
LATENCY = 40 * MS  # of a response, beside its wait and its work
QUEUE_LIMIT_S = 0.8  # s of work that may wait at an endpoint; beyond, it rejects requests
SMALL = 6, 8, 4, 30.0  # gateways, warm and starting endpoints, requests per second that one serves
FLEETS = [SMALL, (20, 12, 6, 30.0), (30, 12, 8, 6.0), (200, 16, 16, 6.0)]
UTILIZATIONS = [0.6, 0.9]  # of the capacity of all that were warm before


@dataclass(frozen=True)
class Scenario:
    """What happens to a list of endpoints; some of them start at `START`."""

    gateways: int
    warm: int  # endpoints that are warm before
    starting: int  # endpoints that start
    capacity: float  # requests per second that an endpoint serves when warm
    utilization: float  # fraction of the capacity of the warm ones that clients ask for
    failing: int = 0  # warm endpoints that fail when the others start
    restarted: bool = False  # the starting ones were in the list before
    error_ratio: float = 0.0  # fraction of the attempts that end in an error or a time-out
    gateway_restarts: int = 0  # in the middle of the ramp
    overload_multiple: float = 2.0
    initial_capacity: float = 0.2
    traffic_spread: float = 1.0  # of the gateways' shares of the traffic: sigma of their logarithms


@dataclass
class SimulatedEndpoint:
    """A first-in, first-out queue; its capacity rises linearly after its start."""

    scenario: Scenario
    booted: int = 0
    free_at: int = 0
    failed: bool = False
    # Attempts since its start: when, and whether the gateway was informed of the start.
    sent: list[tuple[int, bool]] = field(default_factory=list)

    def capacity(self, now: int) -> float:
        if not self.booted:
            return self.scenario.capacity
        start = self.scenario.initial_capacity
        return self.scenario.capacity * min(1.0, start + (1.0 - start) * (now - self.booted) / WARM_UP)

    def serve(self, now: int, work: float) -> int | None:
        """Return when the response is sent, None if the request is rejected."""
        if self.free_at - now > QUEUE_LIMIT_S * SECOND:
            return None
        self.free_at = max(now, self.free_at) + int(work / self.capacity(now) * SECOND)
        return self.free_at + LATENCY

    def ratios(self) -> Iterator[float]:
        """Compare what the endpoint was sent in each window of the ramp with what it bears.

        Only windows count of which two thirds came from gateways that were informed of its start.
        """
        first = informed = 0
        for last, (now, was_informed) in enumerate(self.sent):
            informed += was_informed
            while self.sent[first][0] <= now - WINDOW:
                informed -= self.sent[first][1]
                first += 1
            received = last + 1 - first
            n = self.scenario.overload_multiple * self.capacity(now) * WINDOW / SECOND
            if now < self.booted + WARM_UP and 3 * informed > 2 * received:
                yield received / (n + 2 * sqrt(n) + 2)


class Simulation:
    """Gateways and endpoints on a virtual clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng = scenario, random.Random(seed)
        self.settings: Settings = settings(
            plans=(plan(rate=0.0, burst=0.0),),
            gateway_count=scenario.gateways,
            may_message=False,
            overload_window=WINDOW,
            overload_multiple=scenario.overload_multiple,
            initial_capacity_fraction=scenario.initial_capacity,
            slow_start_window=WARM_UP,
        )
        ids = self.rng.sample(range(1, 10_000), scenario.warm + scenario.starting)
        self.failing, self.starting = ids[: scenario.failing], ids[scenario.warm :]
        known = ids if scenario.restarted else ids[: scenario.warm]
        self.endpoints = {i: SimulatedEndpoint(scenario) for i in known}
        self.gateways = [self.process(position) for position in range(scenario.gateways)]
        self.process_number = [
            0
        ] * scenario.gateways  # count of processes: events for an earlier one are dropped
        self.informed = [False] * scenario.gateways
        self.events: list[tuple[int, int, int, int, Event | None]] = []
        self.order = count()
        self.in_flight: dict[tuple[int, int], tuple[int, int]] = {}  # by attempt: endpoint, since when
        self.attempts: dict[int, int] = {}
        self.requests = 0

    def process(self, position: int) -> DecisionEngine:
        return DecisionEngine(
            replace(self.settings, position=position), self.rng.randrange(1 << 30), START - LEAD
        )

    def topology(self, kind: ListKind) -> Topology:
        entries = tuple(
            listed_endpoint(i, Health.REMOVED if s.failed else Health.READY, s.booted, cell=i % 4)
            for i, s in self.endpoints.items()
        )
        return Topology(kind, 1, entries)

    def push(self, at: int, position: int, event: Event | None) -> None:
        heappush(self.events, (at, next(self.order), position, self.process_number[position], event))

    def run(self) -> None:
        scenario, rng = self.scenario, self.rng
        for position in range(scenario.gateways):
            self.push(START - LEAD + rng.randrange(100 * MS), position, self.topology(ListKind.FULL))
            self.push(START + rng.randrange(50 * MS, 400 * MS), position, None)
        shares = list(
            accumulate(rng.lognormvariate(0.0, scenario.traffic_spread) for _ in range(scenario.gateways))
        )
        rate = (
            scenario.utilization
            * scenario.capacity
            * (scenario.warm + scenario.starting * scenario.restarted)
            / SECOND
        )
        restarts = {START + WARM_UP // 2 + i * 20 * MS: i for i in range(scenario.gateway_restarts)}
        now, started = START - LEAD, False
        while now < END:
            now += int(rng.expovariate(rate))
            while self.events and self.events[0][0] <= now:
                at, _, position, process_number, event = heappop(self.events)
                if at >= START and not started:
                    started = True
                    self.start()
                if process_number == self.process_number[position]:
                    self.deliver(at, position, event)
            for at in [at for at in restarts if at <= now]:
                self.restart(at, restarts.pop(at))
            (position,) = rng.choices(range(scenario.gateways), cum_weights=shares)
            self.requests += 1
            number = self.requests
            made = arrival(
                number,
                now,
                class_index=number % 3,
                customer_id=rng.randrange(50),
                gateway_spread=1,
                first_gateway=position,
            )
            self.act(now, position, made)

    def start(self) -> None:
        for i in self.failing:
            self.endpoints[i].failed = True
        for i in self.starting:
            self.endpoints[i] = SimulatedEndpoint(self.scenario, booted=START)

    def restart(self, now: int, position: int) -> None:
        self.process_number[position] += 1
        self.gateways[position] = self.process(position)
        kind = ListKind.FULL if position % 2 else ListKind.CACHED
        self.informed[position] = True
        self.act(now, position, self.topology(kind))

    def deliver(self, now: int, position: int, event: Event | None) -> None:
        if event is None:
            self.informed[position] = True
            event = self.topology(ListKind.DELTA)
        if isinstance(event, AttemptEnded):
            if (event.request_id, event.attempt) not in self.in_flight:
                return
            del self.in_flight[event.request_id, event.attempt]
        self.act(now, position, event)

    def act(self, now: int, position: int, event: Event) -> None:
        for action in self.gateways[position].handle(now, event):
            match action:
                case SetTimer(after, token):
                    self.push(now + after, position, TimerFired(token))
                case CancelAttempt(request, attempt) if (request, attempt) in self.in_flight:
                    endpoint_id, since = self.in_flight[request, attempt]
                    self.push(
                        now,
                        position,
                        ended(
                            request,
                            endpoint_id,
                            Outcome.CANCELLED,
                            attempt,
                            elapsed=now - since,
                            finished=False,
                        ),
                    )
                case Send():
                    self.send(now, position, action)

    def send(self, now: int, position: int, send: Send) -> None:
        endpoint = self.endpoints[send.endpoint]
        attempt = self.attempts[send.request_id] = self.attempts.get(send.request_id, -1) + 1
        if endpoint.booted:
            endpoint.sent.append((now, self.informed[position]))
        chance = self.rng.random()
        at: int | None
        if endpoint.failed:
            at, outcome = now + 2 * MS, Outcome.CONNECT_FAILED
        elif (at := endpoint.serve(now, self.rng.uniform(0.5, 1.5))) is None:
            at, outcome = now + 2 * MS, Outcome.OVERLOADED
        else:
            outcome = Outcome.ERROR if chance < self.scenario.error_ratio / 2 else Outcome.OK
        timeout = send.timeout or 3 * SECOND
        if at - now > timeout or self.scenario.error_ratio / 2 <= chance < self.scenario.error_ratio:
            at, outcome = now + timeout, Outcome.TIMEOUT
        self.in_flight[send.request_id, attempt] = send.endpoint, now
        finished = outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not send.timeout)
        self.push(
            at,
            position,
            ended(send.request_id, send.endpoint, outcome, attempt, elapsed=at - now, finished=finished),
        )

    def worst_ratio(self) -> float:
        return max((ratio for i in self.starting for ratio in self.endpoints[i].ratios()), default=0.0)


def worst_ratio(scenario: Scenario, seeds: int = 1) -> float:
    found = []
    for seed in range(seeds):
        simulation = Simulation(scenario, seed)
        simulation.run()
        found.append(simulation.worst_ratio())
        assert any(endpoint.sent for endpoint in map(simulation.endpoints.__getitem__, simulation.starting))
    return max(found)


def scenario_of(size: tuple[int, int, int, float], utilization: float) -> Scenario:
    return Scenario(*size, utilization, gateway_restarts=max(1, size[0] // 6))


@pytest.mark.parametrize("utilization", UTILIZATIONS)
@pytest.mark.parametrize("size", FLEETS)
def test_endpoints_that_join_or_restart_bear_what_all_gateways_send(
    size: tuple[int, int, int, float], utilization: float
) -> None:
    scenario = scenario_of(size, utilization)
    assert worst_ratio(scenario) <= 1.0
    assert worst_ratio(replace(scenario, restarted=True)) <= 1.0
    assert worst_ratio(replace(scenario, restarted=True, error_ratio=0.1)) <= 1.0


@pytest.mark.parametrize("utilization", UTILIZATIONS)
@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("part", [0.5, 0.75])
def test_endpoints_in_slow_start_bear_it_where_warm_ones_fail_and_the_rest_are_far_over_capacity(
    part: float, size: tuple[int, int, int, float], utilization: float
) -> None:
    """The rest is then sent all that clients ask for and each retry of it, not what it can serve."""
    scenario = replace(scenario_of(size, utilization), failing=int(part * size[1]), restarted=True)
    assert worst_ratio(scenario) <= 1.0
    assert worst_ratio(replace(scenario, error_ratio=0.1)) <= 1.0


@pytest.mark.parametrize(("multiple", "start"), [(1.5, 0.4), (1.2, 0.1), (3.0, 0.2)])
@pytest.mark.parametrize("failing", [0, 6])
def test_endpoints_in_slow_start_bear_it_by_other_settings(
    failing: int, multiple: float, start: float
) -> None:
    scenario = replace(
        scenario_of(FLEETS[1], 0.9),
        overload_multiple=multiple,
        initial_capacity=start,
        restarted=True,
        failing=failing,
    )
    assert worst_ratio(scenario) <= 1.0


def test_token_rates_by_attempts_sent_instead_of_completions_would_overload_endpoints_in_slow_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The bound of the other tests can be exceeded."""
    original = LoadBalancer.attempt_started

    def attempt_started(load_balancer: LoadBalancer, now: int, state: EndpointState) -> None:
        original(load_balancer, now, state)
        if load_balancer.slow_start.fraction(now, state) >= 1.0:
            load_balancer.slow_start.warm_completions.add(now, 1.0)

    monkeypatch.setattr(LoadBalancer, "attempt_started", attempt_started)
    assert worst_ratio(replace(scenario_of(FLEETS[1], 0.9), restarted=True, failing=9)) > 1.0


@pytest.mark.parametrize("size", FLEETS[:2])
def test_endpoints_in_slow_start_get_work_while_warm_ones_are_busy(size: tuple[int, int, int, float]) -> None:
    """Over the ramp each gets over half of what it could serve."""
    simulation = Simulation(replace(scenario_of(size, 0.9), restarted=True), 0)
    simulation.run()
    most = size[3] * WARM_UP / SECOND * (1.0 + simulation.scenario.initial_capacity) / 2
    for number in simulation.starting:
        assert len(simulation.endpoints[number].sent) > 0.5 * most
