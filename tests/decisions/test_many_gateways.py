"""Load balancing across many gateways."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import Action, CancelAttempt, CloseIdleConnections, Outcome, Send, TimerFired
from tests.support.builders import (
    MS,
    SECOND,
    UNSAFE,
    arrival,
    ended,
    full_list,
    listed_endpoint,
    plan,
    settings,
)
from tests.support.fleet import MANY, Fleet


def test_slow_start_limits_the_total_rate_of_all_gateways() -> None:
    fleet = Fleet(
        plans=(plan(rate=10000.0, burst=10000.0),), has_counter=False, may_message=False, gateway_count=MANY
    )
    endpoints = [listed_endpoint(i) for i in range(1, 9)] + [listed_endpoint(99, started_at=1)]
    for engine in fleet.gateways:
        engine.handle(MS, full_list(*endpoints))
    for i in range(4000):
        now = MS + i * 2 * MS
        position = i % MANY
        before = len(fleet.sent)
        fleet.deliver(
            now, position, arrival(i, now, customer_id=position, gateway_spread=1, first_gateway=position)
        )
        for _, send in fleet.sent[before:]:
            fleet.deliver(now + MS, position, ended(send.request_id, send.endpoint))
    relative_share = sum(send.endpoint == 99 for _, send in fleet.sent) / (len(fleet.sent) / 9)
    # The minimum capacity fraction of the endpoint rises from 0.2 to 0.5 meanwhile.
    assert 0.1 <= relative_share <= 0.9


def gateways_by_endpoint(ejected: set[int], gateways: int = 40, endpoints: int = 60) -> dict[int, int]:
    """Return how many gateways have each endpoint in their subset.

    `ejected` holds the indexes of the endpoints that are ejected at all gateways.
    """
    numbers = random.Random(5).sample(range(1 << 32), endpoints)
    gateways_of = dict.fromkeys(numbers, 0)
    for position in range(gateways):
        engine = DecisionEngine(
            settings(position=position, gateway_count=gateways, may_message=False), position, 0
        )
        engine.handle(0, full_list(*(listed_endpoint(number) for number in numbers)))
        for index in ejected:
            engine.load_balancer.registry.endpoints[numbers[index]].ejected_until = SECOND
        for state in engine.load_balancer.subset(0):
            gateways_of[state.endpoint.id] += 1
    return gateways_of


def test_each_endpoint_is_in_about_ten_subsets_even_when_half_are_ejected() -> None:
    assert set(gateways_by_endpoint(set()).values()) <= {9, 10, 11}
    assert min(sorted(gateways_by_endpoint(set(range(30))).values())[30:]) >= 10
    # In a small fleet, every gateway uses every endpoint.
    assert set(gateways_by_endpoint(set(), 3, 9).values()) == {3}


def test_endpoint_in_slow_start_accumulates_no_tokens_outside_the_subset() -> None:
    engine = DecisionEngine(settings(gateway_count=40, may_message=False), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1, started_at=1), listed_endpoint(2)))
    slow_start = engine.load_balancer.slow_start
    for i in range(400):
        slow_start.warm_completions.add(i * 5 * MS, 1.0)
    slow_starting = engine.load_balancer.registry.endpoints[1]
    bucket = slow_starting.slow_start_bucket
    bucket.tokens, bucket.refilled_at = 0.0, 0
    slow_start.warm_completions.add(10 * SECOND, 200.0, 200.0)
    engine.load_balancer.can_accept(10 * SECOND, slow_starting)
    rate = slow_start.warm_completions.rate(10 * SECOND)
    tokens_per_s = slow_start.capacity_fraction(10 * SECOND, slow_starting) * rate
    assert bucket.tokens <= min(2.0, tokens_per_s)


def engine_with_two_zones(silent: int, cls: int = 0) -> tuple[DecisionEngine, dict[int, int], list[Action]]:
    """Send requests to two zones, of which zone 1 leaves `silent` attempts unanswered.

    Return the engine, the endpoint of each request, and the actions of the next tick.
    """
    engine = DecisionEngine(settings(gateway_count=2, plans=(plan(rate=1e3, burst=1e3),)), 7, 0)
    engine.handle(0, full_list(*(replace(listed_endpoint(i), zone=i % 2) for i in range(1, 13))))
    for latency in engine.model.class_latency:
        latency.add(0, 100 * MS, 20.0)
    sent = {}
    for i in range(12):
        (send,) = [a for a in engine.handle(MS, arrival(i, MS, cls, customer_id=i)) if isinstance(a, Send)]
        sent[i] = send.endpoint
    for i, endpoint in sent.items():
        if endpoint % 2 == 0 or [e for e in sent.values() if e % 2].index(endpoint) >= silent:
            engine.handle(101 * MS, ended(i, endpoint))
    return engine, sent, engine.handle(600 * MS, TimerFired(TICK_TIMER))


@pytest.mark.parametrize(("cls", "retried"), [(0, True), (UNSAFE, False)])
def test_unresponsive_zone_is_ejected_and_its_idle_connections_are_closed(
    cls: int,
    retried: bool,
) -> None:
    engine, sent, actions = engine_with_two_zones(6, cls)
    unresponsive = {endpoint for endpoint in sent.values() if endpoint % 2}
    assert {a.endpoint for a in actions if isinstance(a, CloseIdleConnections)} == unresponsive
    cancelled = {a.request_id for a in actions if isinstance(a, CancelAttempt)}
    assert cancelled == ({i for i, endpoint in sent.items() if endpoint % 2} if retried else set())
    for i in cancelled:
        retries = engine.handle(600 * MS, ended(i, sent[i], Outcome.CANCELLED))
        assert [a.endpoint % 2 for a in retries if isinstance(a, Send)] == [0]
    later = [a for i in range(50, 60) for a in engine.handle(700 * MS, arrival(i, 700 * MS, customer_id=i))]
    assert {a.endpoint % 2 for a in later if isinstance(a, Send)} == {0}
    assert not [
        a for a in engine.handle(701 * MS, TimerFired(TICK_TIMER)) if isinstance(a, CloseIdleConnections)
    ]


def test_zone_with_a_response_or_few_unanswered_attempts_is_not_ejected() -> None:
    for silent in (0, 2, 5):
        assert not [
            a for a in engine_with_two_zones(silent)[2] if isinstance(a, CloseIdleConnections | CancelAttempt)
        ]
