"""Local slices of quotas and ceilings, combined with a shared counter."""

from __future__ import annotations

from dataclasses import replace

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import AddToCounter, CounterReplied, Outcome, Reject, Send
from tests.support.builders import MS, SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.engines import counter_calls, engine_among_many
from tests.support.fleet import MANY

PLAN_WITH_CEILING = plan(
    rate=5.5, burst=11.0, excess_cost=0.5, ceiling_rate=13.0, ceiling_burst=26.0, ceiling_slack=3.0
)


def test_busy_customer_is_limited_without_counter_replies() -> None:
    """Without counter replies, the probability of a grant falls with a customer's demand at this gateway."""
    grants_by_load = []
    for requests in (1, 20):
        engine = DecisionEngine(settings(gateway_count=MANY, may_message=False, has_counter=True), 7, 0)
        granted_count = 0
        for customer in range(200):
            account = engine.quota.account(0, customer, 0, MANY, 0)
            assert account is not None
            engine.quota.plan_grant_ratio[0].add(0, 1.0)
            account.buckets.local_tokens = 0.0
            for _ in range(requests):
                account.demand.long_term.add(0, 1.0)
            granted_count += engine.quota.decide_locally(0, account, 1.0)
        grants_by_load.append(granted_count)
    assert grants_by_load[1] < 0.5 * grants_by_load[0]


def test_counted_requests_are_scaled_up_for_those_not_counted() -> None:
    engine = DecisionEngine(settings(gateway_count=MANY, may_message=False, has_counter=True), 7, 0)
    engine.handle(0, full_list(listed_endpoint(1)))
    engine.quota.counter.call_rate = 0.25
    for i in range(20):
        # With high demand the bucket may be empty, so requests are not exempt from counting.
        account = engine.quota.account(0, i, 0, MANY, 0)
        assert account is not None
        account.demand.long_term.add(0, 1.0, 5.0)
    calls = [
        a for i in range(20) for a in engine.handle(MS, arrival(i, MS, customer_id=i, gateway_spread=MANY))
    ]
    amounts = {a.amount for a in calls if isinstance(a, AddToCounter)}
    assert amounts == {2.0}


def test_overloaded_counter_is_not_called_for_single_requests_of_typical_customers() -> None:
    """With 25 gateways no slice holds a request: the first is admitted uncounted, the second is counted."""
    engine = engine_among_many()
    engine.quota.counter.call_rate = 0.5
    first_actions = [
        a for i in range(50) for a in engine.handle(MS, arrival(i, MS, customer_id=i, gateway_spread=25))
    ]
    assert len([a for a in first_actions if isinstance(a, Send)]) == 50
    assert not counter_calls(first_actions)
    second_actions = [
        a
        for i in range(50)
        for a in engine.handle(9 * MS, arrival(50 + i, 9 * MS, customer_id=i, gateway_spread=25))
    ]
    # Each call also reports the unit that was spent without one.
    assert [a.amount for a in counter_calls(second_actions)] == [2.0] * 50


@pytest.mark.parametrize(("used", "expected_calls"), [(1, 0), (501, 1)])
def test_usage_reports_stay_valid_between_rare_requests(used: int, expected_calls: int) -> None:
    engine = engine_among_many()
    engine.quota.counter.call_rate = 0.5
    (send,) = [a for a in engine.handle(MS, arrival(1, MS, gateway_spread=25)) if isinstance(a, Send)]
    engine.handle(400 * MS, replace(ended(1, send.endpoint), quota_usage=used))
    now = 15 * SECOND
    assert len(counter_calls(engine.handle(now, arrival(2, now, gateway_spread=25)))) == expected_calls


def test_slices_of_a_ceiling_hold_whole_requests_and_never_exceed_it_in_total() -> None:
    """Guards against two faults: slices below one request, and empty slices at the first request.

    An even slice of less than one request can never be spent. A slice that is empty when the customer's first
    request arrives here rejects it, although nothing was spent.
    """
    sent, now = 0, 10 * SECOND
    for position in range(40):
        engine = engine_among_many(position, PLAN_WITH_CEILING)
        engine.quota.plan_grant_ratio[0].add(now, 1.0, 100.0)
        engine.quota.counter.call_rate = 0.0
        for i in range(5):
            sent += sum(
                isinstance(a, Send)
                for a in engine.handle(now, arrival(i, now, gateway_spread=40, first_gateway=0))
            )
    assert 10 <= sent <= 26 - 11 + 3


def test_empty_slice_of_a_ceiling_does_not_reject_what_the_bucket_can_hold() -> None:
    engine = engine_among_many(39, PLAN_WITH_CEILING)
    for i in range(1, 3):
        (call,) = counter_calls(
            actions := engine.handle(i * MS, arrival(i, i * MS, gateway_spread=40, first_gateway=0))
        )
        assert not [a for a in actions if isinstance(a, Reject)]
        granted = engine.handle(i * MS + 1, CounterReplied(1, Outcome.OK, call.key, i * call.amount))
        assert [type(a) for a in granted if not isinstance(a, AddToCounter)] == [Send]
