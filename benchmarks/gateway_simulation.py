"""One gateway's decision engine on a virtual clock, and the processor time that it takes."""

from __future__ import annotations

import random
import time
from statistics import median

from benchmarks.customer_population import CLASS_FRACTIONS, GATEWAYS_PER_CUSTOMER, PLAN_FRACTIONS, PLANS
from benchmarks.engines import ENGINE_SEED, cached_list, successful_attempt
from benchmarks.event_queue import EventQueue
from benchmarks.quota_counter import QuotaCounter
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Action, AddToCounter, Arrival, Event, Send, SetTimer, TimerFired
from qos_gateway.units import MILLISECOND, SECOND
from tests.support.builders import CLASSES, arrival, settings

ATTEMPT_DURATION_NS = 100 * MILLISECOND
ENDPOINTS = 148  # in a gateway's subset at the design size


class EngineStopwatch:
    """Processor time of one engine's events from `start` (ns of the virtual clock) on."""

    def __init__(self, engine: DecisionEngine, start: float) -> None:
        self._engine = engine
        self._start = start
        self._requests = 0
        self._request_seconds = 0.0
        self._tick_seconds: list[float] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        """Let the engine handle an event; return its actions."""
        started = time.process_time()
        actions = self._engine.handle(now, event)
        duration = time.process_time() - started
        if now >= self._start:
            self._record(event, duration)
        return actions

    def _record(self, event: Event, duration: float) -> None:
        if isinstance(event, TimerFired):
            self._tick_seconds.append(duration)
            return
        self._request_seconds += duration
        self._requests += isinstance(event, Arrival)

    @property
    def request_us(self) -> float:
        """Return the processor time of a request with all its events."""
        return 1e6 * self._request_seconds / max(1, self._requests)

    @property
    def median_tick_ms(self) -> float:
        """Return the processor time of a timer's event at the median."""
        return 1000 * median(self._tick_seconds)

    @property
    def longest_tick_ms(self) -> float:
        """Return the longest processor time of a timer's event."""
        return 1000 * max(self._tick_seconds)


class GatewaySimulation:
    """One gateway whose requests arrive evenly, each of a random customer; all attempts succeed."""

    def __init__(self, customers: int, requests_per_s: float, duration_s: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._customers = customers
        self._requests_per_s = requests_per_s
        self._end = duration_s * SECOND
        engine_settings = settings(
            gateway_count=GATEWAYS_PER_CUSTOMER, may_message=False, has_counter=True, plans=PLANS
        )
        self.engine = DecisionEngine(engine_settings, ENGINE_SEED, 0)
        self.stopwatch = EngineStopwatch(self.engine, self._end / 2)
        self._plan_indices = self._rng.choices(range(len(PLANS)), PLAN_FRACTIONS, k=customers)
        self._counter = QuotaCounter()
        self._queue = EventQueue[Event]()
        self._queue.schedule(0, cached_list(ENDPOINTS))
        self._schedule_arrival(1)

    def run(self) -> None:
        """Simulate until the end; then drop all that is not the engine's own."""
        while (now := self._queue.next_time()) < self._end:
            event = self._queue.pop()
            actions = self.stopwatch.handle(now, event)
            if isinstance(event, Arrival):
                self._schedule_arrival(event.request_id + 1)
            for action in actions:
                self._execute(now, action)
        self._counter = QuotaCounter()

    def _schedule_arrival(self, request_id: int) -> None:
        now = int(request_id / self._requests_per_s * SECOND)
        customer = self._rng.randrange(self._customers)
        class_index = self._rng.choices(range(len(CLASSES)), CLASS_FRACTIONS)[0]
        event = arrival(
            request_id,
            now,
            class_index,
            customer + 1,
            plan_index=self._plan_indices[customer],
            gateway_spread=GATEWAYS_PER_CUSTOMER,
        )
        self._queue.schedule(now, event)

    def _execute(self, now: int, action: Action) -> None:
        """Schedule what follows from an action of the engine."""
        match action:
            case Send():
                ended = successful_attempt(action.request_id, action.endpoint, ATTEMPT_DURATION_NS)
                self._queue.schedule(now + ATTEMPT_DURATION_NS, ended)
            case SetTimer(delay, token):
                self._queue.schedule(now + delay, TimerFired(token))
            case AddToCounter():
                reply = self._counter.call(now, 0, action)
                self._queue.schedule(now + reply.elapsed, reply)
