"""Gateways while the latency of all endpoints changes: a delay, a queue, or both, on a virtual clock."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from itertools import count

from benchmarks.endpoint_latency import EndpointLatency, SimulatedEndpoint
from benchmarks.event_queue import EventQueue
from benchmarks.tables import Column, print_timed_table, report_progress
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    AttemptEnded,
    CancelAttempt,
    Event,
    Outcome,
    Send,
    SetTimer,
    Settings,
    TimerFired,
)
from qos_gateway.units import MILLISECOND, SECOND
from tests.support.builders import CLASSES, arrival, ended, full_list, listed_endpoint, plan, settings

OBJECTIVE_NS = 800 * MILLISECOND
CLIENT_WAITS_NS = (300 * MILLISECOND, 900 * MILLISECOND, 2 * SECOND)
CLASS_DEADLINE_NS = 3 * SECOND
CUSTOMERS = 30
AMPLE_PLAN = plan(rate=100.0, burst=100.0)  # more than any customer needs
REJECTION_NS = 2 * MILLISECOND
FIRST_ENGINE_SEED = 7


@dataclass(frozen=True, kw_only=True)
class LatencyScenario:
    """One change of the latency of all endpoints, and back."""

    before: EndpointLatency
    changed: EndpointLatency
    gateways: int = 3
    endpoints: int = 6
    requests_per_s: float = 105.0
    changed_requests_per_s: float = 0.0  # while the latency is changed; 0: the same
    change_at_s: float = 10.0
    change_back_at_s: float = 35.0
    end_s: float = 45.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class GatewayEvent:
    """An event for one gateway; None is the next arrival at any gateway."""

    gateway: int
    event: Event | None


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """A request of a client; times in ns."""

    at: int
    deadline: int


class LatencySimulation:
    """One run of a scenario: `run`, then ask for shares."""

    def __init__(self, scenario: LatencyScenario) -> None:
        """Start the gateways with all endpoints listed."""
        self.scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._endpoints = [SimulatedEndpoint() for _ in range(scenario.endpoints)]
        self._queue = EventQueue[GatewayEvent]()
        self._numbers = count(1)
        self._attempts: dict[int, int] = {}
        self._in_flight: dict[tuple[int, int], tuple[int, int]] = {}
        self.requests: dict[int, RequestRecord] = {}
        self.served: set[int] = set()
        self.engines = [
            DecisionEngine(_settings(scenario, position), FIRST_ENGINE_SEED + position, 0)
            for position in range(scenario.gateways)
        ]

    def run(self) -> None:
        """Simulate until the end."""
        entries = [listed_endpoint(number + 1) for number in range(self.scenario.endpoints)]
        for gateway in range(self.scenario.gateways):
            start = self._rng.randrange(100 * MILLISECOND)
            self._queue.schedule(start, GatewayEvent(gateway, full_list(*entries)))
        self._queue.schedule(SECOND, GatewayEvent(0, None))
        end = int(self.scenario.end_s * SECOND)
        while (now := self._queue.next_time()) < end:
            item = self._queue.pop()
            if item.event is None:
                self._arrive(now)
            else:
                self._deliver(now, item.gateway, item.event)

    def share(self, begin_s: float, end_s: float, min_wait_s: float = 0.0) -> float:
        """Return which share of the requests between two times was served in the client's time.

        Only requests whose clients wait for `min_wait_s` at least count.
        """
        begin, end, min_wait = begin_s * SECOND, end_s * SECOND, min_wait_s * SECOND
        numbers = [
            number
            for number, request in self.requests.items()
            if begin <= request.at < end and request.deadline - request.at >= min_wait
        ]
        return sum(number in self.served for number in numbers) / max(1, len(numbers))

    def _is_changed(self, now: int) -> bool:
        return self.scenario.change_at_s * SECOND <= now < self.scenario.change_back_at_s * SECOND

    def _arrive(self, now: int) -> None:
        number = next(self._numbers)
        rate = self.scenario.requests_per_s
        if self._is_changed(now):
            rate = self.scenario.changed_requests_per_s or rate
        self._queue.schedule(now + int(self._rng.expovariate(rate) * SECOND), GatewayEvent(0, None))
        record = RequestRecord(now, now + self._rng.choice(CLIENT_WAITS_NS))
        self.requests[number] = record
        event = arrival(
            number,
            now,
            class_index=number % len(CLASSES),
            customer_id=self._rng.randrange(1, CUSTOMERS + 1),
            deadline=record.deadline,
            gateway_spread=1,
        )
        self._handle(now, self._rng.randrange(self.scenario.gateways), event)

    def _deliver(self, now: int, gateway: int, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            if self._in_flight.pop((event.request_id, event.attempt), None) is None:
                return  # it was cancelled
            if event.outcome is Outcome.OK:
                self.served.add(event.request_id)
        self._handle(now, gateway, event)

    def _handle(self, now: int, gateway: int, event: Event) -> None:
        for action in self.engines[gateway].handle(now, event):
            match action:
                case SetTimer(delay, token):
                    self._queue.schedule(now + delay, GatewayEvent(gateway, TimerFired(token)))
                case Send():
                    self._send(now, gateway, action)
                case CancelAttempt(request, attempt) if (request, attempt) in self._in_flight:
                    self._cancel(now, gateway, action)

    def _send(self, now: int, gateway: int, send: Send) -> None:
        latency = self.scenario.changed if self._is_changed(now) else self.scenario.before
        number = send.request_id
        attempt = self._attempts[number] = self._attempts.get(number, -1) + 1
        at = self._endpoints[send.endpoint - 1].response_at(now, latency, self._rng)
        outcome = Outcome.OK
        if at is None:
            at, outcome = now + REJECTION_NS, Outcome.OVERLOADED
        limit = self.requests[number].deadline
        if send.timeout:
            limit = min(limit, now + send.timeout)
        if at > limit:
            at, outcome = limit, Outcome.TIMEOUT
        self._in_flight[number, attempt] = (send.endpoint, now)
        end = ended(number, send.endpoint, outcome, attempt, elapsed=at - now)
        self._queue.schedule(at, GatewayEvent(gateway, end))

    def _cancel(self, now: int, gateway: int, action: CancelAttempt) -> None:
        endpoint, sent_at = self._in_flight[action.request_id, action.attempt]
        end = ended(action.request_id, endpoint, Outcome.CANCELLED, action.attempt, elapsed=now - sent_at)
        self._queue.schedule(now, GatewayEvent(gateway, end))


def _settings(scenario: LatencyScenario, position: int) -> Settings:
    classes = tuple(
        replace(each, latency_objective=OBJECTIVE_NS, deadline=CLASS_DEADLINE_NS) for each in CLASSES
    )
    return settings(
        classes=classes,
        plans=(AMPLE_PLAN,),
        gateway_count=scenario.gateways,
        position=position,
        may_message=False,
    )


def fixed(delay_s: float) -> EndpointLatency:
    """Return the latency of endpoints without a queue."""
    return EndpointLatency(min_delay_s=delay_s, max_delay_s=delay_s)


FAST = EndpointLatency(min_delay_s=0.01, max_delay_s=0.12)
VARYING = EndpointLatency(min_delay_s=0.2, max_delay_s=0.5)
QUEUE = EndpointLatency(min_delay_s=0.01, max_delay_s=0.05, slots=2, work_s=0.06)
SLOWER_QUEUE = EndpointLatency(min_delay_s=0.25, max_delay_s=0.25, slots=2, work_s=0.06)
QUEUE_CAPACITY_PER_S = LatencyScenario.endpoints * QUEUE.slots / QUEUE.work_s
LOAD_BEFORE = 0.4  # of that capacity
SETTLED_AFTER_S = 5.0


def queue_scenario(
    changed: EndpointLatency, load: float, gateways: int = LatencyScenario.gateways, seed: int = 1
) -> LatencyScenario:
    """Return a scenario in which endpoints with a queue get `load` times their capacity."""
    return LatencyScenario(
        before=QUEUE,
        changed=changed,
        gateways=gateways,
        requests_per_s=LOAD_BEFORE * QUEUE_CAPACITY_PER_S,
        changed_requests_per_s=load * QUEUE_CAPACITY_PER_S,
        end_s=LatencyScenario.change_back_at_s + 1.0,
        seed=seed,
    )


def settled_share(scenario: LatencyScenario, min_wait_s: float = 0.0) -> float:
    """Return the served share from some seconds after the change until the change back."""
    simulation = LatencySimulation(scenario)
    simulation.run()
    begin_s = scenario.change_at_s + SETTLED_AFTER_S
    return simulation.share(begin_s, scenario.change_back_at_s, min_wait_s)


@dataclass(frozen=True, slots=True)
class LatencyChangeRow:
    """The served shares of one scenario, over several seeds."""

    name: str
    scenario: LatencyScenario
    shares: tuple[float, ...]


SEEDS = (1, 2, 3)
LOADS = (0.5, 0.8, 1.0, 1.5, 2.0, 4.0)
GATEWAYS = (3, 40)
COLUMNS: tuple[Column[LatencyChangeRow], ...] = (
    Column("change", lambda row: row.name),
    Column("gateways", lambda row: row.scenario.gateways),
    Column("served, mean", lambda row: sum(row.shares) / len(row.shares)),
    Column("least", lambda row: min(row.shares)),
)


def scenarios() -> dict[str, LatencyScenario]:
    """Return all scenarios by name."""
    found = {
        f"delay of {delay_s} s": LatencyScenario(before=FAST, changed=fixed(delay_s))
        for delay_s in (0.25, 0.6)
    }
    found["delay of 0.2 to 0.5 s"] = LatencyScenario(before=FAST, changed=VARYING)
    for load in LOADS:
        for gateways in GATEWAYS:
            found[f"queue at {load} x capacity, {gateways}"] = queue_scenario(QUEUE, load, gateways)
        found[f"delay of 0.25 s, queue at {load} x capacity"] = queue_scenario(SLOWER_QUEUE, load)
    return found


def main(seeds: Sequence[int] = SEEDS) -> None:
    """Print the served shares of all scenarios."""
    rows = []
    for name, scenario in scenarios().items():
        report_progress(f"latency change: {name}")
        rows.append(
            LatencyChangeRow(
                name, scenario, tuple(settled_share(replace(scenario, seed=seed)) for seed in seeds)
            )
        )
    print_timed_table("Served share while the latency of all endpoints is changed", COLUMNS, rows)


if __name__ == "__main__":
    main()
