"""Slow start where the gateway's clock and that of the reported starts differ."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import Health, ListKind, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import sends
from tests.support.handover import capture_json, restore_json

HOUR = 3600 * SECOND
SLOW_START_NS = 18 * SECOND
SETTINGS = settings(plans=(plan(rate=1000.0, burst=1000.0),), slow_start_window=SLOW_START_NS)
BEGIN = 10 * HOUR
TOLD_AT = BEGIN + 20 * SECOND
WARM = range(1, 6)
STARTED = 9
REQUEST_INTERVAL_NS = 10 * MS
MAX_RATIO = 1.5  # of attempts in the first seconds, by those with equal clocks
FIRST_SECONDS_NS = 3 * SECOND


class Traffic:
    """Steady requests to one engine; counts the attempts at the endpoint that starts."""

    def __init__(self, engine: DecisionEngine) -> None:
        self.engine = engine
        self.number = 0

    def attempts(self, begin: int, duration: int) -> int:
        count = 0
        for now in range(begin, begin + duration, REQUEST_INTERVAL_NS):
            if (now - begin) % TICK_INTERVAL_NS == 0:
                self.engine.handle(now, TimerFired(TICK_TIMER))
            self.number += 1
            for send in sends(self.engine.handle(now, arrival(self.number, now))):
                count += send.endpoint == STARTED
                self.engine.handle(now + 5 * MS, ended(self.number, send.endpoint, elapsed=5 * MS))
        return count


def told_engine(clock_error: int) -> DecisionEngine:
    """Return a gateway that is told of a start; its clock is ahead of the reported time by an error."""
    engine = DecisionEngine(SETTINGS, 7, BEGIN)
    engine.handle(BEGIN, full_list(*map(listed_endpoint, WARM)))
    Traffic(engine).attempts(BEGIN, TOLD_AT - BEGIN)
    started = listed_endpoint(STARTED, Health.READY, TOLD_AT - clock_error)
    engine.handle(TOLD_AT, full_list(started, kind=ListKind.DELTA))
    return engine


def first_attempts(clock_error: int) -> int:
    return Traffic(told_engine(clock_error)).attempts(TOLD_AT, FIRST_SECONDS_NS)


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR, -5 * SECOND])
def test_start_that_the_gateway_is_told_of_begins_a_slow_start(clock_error: int) -> None:
    # With a clock an hour ahead the endpoint got as many attempts as a warm one.
    expected = first_attempts(0)
    assert expected / MAX_RATIO <= first_attempts(clock_error) <= expected * MAX_RATIO


@pytest.mark.parametrize("clock_error", [HOUR, 0, -HOUR])
def test_slow_start_ends_after_its_window(clock_error: int) -> None:
    # With a clock an hour behind it lasted for an hour more.
    traffic = Traffic(told_engine(clock_error))
    traffic.attempts(TOLD_AT, SLOW_START_NS)
    after = traffic.attempts(TOLD_AT + SLOW_START_NS, FIRST_SECONDS_NS)
    everywhere = FIRST_SECONDS_NS // REQUEST_INTERVAL_NS / (len(WARM) + 1)
    assert after >= everywhere / MAX_RATIO
    assert not traffic.engine.load_balancer.slow_start.warming_up


@pytest.mark.parametrize("clock_error", [HOUR, 0, -HOUR])
def test_slow_start_goes_on_in_the_next_process(clock_error: int) -> None:
    old = told_engine(clock_error)
    Traffic(old).attempts(TOLD_AT, FIRST_SECONDS_NS)
    now = TOLD_AT + FIRST_SECONDS_NS
    new = DecisionEngine(SETTINGS, 8, now)
    started = listed_endpoint(STARTED, Health.READY, TOLD_AT - clock_error)
    new.handle(now, full_list(started, *map(listed_endpoint, WARM)))
    restore_json(new, now, capture_json(old, now), SETTINGS)
    state = new.load_balancer.registry.endpoints[STARTED]
    assert state.slow_start_at == TOLD_AT


def test_start_in_the_first_list_is_taken_as_reported() -> None:
    engine = DecisionEngine(SETTINGS, 7, BEGIN)
    entries = [listed_endpoint(1), listed_endpoint(STARTED, Health.READY, BEGIN - HOUR)]
    engine.handle(BEGIN, full_list(*entries, kind=ListKind.CACHED))
    engine.handle(BEGIN, full_list(*entries, listed_endpoint(2, Health.READY, BEGIN - HOUR // 2)))
    states = engine.load_balancer.registry.endpoints
    assert states[STARTED].slow_start_at == BEGIN - HOUR
    assert states[2].slow_start_at == BEGIN - HOUR // 2
