"""Admission control at one gateway."""

from __future__ import annotations

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import ListKind, Reject, TimerFired
from tests.support.builders import MS, SECOND, UNSAFE, arrival, ended, full_list, plan, settings
from tests.support.engines import engine_alone, engine_among_many, rejections, sends


def test_request_within_quota_is_sent() -> None:
    engine = engine_alone()
    assert len(sends(engine.handle(MS, arrival(1, MS)))) == 1


def test_requests_beyond_quota_are_rejected_at_once() -> None:
    engine = engine_alone()
    rejected = 0
    for i in range(60):
        rejected += len(rejections(engine.handle(MS, arrival(i, MS))))
        engine.handle(MS, ended(i, 1))
    assert 60 - 20 - 2 <= rejected < 60


def test_request_is_rejected_without_endpoints() -> None:
    engine = DecisionEngine(settings(), 7, 0)
    engine.handle(0, full_list(kind=ListKind.CACHED))
    assert rejections(engine.handle(MS, arrival(1, MS)))


def test_request_past_its_deadline_is_rejected() -> None:
    engine = engine_alone()
    assert rejections(engine.handle(MS, arrival(1, MS, deadline=0)))


def test_in_flight_caps_fall_when_latency_rises() -> None:
    engine = engine_alone(plans=(plan(rate=1000.0, burst=1000.0),))
    caps = []
    request = 0
    for latency in (50 * MS, 900 * MS):
        for step in range(100):
            now = (request + 1) * 20 * MS
            engine.handle(now, arrival(request, now, customer_id=request % 5))
            if request >= 10:
                engine.handle(now, ended(request - 10, 1, elapsed=latency))
            if step % 5 == 0:
                engine.handle(now, TimerFired(TICK_TIMER))
            request += 1
        caps.append(sum(c.in_flight_cap for c in engine.commitments.by_customer.values()))
    assert caps[1] < caps[0]


def test_in_flight_limit_is_sliced_without_reports_from_peers() -> None:
    engine = engine_alone(plans=(plan(max_in_flight=4),), may_message=False)
    sent = sum(len(sends(engine.handle(MS, arrival(i, MS)))) for i in range(10))
    assert sent == 2


def test_stale_report_of_attempts_elsewhere_does_not_cap_a_customer() -> None:
    engine = engine_alone(plans=(plan(max_in_flight=2),))
    engine.handle(0, arrival(1, 0))
    engine.handle(MS, ended(1, 1))
    account = engine.quota.accounts[1]
    account.reports.in_flight_elsewhere, account.reports.in_flight_elsewhere_at = 2, MS
    assert rejections(engine.handle(2 * MS, arrival(2, 2 * MS)))
    assert sends(engine.handle(SECOND, arrival(3, SECOND)))


def test_accounts_of_inactive_customers_are_dropped() -> None:
    engine = engine_alone()
    engine.handle(0, arrival(1, 0))
    engine.handle(600 * SECOND, TimerFired(TICK_TIMER))
    assert 1 in engine.quota.accounts
    assert 1 in engine.commitments.by_customer
    engine.handle(600 * SECOND, ended(1, 1))
    engine.handle(611 * SECOND, TimerFired(TICK_TIMER))
    assert 1 not in engine.quota.accounts
    assert 1 not in engine.commitments.by_customer


def test_class_without_responses_is_shed_before_a_higher_priority() -> None:
    """A class without responses must not rank as if its latency were zero.

    After a restart, stock checks that had no response yet outranked payments, which were then shed first.
    """
    engine = engine_among_many()
    engine.quota.counter.call_rate = 0.0
    for i in range(30):
        engine.model.class_latency[UNSAFE].add(i * 50 * MS, 150 * MS)
    engine.model.fit(2 * SECOND, 1, [])
    for customer in range(20):
        cls = UNSAFE if customer % 2 else 0
        engine.handle(2 * SECOND, arrival(customer, 2 * SECOND, cls, customer_id=customer, gateway_spread=25))
    engine.model.concurrency_limit, engine.request_table.in_flight = 100, 80
    arrivals = {
        cls: arrival(90 + cls, 2 * SECOND, cls, customer_id=90 + cls, gateway_spread=25)
        for cls in (0, UNSAFE)
    }
    rejected = {
        cls: isinstance(engine.handle(2 * SECOND, event)[0], Reject) for cls, event in arrivals.items()
    }
    assert rejected == {0: True, UNSAFE: False}
