"""Quotas over many gateways with a shared counter."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.decisions.quota.counter.counter_total import IN_FLIGHT_UNIT
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import AddToCounter, CounterReplied, Outcome, Reject, Send, TimerFired
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import counter_calls
from tests.support.fleet import MANY, Fleet


def engine_with_counter(**changes: Any) -> DecisionEngine:
    """Return one of two engines with a counter and one endpoint; `changes` are fields of the plan."""
    g = DecisionEngine(
        settings(gateway_count=2, may_message=False, has_counter=True, plans=(plan(**changes),)), 7, 0
    )
    g.handle(0, full_list(listed_endpoint(1)))
    return g


def test_counter_enforces_the_quota_over_all_gateways() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.send_load(20.0, 100, start=5 * SECOND)
    assert 0.85 * 220 <= len(fleet.sent) <= 1.1 * 220


def test_bucket_of_a_busy_customer_stays_empty_when_the_counter_key_changes() -> None:
    """A key lives for a minute; an empty bucket must not start full under the next key."""
    fleet = Fleet(may_message=False, has_counter=True, gateway_count=20)
    fleet.send_load(8.0, 100, start=56 * SECOND)
    assert 0.85 * 100 <= len(fleet.sent) <= 1.1 * 100


def test_total_of_an_idle_customer_is_corrected_and_grants_at_most_a_burst() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.send_load(0.05, 20, start=5 * SECOND)
    fleet.sent.clear()
    fleet.send_load(1.0, 500, start=35 * SECOND)
    assert len(fleet.sent) <= 1.15 * 30


def test_unresponsive_counter_leaves_even_slices_and_gets_fewer_calls() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.counter_responds = False
    fleet.send_load(20.0, 100)
    assert 0 < len(fleet.sent) <= 1.5 * 220
    assert max(g.quota.counter.call_rate for g in fleet.gateways) < 1.0


@pytest.mark.parametrize(
    ("outcome", "is_reduced"), [(Outcome.TIMEOUT, True), (Outcome.OVERLOADED, True), (Outcome.RESET, False)]
)
def test_timeout_and_overload_reduce_the_call_rate_but_a_reset_does_not(
    outcome: Outcome, is_reduced: bool
) -> None:
    g = DecisionEngine(settings(gateway_count=MANY, may_message=False, has_counter=True), 7, 0)
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.handle(80 * MS, CounterReplied(79 * MS, outcome, call.key, 0.0))
    assert (g.quota.counter.call_rate < 1.0) is is_reduced


@pytest.mark.parametrize(("used", "expected_calls"), [(0, 1), (1, 0), (60, 0), (110, 1)])
def test_request_of_a_customer_with_light_reported_usage_needs_no_call(
    used: int, expected_calls: int
) -> None:
    g = engine_with_counter()
    actions = g.handle(MS, arrival(1, MS))
    (call,) = counter_calls(actions)
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    g.handle(3 * MS, replace(ended(1, 1), quota_usage=used))
    later = g.handle(SECOND, arrival(2, SECOND))
    assert len(counter_calls(later)) == expected_calls
    assert len([a for a in later if isinstance(a, Send)]) == 1 - expected_calls


def test_customer_above_its_even_slice_is_counted_despite_light_reported_usage() -> None:
    g = engine_with_counter(rate=2.0, burst=80.0)
    account = g.quota.account(0, 1, 0, 2, 0)
    assert account is not None
    for i in range(30):
        now = i * SECOND // 10
        account.usage.reported_at, account.counter_calls.unreported_units = now, 0.0
        calls = counter_calls(g.handle(now, arrival(i, now)))
        assert i > 0 or not calls
    assert calls


def test_burst_of_a_customer_with_light_usage_is_reported_in_one_call() -> None:
    g = engine_with_counter(rate=10.0, burst=40.0)
    account = g.quota.account(0, 1, 0, 2, 0)
    assert account is not None
    account.usage.reported_at = 0
    calls_by_request = [counter_calls(g.handle(MS, arrival(i, MS))) for i in range(6)]
    assert [len(each) for each in calls_by_request] == [0] * 5 + [1]
    assert calls_by_request[5][0].amount == 6.0


def test_request_is_rejected_without_a_call_if_the_bucket_cannot_have_refilled() -> None:
    g = engine_with_counter(rate=1.0, burst=4.0)
    (call,) = counter_calls(g.handle(MS, arrival(1, MS)))
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount + 5.0))
    early = g.handle(SECOND, arrival(2, SECOND))
    assert [type(a) for a in early] == [Reject]
    assert counter_calls(g.handle(4 * SECOND, arrival(3, 4 * SECOND)))


def test_total_that_is_far_too_high_rejects_only_briefly() -> None:
    g = engine_with_counter(rate=1.0, burst=4.0)
    (call,) = counter_calls(g.handle(MS, arrival(1, MS)))
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount + 50.0))
    assert counter_calls(g.handle(2 * SECOND, arrival(2, 2 * SECOND)))


def test_correction_added_twice_after_a_lost_reply_is_undone_with_the_next_reply() -> None:
    g = engine_with_counter(rate=10.0, burst=20.0)
    start = 30 * SECOND  # into the key's lifetime, so that the total is far below the refill
    (call,) = counter_calls(g.handle(start, arrival(1, start)))
    (correction,) = counter_calls(g.handle(start + MS, CounterReplied(MS, Outcome.OK, call.key, call.amount)))
    assert correction.amount > 250.0
    g.handle(start + 80 * MS, CounterReplied(79 * MS, Outcome.RESET, correction.key, 0.0))
    (again,) = counter_calls(g.handle(start + SECOND, arrival(2, start + SECOND)))
    total = 2 * correction.amount + call.amount + again.amount
    undo = counter_calls(g.handle(start + SECOND + MS, CounterReplied(MS, Outcome.OK, again.key, total)))
    assert -correction.amount in [each.amount for each in undo]


def test_plan_whose_excess_pays_makes_no_calls_without_congestion() -> None:
    g = engine_with_counter(excess_weight=0.5, excess_cost=0.0, max_in_flight=2)
    actions = [g.handle(MS, arrival(i, MS)) for i in range(5)]
    assert all(isinstance(a, Send) for each in actions for a in each)


def test_counter_limits_attempts_in_flight_over_all_gateways() -> None:
    fleet = Fleet(may_message=False, has_counter=True, plans=(plan(max_in_flight=3),))
    for i in range(10):
        fleet.deliver(MS * i, i, arrival(i, MS * i, gateway_spread=MANY))
    assert len(fleet.sent) == 3
    for _, send in list(fleet.sent):
        fleet.deliver(SECOND, send.request_id, ended(send.request_id, send.endpoint))
    assert all(abs(total) < IN_FLIGHT_UNIT / 2 for total in fleet.totals.values())


def test_slot_of_a_disconnected_client_is_released() -> None:
    g = DecisionEngine(
        settings(gateway_count=MANY, may_message=False, has_counter=True, plans=(plan(max_in_flight=3),)),
        7,
        0,
    )
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.request_table.open.pop(1)
    later = g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    assert [a.amount for a in later if isinstance(a, AddToCounter) and a.amount == -IN_FLIGHT_UNIT] == [
        -IN_FLIGHT_UNIT
    ]


def test_failed_release_is_sent_again() -> None:
    g = DecisionEngine(
        settings(gateway_count=MANY, may_message=False, has_counter=True, plans=(plan(max_in_flight=3),)),
        7,
        0,
    )
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    (release,) = [a for a in g.handle(3 * MS, ended(1, 1)) if isinstance(a, AddToCounter)]
    g.handle(4 * MS, CounterReplied(MS, Outcome.OVERLOADED, release.key, 0.0))
    actions = [a for i in range(20) for a in g.handle(i * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))]
    assert [a.amount for a in actions if isinstance(a, AddToCounter)] == [-IN_FLIGHT_UNIT]


def test_correction_that_was_added_once_leaves_no_pending_call() -> None:
    """A pending call that was never made would be matched with the reply to a later call."""
    g = engine_with_counter(rate=10.0, burst=20.0)
    start = 30 * SECOND
    (call,) = counter_calls(g.handle(start, arrival(1, start)))
    (correction,) = counter_calls(g.handle(start + MS, CounterReplied(MS, Outcome.OK, call.key, call.amount)))
    g.handle(start + 80 * MS, CounterReplied(79 * MS, Outcome.RESET, correction.key, 0.0))
    (again,) = counter_calls(g.handle(start + SECOND, arrival(2, start + SECOND)))
    total = correction.amount + call.amount + again.amount  # added once, so nothing is undone
    calls = counter_calls(g.handle(start + SECOND + MS, CounterReplied(MS, Outcome.OK, again.key, total)))
    assert -correction.amount not in [each.amount for each in calls]
    for each in calls:
        total += each.amount
        g.handle(start + SECOND + 2 * MS, CounterReplied(MS, Outcome.OK, each.key, total))
    assert g.quota.counter.pending_calls == {}
