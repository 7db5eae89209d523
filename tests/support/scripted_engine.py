"""A decision engine whose actions a test writes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from qos_gateway.types import Action, Arrival, Event, Fail, Reject, Send
from tests.support.gateway_harness import GatewayHarness

MS, SECOND = 1_000_000, 1_000_000_000

ArrivalPlan = Callable[[Arrival], list[Action]]


def leave_open(_arrival: Arrival) -> list[Action]:
    """Neither forward the request nor respond to it."""
    return []


def reject(arrival: Arrival) -> list[Action]:
    """Reject the request without a time to wait."""
    return [Reject(arrival.request_id, 0)]


def fail(arrival: Arrival) -> list[Action]:
    return [Fail(arrival.request_id)]


def forward_to(endpoint: int) -> ArrivalPlan:
    """Return a plan that starts one attempt at this endpoint."""
    return lambda arrival: [Send(arrival.request_id, endpoint, 0)]


class ScriptedEngine:
    """Records events, and follows one plan of the test for each arrival, in order."""

    def __init__(self, *plans: Any) -> None:
        self.plans = list(plans)
        self.events = list[Event]()

    def handle(self, _now: int, event: Event) -> list[Action]:
        self.events.append(event)
        if not isinstance(event, Arrival):
            return []
        plan = self.plans.pop(0)
        if isinstance(plan, Exception):
            raise plan
        actions: list[Action] = plan(event)
        return actions

    @property
    def arrivals(self) -> list[Arrival]:
        """Return the requests that have arrived, in order."""
        return self.events_of(Arrival)

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def script_engine(harness: GatewayHarness, *plans: Any) -> ScriptedEngine:
    engine = ScriptedEngine(*plans)
    harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
    return engine


def reject_open_request(harness: GatewayHarness, arrival: Arrival, retry_after_ns: int = 0) -> None:
    """Reject a request that the engine left open."""
    harness.gateway.executor.execute(Reject(arrival.request_id, retry_after_ns))


def pass_deadline(harness: GatewayHarness, engine: ScriptedEngine) -> None:
    """Let the deadline of the latest request expire, independently of the machine's speed."""
    deadlines = harness.gateway.deadlines
    clock = harness.gateway.clock
    deadlines.clock = lambda: clock() + 60 * SECOND
    deadlines.on_deadline(engine.events_of(Arrival)[-1].request_id)
    deadlines.clock = clock


def only_endpoint(harness: GatewayHarness) -> int:
    return harness.gateway.endpoint_connections.endpoint_ids()[0]
