"""Cold order servers bear what all gateways send them: every window of a ramp, by simulation."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import accumulate, count
from math import sqrt

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.load_balancer import LoadBalancer
from qos_gateway.state.endpoint import EndpointState
from qos_gateway.types import (
    AttemptEnded,
    CancelAttempt,
    Endpoint,
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
from tests.support.builders import MS, SECOND, arrival, plan, settings

START = 100 * SECOND  # when order servers start; list times of 0 mean a long time ago
LEAD, WARM_UP, WINDOW = SECOND, 5 * SECOND, 2 * SECOND
END = START + WARM_UP
LATENCY = 40 * MS  # of an answer, beside its wait and its work
ROOM = 0.8  # s of work that may wait at an order server; beyond it turns requests away
SMALL = 6, 8, 4, 30.0  # gateways, warm and cold order servers, requests a second that one serves
FLEETS = [SMALL, (20, 12, 6, 30.0), (30, 12, 8, 6.0), (200, 16, 16, 6.0)]
BUSY = [0.6, 0.9]  # of the capacity of all that were warm before


@dataclass(frozen=True)
class Scenario:
    """What happens to a fleet of order servers; the start of the cold ones is at `START`."""

    gateways: int
    warm: int  # order servers that are warm before
    cold: int  # that start
    each: float  # requests a second that one of them serves when warm
    busy: float  # part of the capacity of the warm ones that clients ask for
    lost: int = 0  # of the warm ones, at the start of the cold ones
    again: bool = False  # the cold ones are known, and start anew
    broken: float = 0.0  # part of the attempts that end in an error or in silence
    restarts: int = 0  # gateways that start anew in the middle of the ramp
    multiple: float = 2.0
    start_capacity: float = 0.2
    uneven: float = 1.0  # spread of the gateways' parts of the traffic: sigma of their logarithms


@dataclass
class OrderServer:
    """A queue that is served in turn; its capacity rises evenly after its start."""

    scenario: Scenario
    booted: int = 0
    free_at: int = 0
    lost: bool = False
    sent: list[tuple[int, bool]] = field(default_factory=list)  # since its start; sender told of it

    def capacity(self, now: int) -> float:
        if not self.booted:
            return self.scenario.each
        start = self.scenario.start_capacity
        return self.scenario.each * min(1.0, start + (1.0 - start) * (now - self.booted) / WARM_UP)

    def serve(self, now: int, work: float) -> int | None:
        """When the answer is there; None where the request is turned away."""
        if self.free_at - now > ROOM * SECOND:
            return None
        self.free_at = max(now, self.free_at) + int(work / self.capacity(now) * SECOND)
        return self.free_at + LATENCY

    def ratios(self) -> Iterator[float]:
        """What each window of the ramp got, as a part of what the server bears; only windows of which two
        thirds came from gateways that had been told."""
        first = told = 0
        for last, (now, knew) in enumerate(self.sent):
            told += knew
            while self.sent[first][0] <= now - WINDOW:
                told -= self.sent[first][1]
                first += 1
            got = last + 1 - first
            n = self.scenario.multiple * self.capacity(now) * WINDOW / SECOND
            if now < self.booted + WARM_UP and 3 * told > 2 * got:
                yield got / (n + 2 * sqrt(n) + 2)


class Simulation:
    """A fleet of gateways and one of order servers on a virtual clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.rng = scenario, random.Random(seed)
        self.settings: Settings = settings(
            plans=(plan(rate=0.0, burst=0.0),),
            gateway_count=scenario.gateways,
            may_message=False,
            overload_window=WINDOW,
            overload_multiple=scenario.multiple,
            initial_capacity_fraction=scenario.start_capacity,
            slow_start_window=WARM_UP,
        )
        ids = self.rng.sample(range(1, 10_000), scenario.warm + scenario.cold)  # they tell nothing
        self.losing, self.starting = ids[: scenario.lost], ids[scenario.warm :]
        known = ids if scenario.again else ids[: scenario.warm]
        self.servers = {i: OrderServer(scenario) for i in known}
        self.gateways = [self.process(position) for position in range(scenario.gateways)]
        self.life = [0] * scenario.gateways  # of the process; what was for the one before it is void
        self.told = [False] * scenario.gateways
        self.events: list[tuple[int, int, int, int, Event | None]] = []
        self.order = count()
        self.out: dict[tuple[int, int], tuple[int, int]] = {}  # by attempt: server, since when
        self.attempts: dict[int, int] = {}
        self.answered = self.asked = 0

    def process(self, position: int) -> DecisionEngine:
        return DecisionEngine(
            replace(self.settings, position=position), self.rng.randrange(1 << 30), START - LEAD
        )

    def listed(self, kind: ListKind) -> Topology:
        entries = tuple(
            Endpoint(i, 0, 0, i % 4, Health.REMOVED if s.lost else Health.READY, 1.0, s.booted)
            for i, s in self.servers.items()
        )
        return Topology(kind, 1, entries)

    def push(self, at: int, position: int, event: Event | None) -> None:
        heappush(self.events, (at, next(self.order), position, self.life[position], event))

    def run(self) -> None:
        scenario, rng = self.scenario, self.rng
        for position in range(scenario.gateways):
            self.push(START - LEAD + rng.randrange(100 * MS), position, self.listed(ListKind.FULL))
            self.push(START + rng.randrange(50 * MS, 400 * MS), position, None)
        shares = list(accumulate(rng.lognormvariate(0.0, scenario.uneven) for _ in range(scenario.gateways)))
        rate = scenario.busy * scenario.each * (scenario.warm + scenario.cold * scenario.again) / SECOND
        restarts = {START + WARM_UP // 2 + i * 20 * MS: i for i in range(scenario.restarts)}
        now, started = START - LEAD, False
        while now < END:
            now += int(rng.expovariate(rate))
            while self.events and self.events[0][0] <= now:
                at, _, position, life, event = heappop(self.events)
                if at >= START and not started:
                    started = True
                    self.start()
                if life == self.life[position]:
                    self.deliver(at, position, event)
            for at in [at for at in restarts if at <= now]:
                self.restart(at, restarts.pop(at))
            (position,) = rng.choices(range(scenario.gateways), cum_weights=shares)
            self.asked += 1
            number = self.asked
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
        for i in self.losing:
            self.servers[i].lost = True
        for i in self.starting:
            self.servers[i] = OrderServer(self.scenario, booted=START)

    def restart(self, now: int, position: int) -> None:
        self.life[position] += 1
        self.gateways[position] = self.process(position)
        kind = ListKind.FULL if position % 2 else ListKind.CACHED
        self.told[position] = True
        self.act(now, position, self.listed(kind))

    def deliver(self, now: int, position: int, event: Event | None) -> None:
        if event is None:
            self.told[position] = True
            event = self.listed(ListKind.DELTA)
        if isinstance(event, AttemptEnded):
            if (event.request_id, event.attempt) not in self.out:
                return
            del self.out[event.request_id, event.attempt]
            self.answered += event.outcome is Outcome.OK
        self.act(now, position, event)

    def act(self, now: int, position: int, event: Event) -> None:
        for action in self.gateways[position].handle(now, event):
            match action:
                case SetTimer(after, token):
                    self.push(now + after, position, TimerFired(token))
                case CancelAttempt(request, attempt) if (request, attempt) in self.out:
                    server, since = self.out[request, attempt]
                    self.push(
                        now,
                        position,
                        AttemptEnded(
                            request, False, 0, server, 0, Outcome.CANCELLED, now - since, attempt, ()
                        ),
                    )
                case Send():
                    self.send(now, position, action)

    def send(self, now: int, position: int, send: Send) -> None:
        server = self.servers[send.endpoint]
        attempt = self.attempts[send.request_id] = self.attempts.get(send.request_id, -1) + 1
        if server.booted:
            server.sent.append((now, self.told[position]))
        chance = self.rng.random()
        at: int | None
        if server.lost:
            at, outcome = now + 2 * MS, Outcome.CONNECT_FAILED
        elif (at := server.serve(now, self.rng.uniform(0.5, 1.5))) is None:
            at, outcome = now + 2 * MS, Outcome.OVERLOADED
        else:
            outcome = Outcome.ERROR if chance < self.scenario.broken / 2 else Outcome.OK
        patience = send.timeout or 3 * SECOND
        if at - now > patience or self.scenario.broken / 2 <= chance < self.scenario.broken:
            at, outcome = now + patience, Outcome.TIMEOUT
        self.out[send.request_id, attempt] = send.endpoint, now
        finished = outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not send.timeout)
        self.push(
            at,
            position,
            AttemptEnded(send.request_id, finished, 0, send.endpoint, 0, outcome, at - now, attempt, ()),
        )

    def worst(self) -> float:
        return max((ratio for i in self.starting for ratio in self.servers[i].ratios()), default=0.0)


def worst(scenario: Scenario, seeds: int = 1) -> float:
    found = []
    for seed in range(seeds):
        simulation = Simulation(scenario, seed)
        simulation.run()
        found.append(simulation.worst())
        assert any(server.sent for server in map(simulation.servers.__getitem__, simulation.starting))
    return max(found)


def made(size: tuple[int, int, int, float], busy: float) -> Scenario:
    return Scenario(*size, busy, restarts=max(1, size[0] // 6))


@pytest.mark.parametrize("busy", BUSY)
@pytest.mark.parametrize("size", FLEETS)
def test_cold_order_servers_that_join_or_come_back_bear_what_all_gateways_send(
    size: tuple[int, int, int, float], busy: float
) -> None:
    scenario = made(size, busy)
    assert worst(scenario) <= 1.0
    assert worst(replace(scenario, again=True)) <= 1.0
    assert worst(replace(scenario, again=True, broken=0.1)) <= 1.0


@pytest.mark.parametrize("busy", BUSY)
@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("part", [0.5, 0.75])
def test_cold_order_servers_bear_it_also_where_warm_ones_are_lost_and_the_rest_far_over_capacity(
    part: float, size: tuple[int, int, int, float], busy: float
) -> None:
    """What goes to the rest is then what clients ask for and each further try of it, not what they can do."""
    scenario = replace(made(size, busy), lost=int(part * size[1]), again=True)
    assert worst(scenario) <= 1.0
    assert worst(replace(scenario, broken=0.1)) <= 1.0


@pytest.mark.parametrize(("multiple", "start"), [(1.5, 0.4), (1.2, 0.1), (3.0, 0.2)])
@pytest.mark.parametrize("lost", [0, 6])
def test_cold_order_servers_bear_it_by_other_settings(lost: int, multiple: float, start: float) -> None:
    scenario = replace(made(FLEETS[1], 0.9), multiple=multiple, start_capacity=start, again=True, lost=lost)
    assert worst(scenario) <= 1.0


def test_gateways_that_go_by_what_they_send_to_warm_ones_would_break_cold_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The bound can be missed."""
    booked = LoadBalancer.attempt_started

    def sent(fleet: LoadBalancer, now: int, server: EndpointState) -> None:
        booked(fleet, now, server)
        if fleet.slow_start_fraction(now, server) >= 1.0:
            fleet.warm_completions.add(now, 1.0)

    monkeypatch.setattr(LoadBalancer, "attempt_started", sent)
    assert worst(replace(made(FLEETS[1], 0.9), again=True, lost=9)) > 1.0


@pytest.mark.parametrize("size", FLEETS[:2])
def test_cold_order_servers_get_work_while_warm_ones_are_busy(size: tuple[int, int, int, float]) -> None:
    """Nor are they spared: over the ramp each gets over half of what it could do."""
    simulation = Simulation(replace(made(size, 0.9), again=True), 0)
    simulation.run()
    most = size[3] * WARM_UP / SECOND * (1.0 + simulation.scenario.start_capacity) / 2
    for number in simulation.starting:
        assert len(simulation.servers[number].sent) > 0.5 * most
