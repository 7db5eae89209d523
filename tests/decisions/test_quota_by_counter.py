"""Quotas that a shared counter holds, over many gateways."""

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


def counting(**changes: Any) -> DecisionEngine:
    g = DecisionEngine(
        settings(gateway_count=2, may_message=False, has_counter=True, plans=(plan(**changes),)), 7, 0
    )
    g.handle(0, full_list(listed_endpoint(1)))
    return g


def test_counter_holds_the_quota_over_all_gateways() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.send_load(20.0, 100, start=5 * SECOND)
    assert 0.85 * 220 <= len(fleet.sent) <= 1.1 * 220


def test_bucket_of_a_busy_customer_is_not_full_again_where_the_counters_keys_change() -> None:
    """Each name lives for a minute, and a store that is empty stays so over the change."""
    fleet = Fleet(may_message=False, has_counter=True, gateway_count=20)
    fleet.send_load(8.0, 100, start=56 * SECOND)
    assert 0.85 * 100 <= len(fleet.sent) <= 1.1 * 100


def test_counter_that_was_idle_is_corrected_and_grants_no_more_than_a_burst() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.send_load(0.05, 20, start=5 * SECOND)
    fleet.sent.clear()
    fleet.send_load(1.0, 500, start=35 * SECOND)
    assert len(fleet.sent) <= 1.15 * 30


def test_unresponsive_counter_leaves_even_slices_and_is_called_less() -> None:
    fleet = Fleet(may_message=False, has_counter=True)
    fleet.counter_responds = False
    fleet.send_load(20.0, 100)
    assert 0 < len(fleet.sent) <= 1.5 * 220
    assert max(g.quota.counter.call_rate for g in fleet.gateways) < 1.0


@pytest.mark.parametrize(
    ("outcome", "slower"), [(Outcome.TIMEOUT, True), (Outcome.OVERLOADED, True), (Outcome.RESET, False)]
)
def test_reply_lost_on_one_connection_is_no_sign_of_an_overloaded_counter(
    outcome: Outcome, slower: bool
) -> None:
    g = DecisionEngine(settings(gateway_count=MANY, may_message=False, has_counter=True), 7, 0)
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.handle(80 * MS, CounterReplied(79 * MS, outcome, call.key, 0.0))
    assert (g.quota.counter.call_rate < 1.0) is slower


@pytest.mark.parametrize(("used", "expected_calls"), [(0, 1), (1, 0), (60, 0), (110, 1)])
def test_little_use_of_a_customer_with_light_reported_usage_needs_no_call(
    used: int, expected_calls: int
) -> None:
    g = counting()
    actions = g.handle(MS, arrival(1, MS))
    (call,) = counter_calls(actions)
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    g.handle(3 * MS, replace(ended(1, 1), quota_usage=used))
    later = g.handle(SECOND, arrival(2, SECOND))
    assert len(counter_calls(later)) == expected_calls
    assert len([a for a in later if isinstance(a, Send)]) == 1 - expected_calls


def test_customer_seen_beyond_its_even_slice_is_counted_though_an_old_report_finds_light_usage() -> None:
    g = counting(rate=2.0, burst=80.0)
    account = g.quota.account(0, 1, 0, 2, 0)
    for i in range(30):
        now = i * SECOND // 10
        account.usage.reported_at, account.counter_calls.unreported_units = now, 0.0
        last = counter_calls(g.handle(now, arrival(i, now)))
        assert i > 0 or not last
    assert last


def test_what_a_light_customer_uses_in_a_burst_is_counted_and_reported() -> None:
    g = counting(rate=10.0, burst=40.0)
    g.quota.account(0, 1, 0, 2, 0).usage.reported_at = 0
    calls_by_request = [counter_calls(g.handle(MS, arrival(i, MS))) for i in range(6)]
    assert [len(each) for each in calls_by_request] == [0] * 5 + [1]
    assert calls_by_request[5][0].amount == 6.0


def test_customer_whose_bucket_cannot_hold_the_request_is_rejected_without_a_call() -> None:
    g = counting(rate=1.0, burst=4.0)
    (call,) = counter_calls(g.handle(MS, arrival(1, MS)))
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount + 5.0))
    late = g.handle(SECOND, arrival(2, SECOND))
    assert [type(a) for a in late] == [Reject]
    assert counter_calls(g.handle(4 * SECOND, arrival(3, 4 * SECOND)))


def test_total_that_is_wrong_for_a_moment_rejects_no_customer_for_long() -> None:
    g = counting(rate=1.0, burst=4.0)
    (call,) = counter_calls(g.handle(MS, arrival(1, MS)))
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount + 50.0))
    assert counter_calls(g.handle(2 * SECOND, arrival(2, 2 * SECOND)))


def test_lost_reply_to_a_total_corrected_twice_is_undone_with_the_next() -> None:
    g = counting(rate=10.0, burst=20.0)
    start = 30 * SECOND  # into the name's life, so that the number lags far behind
    (call,) = counter_calls(g.handle(start, arrival(1, start)))
    (fix,) = counter_calls(g.handle(start + MS, CounterReplied(MS, Outcome.OK, call.key, call.amount)))
    assert fix.amount > 250.0
    g.handle(start + 80 * MS, CounterReplied(79 * MS, Outcome.RESET, fix.key, 0.0))
    (again,) = counter_calls(g.handle(start + SECOND, arrival(2, start + SECOND)))
    number = 2 * fix.amount + call.amount + again.amount
    back = counter_calls(g.handle(start + SECOND + MS, CounterReplied(MS, Outcome.OK, again.key, number)))
    assert -fix.amount in [each.amount for each in back]


def test_plan_whose_excess_pays_is_not_counted_without_congestion() -> None:
    g = counting(excess_weight=0.5, excess_cost=0.0, max_in_flight=2)
    actions = [g.handle(MS, arrival(i, MS)) for i in range(5)]
    assert all(isinstance(a, Send) for each in actions for a in each)


def test_attempts_in_flight_are_limited_over_all_gateways_by_the_counter() -> None:
    fleet = Fleet(may_message=False, has_counter=True, plans=(plan(max_in_flight=3),))
    for i in range(10):
        fleet.deliver(MS * i, i, arrival(i, MS * i, gateway_spread=MANY))
    assert len(fleet.sent) == 3
    for _, send in list(fleet.sent):
        fleet.deliver(SECOND, send.request_id, ended(send.request_id, send.endpoint))
    assert all(abs(number) < IN_FLIGHT_UNIT / 2 for number in fleet.totals.values())


def test_slot_held_by_a_client_that_left_is_released() -> None:
    g = DecisionEngine(
        settings(gateway_count=MANY, may_message=False, has_counter=True, plans=(plan(max_in_flight=3),)),
        7,
        0,
    )
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.request_table.open.pop(1)
    back = g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    assert [a.amount for a in back if isinstance(a, AddToCounter) and a.amount == -IN_FLIGHT_UNIT] == [
        -IN_FLIGHT_UNIT
    ]


def test_lost_release_is_sent_again() -> None:
    g = DecisionEngine(
        settings(gateway_count=MANY, may_message=False, has_counter=True, plans=(plan(max_in_flight=3),)),
        7,
        0,
    )
    g.handle(0, full_list(listed_endpoint(1)))
    (call,) = [a for a in g.handle(MS, arrival(1, MS, gateway_spread=MANY)) if isinstance(a, AddToCounter)]
    g.handle(2 * MS, CounterReplied(MS, Outcome.OK, call.key, call.amount))
    (back,) = [a for a in g.handle(3 * MS, ended(1, 1)) if isinstance(a, AddToCounter)]
    g.handle(4 * MS, CounterReplied(MS, Outcome.OVERLOADED, back.key, 0.0))
    actions = [a for i in range(20) for a in g.handle(i * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))]
    assert [a.amount for a in actions if isinstance(a, AddToCounter)] == [-IN_FLIGHT_UNIT]


def test_correction_that_need_not_be_undone_leaves_no_call_without_a_reply() -> None:
    """A call that is noted and not made would take the reply of each later call for its own."""
    g = counting(rate=10.0, burst=20.0)
    start = 30 * SECOND
    (call,) = counter_calls(g.handle(start, arrival(1, start)))
    (fix,) = counter_calls(g.handle(start + MS, CounterReplied(MS, Outcome.OK, call.key, call.amount)))
    g.handle(start + 80 * MS, CounterReplied(79 * MS, Outcome.RESET, fix.key, 0.0))
    (again,) = counter_calls(g.handle(start + SECOND, arrival(2, start + SECOND)))
    total = fix.amount + call.amount + again.amount  # made once only, so nothing is to be undone
    made = counter_calls(g.handle(start + SECOND + MS, CounterReplied(MS, Outcome.OK, again.key, total)))
    assert -fix.amount not in [each.amount for each in made]
    for each in made:
        total += each.amount
        g.handle(start + SECOND + 2 * MS, CounterReplied(MS, Outcome.OK, each.key, total))
    assert g.quota.counter.pending_calls == {}
