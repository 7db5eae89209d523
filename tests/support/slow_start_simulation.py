"""Simulation of gateways and endpoints on a virtual clock, with endpoints in slow start."""

from __future__ import annotations

import random
from dataclasses import replace
from heapq import heappop, heappush
from itertools import accumulate, count
from typing import NamedTuple

from qos_gateway.decisions.engine import DecisionEngine
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
from tests.support.slow_start_scenario import (
    OVERLOAD_WINDOW_NS,
    SLOW_START_NS,
    START_NS,
    TRAFFIC_LEAD_NS,
    Scenario,
    SimulatedEndpoint,
)


class ScheduledEvent(NamedTuple):
    """An event for one incarnation of a gateway; None is a delta list, created at delivery."""

    at: int
    sequence: int
    position: int
    incarnation: int
    event: Event | None


class AttemptInFlight(NamedTuple):
    """Endpoint and send time of an attempt."""

    endpoint: int
    sent_at: int


class Simulation:
    """Gateways and endpoints that exchange events on a virtual clock."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        fleet = scenario.fleet
        self.scenario, self.rng = scenario, random.Random(seed)
        self.settings: Settings = settings(
            plans=(plan(rate=0.0, burst=0.0),),
            gateway_count=fleet.gateways,
            may_message=False,
            overload_window=OVERLOAD_WINDOW_NS,
            overload_multiple=scenario.overload_multiple,
            initial_capacity_fraction=scenario.initial_capacity,
            slow_start_window=scenario.slow_start_ns,
        )
        ids = self.rng.sample(range(1, 10_000), fleet.warm + fleet.starting)
        self.failing, self.starting = ids[: scenario.failing], ids[fleet.warm :]
        known = ids if scenario.restarted else ids[: fleet.warm]
        first_start = START_NS - TRAFFIC_LEAD_NS if scenario.all_start_first else 0
        self.endpoints = {i: SimulatedEndpoint(scenario, started_at=first_start) for i in known}
        self.gateways = [self.new_gateway(position) for position in range(fleet.gateways)]
        self.incarnations = [0] * fleet.gateways  # events for an earlier incarnation are dropped
        self.informed = [scenario.all_start_first] * fleet.gateways  # of the starts of endpoints
        self.events: list[ScheduledEvent] = []
        self.sequence = count()
        self.in_flight: dict[tuple[int, int], AttemptInFlight] = {}  # by request and attempt
        self.attempts: dict[int, int] = {}
        self.requests = 0
        self.served_requests: set[int] = set()
        self.request_times: list[tuple[int, int]] = []  # time and number of each request

    def new_gateway(self, position: int) -> DecisionEngine:
        return DecisionEngine(
            replace(self.settings, position=position), self.rng.randrange(1 << 30), START_NS - TRAFFIC_LEAD_NS
        )

    def topology(self, kind: ListKind) -> Topology:
        entries = tuple(
            listed_endpoint(i, Health.REMOVED if e.failed else Health.READY, e.started_at, cell=i % 4)
            for i, e in self.endpoints.items()
        )
        return Topology(kind, 1, entries)

    def schedule(self, at: int, position: int, event: Event | None) -> None:
        entry = ScheduledEvent(at, next(self.sequence), position, self.incarnations[position], event)
        heappush(self.events, entry)

    def run(self) -> None:
        """Send requests from `TRAFFIC_LEAD_NS` before `START_NS` until `duration_ns` after it."""
        scenario, rng = self.scenario, self.rng
        positions = range(scenario.fleet.gateways)
        for position in positions:
            list_at = START_NS - TRAFFIC_LEAD_NS + rng.randrange(100 * MS)
            self.schedule(list_at, position, self.topology(ListKind.FULL))
            for start in self.starts():
                self.schedule(start + rng.randrange(50 * MS, 400 * MS), position, None)
        shares = list(accumulate(rng.lognormvariate(0.0, scenario.traffic_spread) for _ in positions))
        restarts = {START_NS + SLOW_START_NS // 2 + i * 20 * MS: i for i in range(scenario.gateway_restarts)}
        rate = self.requests_per_ns()
        now, starts = START_NS - TRAFFIC_LEAD_NS, self.starts()
        while now < START_NS + scenario.duration_ns:
            now += int(rng.expovariate(rate))
            while self.events and self.events[0].at <= now:
                due = heappop(self.events)
                while starts and due.at >= starts[0]:
                    self.start_endpoints(starts.pop(0))
                if due.incarnation == self.incarnations[due.position]:
                    self.deliver(due.at, due.position, due.event)
            for at in [at for at in restarts if at <= now]:
                self.restart_gateway(at, restarts.pop(at))
            (position,) = rng.choices(positions, cum_weights=shares)
            self.send_request(now, position)

    def starts(self) -> list[int]:
        """Return the times at which endpoints start."""
        interval = self.scenario.replacement_interval_ns
        if self.scenario.all_start_first:
            return []
        return [START_NS + i * interval for i in range(len(self.starting))] if interval else [START_NS]

    def requests_per_ns(self) -> float:
        scenario, fleet = self.scenario, self.scenario.fleet
        warm_before = fleet.warm + fleet.starting * scenario.restarted
        return scenario.utilization * fleet.capacity_per_s * warm_before / SECOND

    def send_request(self, now: int, position: int) -> None:
        self.requests += 1
        self.request_times.append((now, self.requests))
        event = arrival(
            self.requests,
            now,
            class_index=self.requests % 3,
            customer_id=self.rng.randrange(50),
            gateway_spread=1,
            first_gateway=position,
        )
        self.handle(now, position, event)

    def start_endpoints(self, now: int) -> None:
        """Start all starting endpoints, or the next one if they replace others one by one."""
        interval = self.scenario.replacement_interval_ns
        due = (
            slice((now - START_NS) // interval, (now - START_NS) // interval + 1) if interval else slice(None)
        )
        for i in self.failing[due]:
            self.endpoints[i].failed = True
        for i in self.starting[due]:
            self.endpoints[i] = SimulatedEndpoint(self.scenario, started_at=now)

    def restart_gateway(self, now: int, position: int) -> None:
        self.incarnations[position] += 1
        self.gateways[position] = self.new_gateway(position)
        kind = ListKind.FULL if position % 2 else ListKind.CACHED
        self.informed[position] = True
        self.handle(now, position, self.topology(kind))

    def deliver(self, now: int, position: int, event: Event | None) -> None:
        if event is None:
            self.informed[position] = True
            event = self.topology(ListKind.DELTA)
        if isinstance(event, AttemptEnded):
            if (event.request_id, event.attempt) not in self.in_flight:
                return
            del self.in_flight[event.request_id, event.attempt]
            if event.outcome is Outcome.OK:
                self.served_requests.add(event.request_id)
        self.handle(now, position, event)

    def handle(self, now: int, position: int, event: Event) -> None:
        for action in self.gateways[position].handle(now, event):
            match action:
                case SetTimer(after, token):
                    self.schedule(now + after, position, TimerFired(token))
                case CancelAttempt(request, attempt) if (request, attempt) in self.in_flight:
                    self.cancel(now, position, action)
                case Send():
                    self.send_attempt(now, position, action)

    def cancel(self, now: int, position: int, action: CancelAttempt) -> None:
        attempt = self.in_flight[action.request_id, action.attempt]
        cancelled = ended(
            action.request_id,
            attempt.endpoint,
            Outcome.CANCELLED,
            action.attempt,
            elapsed=now - attempt.sent_at,
            finished=False,
        )
        self.schedule(now, position, cancelled)

    def send_attempt(self, now: int, position: int, send: Send) -> None:
        endpoint = self.endpoints[send.endpoint]
        attempt = self.attempts[send.request_id] = self.attempts.get(send.request_id, -1) + 1
        if endpoint.started_at:
            endpoint.sent.append((now, self.informed[position]))
        draw = self.rng.random()
        at: int | None
        if endpoint.failed:
            at, outcome = now + 2 * MS, Outcome.CONNECT_FAILED
        elif (at := endpoint.serve(now, self.rng.uniform(0.5, 1.5))) is None:
            at, outcome = now + 2 * MS, Outcome.OVERLOADED
        else:
            outcome = Outcome.ERROR if draw < self.scenario.error_ratio / 2 else Outcome.OK
        timeout = send.timeout or 3 * SECOND
        if at - now > timeout or self.scenario.error_ratio / 2 <= draw < self.scenario.error_ratio:
            at, outcome = now + timeout, Outcome.TIMEOUT
        self.in_flight[send.request_id, attempt] = AttemptInFlight(send.endpoint, now)
        finished = outcome is Outcome.OK or (outcome is Outcome.TIMEOUT and not send.timeout)
        result = ended(send.request_id, send.endpoint, outcome, attempt, elapsed=at - now, finished=finished)
        self.schedule(at, position, result)

    def served_fraction(self, begin: int, end: int) -> float:
        """Return the fraction of the requests that arrived between two times and were served."""
        numbers = [number for at, number in self.request_times if begin <= at < end]
        return sum(number in self.served_requests for number in numbers) / len(numbers)

    def worst_load_ratio(self) -> float:
        """Return the highest load ratio of the starting endpoints, 0 if there is none."""
        return max((ratio for i in self.starting for ratio in self.endpoints[i].load_ratios()), default=0.0)
