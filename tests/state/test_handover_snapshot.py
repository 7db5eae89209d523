"""What one process of a gateway leaves to the next: both together hold no more than one did."""

from __future__ import annotations

import json
from typing import Any

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.state import capture as heritage
from qos_gateway.types import CounterReplied, Outcome, Send, SetEndpointEnabled
from tests.support.builders import SECOND, arrival, backend, ended, full_list, plan, settings

START = 100 * SECOND
SETTINGS = settings(
    may_message=False,
    has_counter=True,
    gateway_count=2,
    plans=(plan(ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=8.0),),
)


def gateway() -> DecisionEngine:
    made = DecisionEngine(SETTINGS, 7, 0)
    made.handle(0, full_list(backend(1), backend(2, booted=START - SECOND), backend(3)))
    return made


def used(count: int = 5) -> DecisionEngine:
    """One whose customer 1 has sent on some requests, unanswered, with nobody at the counter."""
    g = gateway()
    for n in range(count):
        g.handle(START, arrival(n, START))
        name = 1 << 16 | (START // (60 * SECOND)) & 0xFFFF
        g.handle(START, CounterReplied(0, Outcome.OK, name, float(n + 1)))
    g.handle(START, ended(0, 1, elapsed=SECOND // 5))
    return g


def passed_on(old: DecisionEngine, now: int = START) -> DecisionEngine:
    new = gateway()
    heritage.restore(new, now, json.loads(json.dumps(heritage.capture(old, now))), SETTINGS)
    return new


def test_both_together_hold_the_stores_of_one_then_and_later() -> None:
    old = used()
    before = old.quota.accounts[1]
    part, ceiling = before.local_tokens, before.ceiling_tokens
    new = passed_on(old)
    both = old.quota.accounts[1], new.quota.accounts[1]
    assert sum(a.local_tokens for a in both) == pytest.approx(part)
    assert sum(a.ceiling_tokens for a in both) == pytest.approx(ceiling)
    single = used().quota
    for quota in (old.quota, new.quota, single):
        quota.refill(START + 60 * SECOND, quota.accounts[1])
    assert sum(a.ceiling_tokens for a in both) == pytest.approx(single.accounts[1].ceiling_tokens)
    heritage.complete(new)
    new.quota.refill(START + 120 * SECOND, new.quota.accounts[1])
    assert new.quota.accounts[1].ceiling_tokens == pytest.approx(single.accounts[1].ceiling_tokens)


def test_first_request_adds_no_second_slack_and_open_attempts_count_on() -> None:
    old = used()
    new = passed_on(old)
    ceiling = new.quota.accounts[1].ceiling_tokens
    new.handle(START, arrival(90, START))
    assert new.quota.accounts[1].ceiling_tokens <= ceiling
    assert new.quota.accounts[1].in_flight_elsewhere == old.quota.accounts[1].in_flight == 4


def test_bans_suspensions_and_latency_go_over_and_cold_budgets_are_not_doubled() -> None:
    old = used()
    old.handle(START, SetEndpointEnabled(3, False))
    old.handle(START, SetEndpointEnabled(77, False))  # not listed at the moment
    old.load_balancer.endpoints[1].ejected_until, old.load_balancer.endpoints[2].slow_start_tokens = (
        START + SECOND,
        1.5,
    )
    new = passed_on(old)
    assert new.load_balancer.admin_disabled == {3: START, 77: START}
    assert new.load_balancer.endpoints[1].ejected_until == START + SECOND
    assert (
        old.load_balancer.endpoints[2].slow_start_tokens,
        new.load_balancer.endpoints[2].slow_start_tokens,
    ) == (0.0, 1.5)
    assert old.load_balancer.handover_fraction + new.load_balancer.handover_fraction == 1.0
    assert new.model.latency[0].value == old.model.latency[0].value > 0.0
    sends = [a for a in new.handle(START, arrival(91, START, customer_id=2)) if isinstance(a, Send)]
    assert [a.endpoint for a in sends] in ([], [2])


def test_server_started_anew_since_owes_nothing_to_what_the_old_process_saw() -> None:
    old = used()
    old.load_balancer.endpoints[1].ejected_until = START + SECOND
    new = gateway()
    new.handle(START, full_list(backend(1, booted=START)))
    heritage.restore(new, START, heritage.capture(old, START), SETTINGS)
    assert new.load_balancer.endpoints[1].ejected_until == 0


def broken(**changes: Any) -> dict[str, Any]:
    return {**heritage.capture(used(), START), **changes}


@pytest.mark.parametrize(
    "raw",
    [
        {},
        broken(accounts=[[1, 2]]),
        broken(accounts=None),
        broken(servers=[["x"] * 9]),
        broken(banned="abc"),
        broken(latency=[]),
        broken(sends=[1]),
        broken(pace="fast"),
        broken(retries=None),
        broken(accounts=[[1, 9, 2, [], 0, 1.0, 1.0, 1.0, 0, [0, 1, 0.0, 0.0], [0, 1, 0.0, 0.0]]]),
    ],
)
def test_unreadable_heritage_changes_nothing(raw: dict[str, Any]) -> None:
    g = gateway()
    with pytest.raises(ValueError):
        heritage.restore(g, START, raw, SETTINGS)
    assert not g.quota.accounts
    assert not g.load_balancer.admin_disabled
    assert g.quota.handover_fraction == g.load_balancer.handover_fraction == 1.0
