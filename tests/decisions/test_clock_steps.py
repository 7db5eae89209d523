"""Slow start of endpoints whose reported start comes from another clock than the gateway's."""

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
START_TIME = 10 * HOUR
REPORTED_AT = START_TIME + 20 * SECOND
WARM_ENDPOINTS = range(1, 6)
STARTED_ENDPOINT = 9
REQUEST_INTERVAL_NS = 10 * MS
MAX_ATTEMPT_RATIO = 1.5  # attempts with a clock error / attempts without one, or the inverse
OBSERVATION_NS = 3 * SECOND


class Traffic:
    """Sends requests to an engine at a constant rate; counts the attempts at the started endpoint."""

    def __init__(self, engine: DecisionEngine) -> None:
        self.engine = engine
        self.number = 0

    def count_attempts(self, begin: int, duration: int) -> int:
        count = 0
        for now in range(begin, begin + duration, REQUEST_INTERVAL_NS):
            if (now - begin) % TICK_INTERVAL_NS == 0:
                self.engine.handle(now, TimerFired(TICK_TIMER))
            self.number += 1
            for send in sends(self.engine.handle(now, arrival(self.number, now))):
                count += send.endpoint == STARTED_ENDPOINT
                self.engine.handle(now + 5 * MS, ended(self.number, send.endpoint, elapsed=5 * MS))
        return count


def engine_after_reported_start(clock_error: int) -> DecisionEngine:
    """Return an engine with one reported start; its clock is ahead of the reported time by `clock_error`."""
    engine = DecisionEngine(SETTINGS, 7, START_TIME)
    engine.handle(START_TIME, full_list(*map(listed_endpoint, WARM_ENDPOINTS)))
    Traffic(engine).count_attempts(START_TIME, REPORTED_AT - START_TIME)
    entry = listed_endpoint(STARTED_ENDPOINT, Health.READY, REPORTED_AT - clock_error)
    engine.handle(REPORTED_AT, full_list(entry, kind=ListKind.DELTA))
    return engine


def count_first_attempts(clock_error: int) -> int:
    return Traffic(engine_after_reported_start(clock_error)).count_attempts(REPORTED_AT, OBSERVATION_NS)


@pytest.mark.parametrize("clock_error", [HOUR, -HOUR, -5 * SECOND])
def test_reported_start_begins_a_slow_start_despite_a_clock_error(clock_error: int) -> None:
    # Without correction, a clock an hour ahead gave the endpoint as many attempts as a warm one.
    expected = count_first_attempts(0)
    assert expected / MAX_ATTEMPT_RATIO <= count_first_attempts(clock_error) <= expected * MAX_ATTEMPT_RATIO


@pytest.mark.parametrize("clock_error", [HOUR, 0, -HOUR])
def test_slow_start_ends_after_its_window(clock_error: int) -> None:
    # Without correction, a clock an hour behind prolonged the slow start by an hour.
    traffic = Traffic(engine_after_reported_start(clock_error))
    traffic.count_attempts(REPORTED_AT, SLOW_START_NS)
    attempts = traffic.count_attempts(REPORTED_AT + SLOW_START_NS, OBSERVATION_NS)
    even_share = OBSERVATION_NS // REQUEST_INTERVAL_NS / (len(WARM_ENDPOINTS) + 1)
    assert attempts >= even_share / MAX_ATTEMPT_RATIO
    assert not traffic.engine.load_balancer.slow_start.warming_up


@pytest.mark.parametrize("clock_error", [HOUR, 0, -HOUR])
def test_slow_start_continues_in_the_next_process(clock_error: int) -> None:
    old = engine_after_reported_start(clock_error)
    Traffic(old).count_attempts(REPORTED_AT, OBSERVATION_NS)
    now = REPORTED_AT + OBSERVATION_NS
    new = DecisionEngine(SETTINGS, 8, now)
    entry = listed_endpoint(STARTED_ENDPOINT, Health.READY, REPORTED_AT - clock_error)
    new.handle(now, full_list(entry, *map(listed_endpoint, WARM_ENDPOINTS)))
    restore_json(new, now, capture_json(old, now), SETTINGS)
    state = new.load_balancer.registry.endpoints[STARTED_ENDPOINT]
    assert state.slow_start_at == REPORTED_AT


def test_reported_start_in_the_first_list_is_not_corrected() -> None:
    engine = DecisionEngine(SETTINGS, 7, START_TIME)
    entries = [listed_endpoint(1), listed_endpoint(STARTED_ENDPOINT, Health.READY, START_TIME - HOUR)]
    engine.handle(START_TIME, full_list(*entries, kind=ListKind.CACHED))
    engine.handle(START_TIME, full_list(*entries, listed_endpoint(2, Health.READY, START_TIME - HOUR // 2)))
    states = engine.load_balancer.registry.endpoints
    assert states[STARTED_ENDPOINT].slow_start_at == START_TIME - HOUR
    assert states[2].slow_start_at == START_TIME - HOUR // 2
