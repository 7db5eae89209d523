"""Endpoint selection by a single gateway."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import Health, ListKind, Outcome, TimerFired
from tests.support.builders import (
    MS,
    SAFE,
    SECOND,
    UNSAFE,
    arrival,
    ended,
    full_list,
    listed_endpoint,
    plan,
    settings,
)
from tests.support.engines import engine_alone, sends


@pytest.mark.parametrize(("resetting", "ejected"), [({1}, {1}), ({1, 2, 3, 4}, set())])
def test_resets_eject_an_endpoint_only_if_others_are_not_reset(
    resetting: set[int], ejected: set[int]
) -> None:
    load_balancer = engine_alone().load_balancer
    for i in range(80):
        for endpoint_id in range(1, 5):
            # A single endpoint resets every attempt; if all do, two consecutive attempts of every six.
            is_reset = endpoint_id in resetting and (i % 6 in (3, 4) or ejected)
            outcome = Outcome.RESET if is_reset else Outcome.OK
            load_balancer.attempt_ended(i * 100 * MS, ended(i, endpoint_id, outcome), (SAFE, 0), 1.0)
    assert {
        i for i, endpoint in load_balancer.registry.endpoints.items() if endpoint.ejected_until > 0
    } == ejected


def test_deadlines_before_a_response_is_due_eject_no_endpoint() -> None:
    # Regression: clients with short deadlines ejected slow endpoints that answered all other clients.
    load_balancer = engine_alone().load_balancer
    for i in range(10):
        for endpoint_id in range(1, 5):
            timed_out = ended(i, endpoint_id, Outcome.TIMEOUT, elapsed=300 * MS)
            load_balancer.attempt_ended(i * 100 * MS, timed_out, (SAFE, 0), 0.5)
    assert not any(endpoint.ejected_until for endpoint in load_balancer.registry.endpoints.values())
    assert not any(endpoint.in_flight for endpoint in load_balancer.registry.endpoints.values())


def test_draining_and_removed_endpoints_get_no_attempts() -> None:
    engine = engine_alone()
    engine.handle(MS, full_list(listed_endpoint(1, Health.DRAINING), kind=ListKind.DELTA))
    engine.handle(MS, full_list(listed_endpoint(1, Health.DRAINING), listed_endpoint(3), listed_endpoint(4)))
    used = {s.endpoint for i in range(10) for s in sends(engine.handle(2 * MS, arrival(i, 2 * MS)))}
    assert used
    assert used <= {3, 4}


def test_endpoint_in_slow_start_gets_a_limited_rate() -> None:
    engine = DecisionEngine(settings(plans=(plan(rate=1000.0, burst=1000.0),)), 7, 0)
    engine.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 4)), listed_endpoint(9, started_at=1)))
    to_slow_start = total = 0
    for i in range(200):
        now = i * 10 * MS
        for send in sends(engine.handle(now, arrival(i, now))):
            total += 1
            to_slow_start += send.endpoint == 9
            engine.handle(now + 5 * MS, ended(i, send.endpoint))
    assert total > 150
    assert to_slow_start <= 0.3 * total / 4


def test_unlisted_endpoint_is_removed_once_it_has_no_attempt_in_flight() -> None:
    engine = engine_alone()
    (send,) = sends(engine.handle(MS, arrival(1, MS)))
    used, others = send.endpoint, {1, 2, 3, 4} - {send.endpoint}
    engine.handle(MS, full_list(listed_endpoint(used, Health.REMOVED), kind=ListKind.DELTA))
    assert set(engine.load_balancer.registry.endpoints) == {1, 2, 3, 4}
    engine.handle(MS, full_list(listed_endpoint(5), listed_endpoint(min(others), Health.DRAINING)))
    assert set(engine.load_balancer.registry.endpoints) == {used, 5, min(others)}
    engine.handle(2 * MS, ended(1, used))
    engine.handle(TICK_INTERVAL_NS, TimerFired(TICK_TIMER))
    assert set(engine.load_balancer.registry.endpoints) == {5, min(others)}


def test_endpoint_that_was_slow_is_used_again() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    used: set[int] = set()
    for i in range(400):
        now = i * 50 * MS
        for send in sends(engine.handle(now, arrival(i, now))):
            used |= {send.endpoint} if i >= 200 else set()
            slow = send.endpoint == 1 and i < 100
            engine.handle(now + 10 * MS, ended(i, send.endpoint, elapsed=(900 if slow else 90) * MS))
    assert used == {1, 2, 3, 4}


def test_endpoint_that_is_overloaded_for_one_class_still_gets_the_other() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    used: dict[int, set[int]] = {SAFE: set(), UNSAFE: set()}
    for i in range(200):
        now, class_index = i * 50 * MS, (SAFE, UNSAFE)[i % 2]
        for send in sends(engine.handle(now, arrival(i, now, class_index))):
            is_overloaded = send.endpoint == 1 and class_index == SAFE
            used[class_index] |= {send.endpoint} if i >= 50 else set()
            for retry in sends(
                engine.handle(
                    now, ended(i, send.endpoint, Outcome.OVERLOADED if is_overloaded else Outcome.OK)
                )
            ):
                engine.handle(now, ended(i, retry.endpoint, attempt=1))
    assert used[UNSAFE] == {1, 2, 3, 4}
    assert used[SAFE] <= {2, 3, 4}


def test_endpoint_that_times_out_on_one_class_still_gets_the_other() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    sent_to_first = {SAFE: 0, UNSAFE: 0}
    for i in range(200):
        now, class_index = i * 100 * MS, (SAFE, UNSAFE)[i % 2]
        for send in sends(engine.handle(now, arrival(i, now, class_index))):
            times_out = send.endpoint == 1 and class_index == UNSAFE
            sent_to_first[class_index] += send.endpoint == 1
            engine.handle(now, ended(i, send.endpoint, Outcome.TIMEOUT if times_out else Outcome.OK))
    assert sent_to_first[UNSAFE] <= 5 < sent_to_first[SAFE]


@pytest.mark.parametrize(("overload_multiple", "rate_multiple"), [(2.0, 1.4), (1.2, 1.0)])
def test_token_rate_in_slow_start_exceeds_the_completion_rate_but_stays_below_overload(
    overload_multiple: float, rate_multiple: float
) -> None:
    engine = DecisionEngine(settings(overload_multiple=overload_multiple), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1, started_at=1), listed_endpoint(2)))
    engine.load_balancer.slow_start.warm_completions.add(SECOND, 3.0, 3.0)
    starting = engine.load_balancer.registry.endpoints[1]
    bucket = starting.slow_start_bucket
    bucket.tokens, bucket.refilled_at = 0.0, 0
    engine.load_balancer.can_accept(SECOND, starting)
    assert bucket.tokens == pytest.approx(
        rate_multiple * 3.0 * engine.load_balancer.slow_start.capacity_fraction(SECOND, starting)
    )
