"""A decision engine whose actions a test writes."""

from __future__ import annotations

from typing import Any

from qos_gateway.types import (
    Action,
    Arrival,
    Event,
)
from tests.support.gateway_harness import GatewayHarness

MS, SECOND = 1_000_000, 1_000_000_000


class ScriptedEngine:
    """Stands in for the decision engine: acts on each arrival as the test scripts it, and records events."""

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

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def script_engine(harness: GatewayHarness, *plans: Any) -> ScriptedEngine:
    engine = ScriptedEngine(*plans)
    harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
    return engine


def pass_deadline(harness: GatewayHarness, engine: ScriptedEngine) -> None:
    """Let the latest request's deadline pass, however fast the machine is."""
    deadlines = harness.gateway.deadlines
    clock = harness.gateway.clock
    deadlines.clock = lambda: clock() + 60 * SECOND
    deadlines.on_deadline(engine.events_of(Arrival)[-1].request_id)
    deadlines.clock = clock


def only_endpoint(harness: GatewayHarness) -> int:
    return harness.gateway.endpoint_connections.known_endpoints()[0]
