"""Handover to a process whose clock differs, because the wall clock was stepped in between."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import Action, Send, SetEndpointEnabled, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import sends
from tests.support.handover import capture_json, restore_json

HOUR = 3600 * SECOND
SETTINGS = settings(plans=(plan(rate=100.0, burst=100.0),))
START = 10 * HOUR
REQUEST_COUNT = 50
DISABLED_ENDPOINT = 4


def new_engine(now: int) -> DecisionEngine:
    engine = DecisionEngine(SETTINGS, 7, now)
    engine.handle(now, full_list(*(listed_endpoint(number) for number in range(1, 5))))
    return engine


def serve(engine: DecisionEngine, begin: int, first_request: int) -> list[Action]:
    """Serve one request per tick; return the actions for the requests."""
    actions: list[Action] = []
    for number in range(first_request, first_request + REQUEST_COUNT):
        now = begin + number % REQUEST_COUNT * TICK_INTERVAL_NS
        engine.handle(now, TimerFired(TICK_TIMER))
        request_actions = engine.handle(now, arrival(number, now))
        for send in sends(request_actions):
            engine.handle(now + 10 * MS, ended(number, send.endpoint, elapsed=10 * MS))
        actions += request_actions
    return actions


@pytest.mark.parametrize("step", [-HOUR, -5 * SECOND, 0, HOUR])
def test_next_process_continues_to_serve_after_a_clock_step(step: int) -> None:
    # Without adjusted times, a step back made every tick of the next process raise OverflowError.
    old = new_engine(START)
    serve(old, START, 0)
    captured_at = START + REQUEST_COUNT * TICK_INTERVAL_NS
    old.handle(captured_at, SetEndpointEnabled(DISABLED_ENDPOINT, False))
    old.load_balancer.registry.endpoints[1].ejected_until = captured_at + SECOND
    now = captured_at + step
    new = new_engine(now)
    restore_json(new, now, capture_json(old, captured_at), SETTINGS)
    registry = new.load_balancer.registry
    assert registry.endpoints[1].ejected_until <= now + SECOND + TICK_INTERVAL_NS
    assert registry.admin_disabled.keys() == {DISABLED_ENDPOINT}
    assert registry.admin_disabled[DISABLED_ENDPOINT] <= now + TICK_INTERVAL_NS
    served = serve(new, now, REQUEST_COUNT)
    assert all(isinstance(action, Send) for action in served)


def test_step_back_keeps_ejections_and_latencies() -> None:
    old = new_engine(START)
    serve(old, START, 0)
    captured_at = START + REQUEST_COUNT * TICK_INTERVAL_NS
    old.load_balancer.registry.endpoints[1].ejected_until = captured_at + SECOND
    now = captured_at - HOUR
    new = new_engine(now)
    restore_json(new, now, capture_json(old, captured_at), SETTINGS)
    assert new.load_balancer.registry.endpoints[1].ejected_until >= now + SECOND
    rate = old.model.class_latency[0].mean.rate(captured_at)
    assert new.model.class_latency[0].mean.rate(now) == pytest.approx(rate, rel=0.1)
