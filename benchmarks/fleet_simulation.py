"""Many gateways' decision engines in one process on a virtual clock, with the counter that they share.

Attempts always succeed, and clients do not retry rejected requests.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, replace

from benchmarks.arrivals import ArrivalProcess, ScheduledArrival
from benchmarks.customer_population import MEAN_ATTEMPT_DURATION_NS, PLANS, Customer, make_customers
from benchmarks.engines import cached_list, successful_attempt
from benchmarks.event_queue import EventQueue
from benchmarks.quota_audit import METER_PERIOD_NS, CustomerAudit, FleetCounts
from benchmarks.quota_counter import QuotaCounter
from benchmarks.scenario import Scenario
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import (
    Action,
    AddToCounter,
    Arrival,
    AttemptEnded,
    CancelAttempt,
    Event,
    Send,
    SetTimer,
    TimerFired,
)
from qos_gateway.units import MILLISECOND, SECOND
from tests.support.builders import settings

FIRST_ENGINE_SEED = 7  # of the first gateway; every other one has another seed
ENDPOINTS_PER_GATEWAY = 2  # few, because attempts always succeed and only quotas matter
START_INTERVAL_NS = 100 * MILLISECOND  # gateways start within it, and requests arrive from its end on
SHORTEST_ATTEMPT = 0.6  # times the mean duration
LONGEST_ATTEMPT = 1.4


@dataclass(frozen=True)
class GatewayEvent:
    """Event for one generation of a gateway's process; None: for the generation that runs at its time."""

    gateway: int
    generation: int | None
    event: Event


class Fleet:
    """The gateways' decision engines, each with the generation of the process that runs it."""

    def __init__(self, scenario: Scenario) -> None:
        self._make_engine = scenario.make_engine
        self._size = scenario.size.gateways
        self._settings = settings(
            gateway_count=self._size,
            may_message=False,
            has_counter=True,
            plans=PLANS,
            usage_period=METER_PERIOD_NS if scenario.has_usage_meter else 0,
        )
        self._generations = [0] * self._size
        self._engines = [self._start(gateway, 0) for gateway in range(self._size)]

    def _start(self, gateway: int, now: int) -> DecisionEngine:
        seed = gateway + FIRST_ENGINE_SEED + self._size * self._generations[gateway]
        return self._make_engine(replace(self._settings, position=gateway), seed, now)

    def restart(self, gateway: int, now: int) -> None:
        """Replace a gateway's engine by a new one without state."""
        self._generations[gateway] += 1
        self._engines[gateway] = self._start(gateway, now)

    def generation(self, gateway: int) -> int:
        """Return how often a gateway has restarted."""
        return self._generations[gateway]

    def is_running(self, target: GatewayEvent) -> bool:
        """Return whether the process for which an event is meant still runs."""
        return target.generation in (None, self._generations[target.gateway])

    def handle(self, gateway: int, now: int, event: Event) -> list[Action]:
        """Return what a gateway does on an event at `now` (ns)."""
        return self._engines[gateway].handle(now, event)


class FleetSimulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        size = scenario.size
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._fleet = Fleet(scenario)
        customers = make_customers(size.gateways, size.customers, size.requests_per_s, self._rng)
        self._audits = [CustomerAudit(customer.plan) for customer in customers]
        self._arrivals = ArrivalProcess(size.gateways, customers, size.requests_per_s, self._rng)
        self._counter = QuotaCounter(scenario.counter_capacity, scenario.fault_windows)
        self._counts = FleetCounts(size.gateways, scenario.end_s - scenario.count_from_s)
        self._queue = EventQueue[GatewayEvent]()
        self._customer_of_request: dict[int, Customer] = {}
        self._attempts: dict[int, int] = defaultdict(int)  # by request
        self._pending_restarts = sorted(scenario.restarts, reverse=True)  # the next one last
        self._endpoint_list = cached_list(ENDPOINTS_PER_GATEWAY * size.gateways)

    def run(self) -> FleetCounts:
        """Simulate the whole scenario and return its counts."""
        for gateway in range(self._scenario.size.gateways):
            # Gateways start at different times, or the timers of all would fire at once.
            start = self._rng.randrange(START_INTERVAL_NS)
            self._queue.schedule(start, GatewayEvent(gateway, 0, self._endpoint_list))
        self._arrivals.start_at(START_INTERVAL_NS)
        self._schedule_arrival()
        end = self._scenario.end_s * SECOND
        while (now := self._queue.next_time()) < end:
            self._restart_gateways(now)
            self._deliver(now, self._queue.pop())
        return self._counts

    def _is_counted(self, now: int) -> bool:
        return now >= self._scenario.count_from_s * SECOND

    def _schedule_arrival(self) -> None:
        arrival: ScheduledArrival = self._arrivals.next_arrival()
        self._customer_of_request[arrival.event.request_id] = arrival.customer
        self._queue.schedule(arrival.time, GatewayEvent(arrival.gateway, None, arrival.event))

    def _restart_gateways(self, now: int) -> None:
        """Restart the gateways whose restarts are due at `now` (ns)."""
        while self._pending_restarts and self._pending_restarts[-1].at_s * SECOND <= now:
            restart = self._pending_restarts.pop()
            time = int(restart.at_s * SECOND)
            self._fleet.restart(restart.gateway, time)
            generation = self._fleet.generation(restart.gateway)
            self._queue.schedule(time, GatewayEvent(restart.gateway, generation, self._endpoint_list))

    def _deliver(self, now: int, target: GatewayEvent) -> None:
        """Let a gateway handle an event, unless the process that it is for has been replaced."""
        event = target.event
        is_running = self._fleet.is_running(target)
        if isinstance(event, AttemptEnded):
            event = self._end_attempt(now, event)
        if not is_running:
            return
        actions = self._fleet.handle(target.gateway, now, event)
        if isinstance(event, Arrival):
            self._schedule_arrival()
            self._count_arrival(now, event)
        for action in actions:
            self._execute(now, target.gateway, action)

    def _end_attempt(self, now: int, event: AttemptEnded) -> AttemptEnded:
        """Record the end of an attempt; return it with the usage that the endpoint reports."""
        audit = self._audits[self._customer_of_request[event.request_id].index]
        audit.end_attempt()
        usage = audit.reported_usage(now) if self._scenario.has_usage_meter else 0
        return replace(event, quota_usage=usage)

    def _count_arrival(self, now: int, event: Arrival) -> None:
        customer = self._customer_of_request[event.request_id]
        is_within_quota = self._audits[customer.index].offer(now)
        if not self._is_counted(now):
            return
        self._counts.offered += 1
        self._counts.by_plan[customer.plan_index].offered_within_quota += is_within_quota

    def _execute(self, now: int, gateway: int, action: Action) -> None:
        """Schedule what follows from a gateway's action."""
        match action:
            case Send():
                ended = self._start_attempt(now, action)
                self._schedule_for_process(now + ended.elapsed, ended, gateway)
            case CancelAttempt():
                raise AssertionError("no attempt lasts so long that it is cancelled")
            case SetTimer(delay, token):
                self._schedule_for_process(now + delay, TimerFired(token), gateway)
            case AddToCounter():
                reply = self._counter.call(now, gateway, action)
                if self._is_counted(now):
                    self._counts.add_call(reply)
                self._schedule_for_process(now + reply.elapsed, reply, gateway)

    def _schedule_for_process(self, time: int, event: Event, gateway: int) -> None:
        """Schedule an event that only the gateway's running process may get."""
        self._queue.schedule(time, GatewayEvent(gateway, self._fleet.generation(gateway), event))

    def _start_attempt(self, now: int, action: Send) -> AttemptEnded:
        """Record an attempt; return its end."""
        customer = self._customer_of_request[action.request_id]
        attempt = self._attempts[action.request_id]
        self._attempts[action.request_id] += 1
        if attempt == 0:
            self._count_sent(now, customer)
        exceeds_limit = self._audits[customer.index].start_attempt()
        if self._is_counted(now):
            self._counts.over_in_flight_limit += exceeds_limit
        duration = int(MEAN_ATTEMPT_DURATION_NS * self._rng.uniform(SHORTEST_ATTEMPT, LONGEST_ATTEMPT))
        return successful_attempt(action.request_id, action.endpoint, duration, attempt)

    def _count_sent(self, now: int, customer: Customer) -> None:
        """Count a request's first attempt against the customer's quota."""
        audit = self._audits[customer.index]
        is_within_quota = audit.send(now)
        if not self._is_counted(now):
            return
        counts = self._counts.by_plan[customer.plan_index]
        counts.sent_within_quota += is_within_quota
        counts.sent_beyond_quota += not is_within_quota
        self._counts.over_ceiling += audit.exceeds_ceiling(now)


def simulate(scenario: Scenario) -> FleetCounts:
    """Run a scenario and return its counts; the same scenario always gives the same ones."""
    return FleetSimulation(scenario).run()
