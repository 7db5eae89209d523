"""Attempts, retries and hedges of a single gateway."""

from __future__ import annotations

from dataclasses import replace

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import CancelAttempt, Fail, Outcome, Send, TimerFired
from tests.support.builders import (
    CLASSES,
    KEYED,
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
from tests.support.engines import answer_requests, engine_alone, rejections, sends


def test_request_that_is_not_idempotent_fails_once_it_may_have_executed() -> None:
    engine = engine_alone()
    (send,) = sends(engine.handle(MS, arrival(1, MS, UNSAFE)))
    assert engine.handle(2 * MS, ended(1, send.endpoint, Outcome.RESET)) == [Fail(1)]


def test_request_that_is_not_idempotent_is_retried_when_it_was_not_executed() -> None:
    engine = engine_alone()
    (send,) = sends(engine.handle(MS, arrival(1, MS, UNSAFE)))
    (retry,) = sends(engine.handle(2 * MS, ended(1, send.endpoint, Outcome.OVERLOADED)))
    assert retry.endpoint != send.endpoint


def test_retry_with_an_idempotency_key_stays_within_its_cell_and_window() -> None:
    engine = DecisionEngine(settings(), 7, 0)
    cells = {1: 1, 2: 1, 3: 2, 4: 2}
    engine.handle(0, full_list(*(listed_endpoint(i, cell=c) for i, c in cells.items())))
    for request in range(8):
        (send,) = sends(engine.handle(MS, arrival(request, MS, KEYED)))
        (retry,) = sends(engine.handle(2 * MS, ended(request, send.endpoint, Outcome.ERROR)))
        assert cells[retry.endpoint] == cells[send.endpoint]
        assert (send.send_deadline, retry.send_deadline) == (0, MS + 2 * SECOND)
        late = ended(request, retry.endpoint, Outcome.ERROR, attempt=1)
        assert engine.handle(3 * SECOND, late) == [Fail(request)]
        engine = DecisionEngine(settings(), request, 0)
        engine.handle(0, full_list(*(listed_endpoint(i, cell=c) for i, c in cells.items())))


@pytest.mark.parametrize("cls", [SAFE, KEYED])
def test_hedged_request_ends_with_its_first_response(cls: int) -> None:
    engine = engine_alone()
    answer_requests(engine, cls)
    (first,) = sends(engine.handle(200 * MS, arrival(1, 200 * MS, cls)))
    # Not hedged yet: an endpoint that has answered no newer attempt may just be slow.
    assert not sends(engine.handle(800 * MS, TimerFired(TICK_TIMER)))
    engine.load_balancer.registry.endpoints[first.endpoint].latest_successful_send = 350 * MS
    (second,) = sends(engine.handle(800 * MS, TimerFired(TICK_TIMER)))
    assert second.request_id == 1
    assert second.endpoint != first.endpoint
    assert not sends(engine.handle(900 * MS, TimerFired(TICK_TIMER)))
    done = engine.handle(SECOND, ended(1, second.endpoint, attempt=1, finished=True))
    assert done == [CancelAttempt(1, 0)]
    assert engine.handle(SECOND, ended(1, first.endpoint, Outcome.CANCELLED, finished=True)) == []
    assert not engine.request_table.open
    assert not engine.request_table.attempts
    assert engine.request_table.in_flight == 0


def test_hedges_stay_within_the_budget_and_exclude_requests_that_are_not_idempotent() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    for cls in (SAFE, UNSAFE):
        answer_requests(engine, cls)
    engine.handle(200 * MS, arrival(1000, 200 * MS, UNSAFE))
    engine.handle(200 * MS, arrival(2000, 200 * MS, SAFE))
    engine.handle(200 * MS, arrival(2001, 200 * MS, SAFE))
    engine.dispatcher.retry_budget.tokens = 1.0
    for endpoint in engine.load_balancer.registry.endpoints.values():
        endpoint.latest_successful_send = 350 * MS
    engine.load_balancer.response_statistics.latest_successful_send = 750 * MS
    assert [send.request_id for send in sends(engine.handle(850 * MS, TimerFired(TICK_TIMER)))] == [2000]
    assert engine.dispatcher.retry_budget.tokens == 0.0


@pytest.mark.parametrize(("latency_objective", "retry_after_ms"), [(300, 50), (1200, 200), (6000, 200)])
def test_retry_after_leaves_time_for_the_latency_objective(
    latency_objective: int, retry_after_ms: int
) -> None:
    engine = engine_alone(
        classes=tuple(replace(each, latency_objective=latency_objective * MS) for each in CLASSES)
    )
    (rejection,) = rejections(engine.handle(5 * SECOND, replace(arrival(1, 0), deadline=SECOND)))
    assert rejection.retry_after == retry_after_ms * MS


@pytest.mark.parametrize(
    ("elapsed", "remaining_tokens"), [(MS, 0.9), (50 * MS, 0.5), (100 * MS, 0.0), (SECOND, 0.0)]
)
def test_retry_cost_grows_with_the_latency_of_the_failed_attempt(
    elapsed: int, remaining_tokens: float
) -> None:
    engine = engine_alone()
    answer_requests(engine, SAFE)
    (send,) = sends(engine.handle(SECOND, arrival(1, SECOND)))
    engine.dispatcher.retry_budget.tokens = 1.0
    reset = ended(1, send.endpoint, Outcome.RESET, elapsed=elapsed)
    assert len(sends(engine.handle(SECOND + elapsed, reset))) == 1
    assert engine.dispatcher.retry_budget.tokens == pytest.approx(remaining_tokens, abs=0.02)


def test_retries_stay_within_the_budget() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    retry_count = 0
    for i in range(100):
        now = i * 300 * MS
        for send in sends(engine.handle(now, arrival(i, now))):
            retry_count += len(sends(engine.handle(now + MS, ended(i, send.endpoint, Outcome.ERROR))))
    assert 0 < retry_count <= 20


def test_lost_responses_do_not_count_as_congestion() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    for i in range(300):
        now = i * 20 * MS
        sent = sends(engine.handle(now, arrival(i, now)))
        assert len(sent) == 1
        if i % 10:
            engine.handle(now + 10 * MS, ended(i, sent[0].endpoint))
        if i % 5 == 0:
            engine.handle(now + 10 * MS, TimerFired(TICK_TIMER))
    assert engine.request_table.presumed_lost > 10
    assert engine.model.concurrency_limit is None


def test_attempts_have_a_timeout_only_after_lost_responses() -> None:
    engine = DecisionEngine(settings(plans=(plan(rate=1000.0, burst=1000.0),)), 7, 0)
    engine.handle(0, full_list(*(listed_endpoint(i) for i in range(1, 5))))
    (first,) = [a for a in engine.handle(MS, arrival(1, MS)) if isinstance(a, Send)]
    assert first.timeout == 0
    actions = engine.handle(SECOND, ended(1, first.endpoint, Outcome.TIMEOUT))
    (second,) = [a for a in actions if isinstance(a, Send)]
    assert 0 < second.timeout < SECOND
    assert second.endpoint != first.endpoint
    (unsafe,) = [a for a in engine.handle(SECOND, arrival(2, SECOND, UNSAFE)) if isinstance(a, Send)]
    assert unsafe.timeout == 0
