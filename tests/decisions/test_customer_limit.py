"""The limit on customers with state, and the work that many customers or large plans cause."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.decisions.admission import commitment_table
from qos_gateway.decisions.admission.seven_cases import Goal, seven_cases
from qos_gateway.decisions.congestion.mean_value_analysis import ClosedNetwork, response_times
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.statistics.time_constants import TICK_INTERVAL_NS
from qos_gateway.types import Outcome, RejectReason, TimerFired
from qos_gateway.types.events import CounterReplied
from tests.support.builders import SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import counter_calls, rejections, sends

MAX_CUSTOMERS = 50
EXAMPLES_SEED = 4501
TICK = TimerFired(1)


def limited_engine(**changes: object) -> DecisionEngine:
    changed: dict[str, object] = {"max_customers": MAX_CUSTOMERS, "gateway_count": 1} | changes
    engine = DecisionEngine(settings(**changed), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1), listed_endpoint(2)))
    return engine


def serve(engine: DecisionEngine, now: int, request: int, customer: int) -> list[RejectReason]:
    """Pass a request of a customer and its response; return the reason of its rejection, if any."""
    actions = engine.handle(now, arrival(request, now, customer_id=customer, gateway_spread=1))
    for send in sends(actions):
        engine.handle(now + 1, ended(request, send.endpoint))
    return [rejection.reason for rejection in rejections(actions)]


def test_customers_beyond_the_limit_replace_those_whose_quota_is_full_again() -> None:
    engine = limited_engine(plans=(plan(rate=10.0, burst=20.0),))
    for number in range(20 * MAX_CUSTOMERS):
        now = number * SECOND // 10
        assert serve(engine, now, number, number) == []
        assert len(engine.quota.accounts) <= MAX_CUSTOMERS
        assert engine.commitments.by_customer.keys() == engine.quota.accounts.keys()


def test_new_customer_is_rejected_where_no_account_can_be_dropped_without_a_loss() -> None:
    engine = limited_engine(plans=(plan(rate=0.1, burst=20.0),))
    reasons = [serve(engine, number, number, number) for number in range(2 * MAX_CUSTOMERS)]
    assert reasons[:MAX_CUSTOMERS] == [[]] * MAX_CUSTOMERS
    assert reasons[MAX_CUSTOMERS:] == [[RejectReason.CUSTOMER_LIMIT]] * MAX_CUSTOMERS
    assert serve(engine, SECOND, 1000, 0) == []  # a customer that has an account


def test_flood_of_new_customers_gives_no_customer_its_burst_twice() -> None:
    engine = limited_engine(plans=(plan(rate=1.0, burst=5.0),))
    served = 0
    for number in range(4000):
        now = number * SECOND // 1000
        if number % 10 == 0:
            served += serve(engine, now, number, 1) == []
        else:
            serve(engine, now, number, 100 + number)
    assert served <= 5 + 4


def test_customer_with_unreported_units_keeps_its_account() -> None:
    engine = limited_engine(plans=(plan(rate=100.0, burst=100.0),), has_counter=True, may_message=False)
    serve(engine, 0, 0, 1)
    account = engine.quota.accounts[1]
    account.counter_calls.unreported_units = 3.0
    for number in range(10 * MAX_CUSTOMERS):
        serve(engine, 10 * SECOND + number * SECOND, 1 + number, 100 + number)
    assert engine.quota.accounts.get(1) is account


def test_counter_reply_for_a_removed_account_leaves_no_pending_call() -> None:
    engine = limited_engine(gateway_count=4, has_counter=True, may_message=False)
    actions = engine.handle(0, arrival(1, 0, customer_id=1, gateway_spread=4))
    (call,) = counter_calls(actions)
    del engine.quota.accounts[1]
    engine.handle(1, CounterReplied(0, Outcome.OK, call.key, 1.0))
    assert not engine.quota.counter.pending_calls


def test_tick_evaluates_a_bounded_number_of_customers_and_all_of_them_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(commitment_table, "MAX_SAMPLES_PER_TICK", 10)
    monkeypatch.setattr(commitment_table, "MAX_EVALUATIONS_PER_TICK", 10)
    engine = limited_engine()
    for number in range(MAX_CUSTOMERS):
        serve(engine, 0, number, number)
    evaluated = [0]
    original = engine.commitments.evaluate

    def count_evaluation(*arguments: Any) -> None:
        evaluated[-1] += 1
        original(*arguments)

    monkeypatch.setattr(engine.commitments, "evaluate", count_evaluation)
    for tick in range(1, 30):
        evaluated.append(0)
        engine.handle(tick * TICK_INTERVAL_NS, TICK)
    assert max(evaluated) == 10
    assert sum(evaluated) == MAX_CUSTOMERS
    for tick in range(30, 300):
        engine.handle(tick * TICK_INTERVAL_NS, TICK)
    assert not engine.commitments.active  # all idle ones were suspended


def linear_seven_cases(requested: int, response: Goal, throughput: Goal, commitments: Goal) -> int:
    """The seven cases by trying every level in turn."""

    def first(levels: range, *goals: Goal) -> int:
        return next((level for level in levels if all(goal(level) for goal in goals)), 0)

    lower, higher = range(requested - 1, 0, -1), range(requested + 1, 2 * requested + 1)
    goals = commitments(requested), response(requested), throughput(requested)
    match goals:
        case True, True, True:
            return requested
        case True, False, True:
            return first(lower, response, throughput) or first(lower[::-1], throughput) or requested
        case True, True, False:
            both = first(higher, response, throughput, commitments)
            return both or first(higher[::-1], response, commitments) or requested
        case True, False, False:
            return first(lower, response) or first(higher, throughput, commitments) or requested
    offered = first(lower, response, throughput, commitments) or first(lower, commitments, throughput)
    return (goals[2] and offered) or first(lower, commitments)


@seed(EXAMPLES_SEED)
@given(
    requested=st.integers(2, 60),
    delay=st.floats(1.0, 50.0),
    demand=st.floats(0.1, 20.0),
    others=st.integers(0, 40),
    headroom=st.floats(0.1, 200.0),
    others_headroom=st.floats(0.1, 200.0),
    throughput=st.floats(0.001, 3.0),
)
@hypothesis_settings(max_examples=300, deadline=None, derandomize=True)
def test_seven_cases_find_the_same_concurrency_as_a_search_of_every_level(
    requested: int,
    delay: float,
    demand: float,
    others: int,
    headroom: float,
    others_headroom: float,
    throughput: float,
) -> None:
    network = ClosedNetwork(delay, tuple(response_times(demand, delay, 120)))
    goals: tuple[Goal, Goal, Goal] = (
        lambda level: network.wait(others + level) <= headroom,
        lambda level: level >= throughput * (delay + network.wait(others + level)),
        lambda level: network.wait(others + level) <= others_headroom,
    )
    assert seven_cases(requested, *goals) == linear_seven_cases(requested, *goals)


def test_seven_cases_try_few_levels_of_a_large_plan() -> None:
    tried = []

    def goal(level: int) -> bool:
        tried.append(level)
        return level <= 7

    assert seven_cases(10**9, goal, lambda _: False, goal) == 7
    assert len(tried) < 200
