"""Handover of state to the next process: both together never hold more quota than one process."""

from __future__ import annotations

from typing import Any

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.handover import complete
from qos_gateway.decisions.snapshot_format import SnapshotFormatError
from qos_gateway.types import CounterReplied, Outcome, Send, SetEndpointEnabled
from tests.support.builders import SECOND, arrival, ended, full_list, listed_endpoint, plan, settings
from tests.support.handover import capture_json, restore_json

START = 100 * SECOND
SETTINGS = settings(
    may_message=False,
    has_counter=True,
    gateway_count=2,
    plans=(plan(ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=8.0),),
)


def new_engine() -> DecisionEngine:
    engine = DecisionEngine(SETTINGS, 7, 0)
    engine.handle(
        0, full_list(listed_endpoint(1), listed_endpoint(2, started_at=START - SECOND), listed_endpoint(3))
    )
    return engine


def used_engine(count: int = 5) -> DecisionEngine:
    """Return an engine with requests of customer 1 counted by the counter; only the first has ended."""
    engine = new_engine()
    for n in range(count):
        engine.handle(START, arrival(n, START))
        key = 1 << 16 | (START // (60 * SECOND)) & 0xFFFF
        engine.handle(START, CounterReplied(0, Outcome.OK, key, float(n + 1)))
    engine.handle(START, ended(0, 1, elapsed=SECOND // 5))
    return engine


def hand_over(old: DecisionEngine, now: int = START) -> DecisionEngine:
    new = new_engine()
    restore_json(new, now, capture_json(old, now), SETTINGS)
    return new


def test_both_processes_together_hold_the_tokens_of_one_during_and_after_the_handover() -> None:
    old = used_engine()
    before = old.quota.accounts[1]
    local, ceiling = before.buckets.local_tokens, before.buckets.ceiling_tokens
    new = hand_over(old)
    both = old.quota.accounts[1], new.quota.accounts[1]
    assert sum(a.buckets.local_tokens for a in both) == pytest.approx(local)
    assert sum(a.buckets.ceiling_tokens for a in both) == pytest.approx(ceiling)
    single = used_engine().quota
    for quota in (old.quota, new.quota, single):
        quota.refill(START + 60 * SECOND, quota.accounts[1])
    assert sum(a.buckets.ceiling_tokens for a in both) == pytest.approx(
        single.accounts[1].buckets.ceiling_tokens
    )
    complete(new)
    new.quota.refill(START + 120 * SECOND, new.quota.accounts[1])
    assert new.quota.accounts[1].buckets.ceiling_tokens == pytest.approx(
        single.accounts[1].buckets.ceiling_tokens
    )


def test_next_process_gets_no_second_ceiling_slack_and_counts_attempts_of_the_old_one() -> None:
    old = used_engine()
    new = hand_over(old)
    ceiling = new.quota.accounts[1].buckets.ceiling_tokens
    new.handle(START, arrival(90, START))
    assert new.quota.accounts[1].buckets.ceiling_tokens <= ceiling
    assert new.quota.accounts[1].reports.in_flight_elsewhere == old.quota.accounts[1].in_flight == 4


def test_disabling_ejections_and_latency_are_restored_and_slow_start_tokens_are_not_doubled() -> None:
    old = used_engine()
    old.handle(START, SetEndpointEnabled(3, False))
    old.handle(START, SetEndpointEnabled(77, False))  # not in the endpoint list
    old_registry = old.load_balancer.registry
    old_registry.endpoints[1].ejected_until = START + SECOND
    old_registry.endpoints[2].slow_start_bucket.tokens = 1.5
    new = hand_over(old)
    new_registry = new.load_balancer.registry
    assert new_registry.admin_disabled == {3: START, 77: START}
    assert new_registry.endpoints[1].ejected_until == START + SECOND
    assert old_registry.endpoints[2].slow_start_bucket.tokens == 0.0
    assert new_registry.endpoints[2].slow_start_bucket.tokens == 1.5
    both = old.load_balancer.slow_start, new.load_balancer.slow_start
    assert sum(slow_start.handover_fraction for slow_start in both) == 1.0
    assert new.model.class_latency[0].mean.value == old.model.class_latency[0].mean.value > 0.0
    sends = [a for a in new.handle(START, arrival(91, START, customer_id=2)) if isinstance(a, Send)]
    assert [a.endpoint for a in sends] in ([], [2])


def test_endpoint_that_restarted_meanwhile_gets_no_state_of_the_old_process() -> None:
    old = used_engine()
    old.load_balancer.registry.endpoints[1].ejected_until = START + SECOND
    new = new_engine()
    new.handle(START, full_list(listed_endpoint(1, started_at=START)))
    restore_json(new, START, capture_json(old, START), SETTINGS)
    assert new.load_balancer.registry.endpoints[1].ejected_until == 0


def altered_snapshot(**changes: Any) -> dict[str, Any]:
    return {**capture_json(used_engine(), START), **changes}


@pytest.mark.parametrize(
    "raw",
    [
        {},
        altered_snapshot(accounts=[[1, 2]]),
        altered_snapshot(accounts=None),
        altered_snapshot(servers=[["x"] * 9]),
        altered_snapshot(banned="abc"),
        altered_snapshot(latency=[]),
        altered_snapshot(sends=[1]),
        altered_snapshot(pace="fast"),
        altered_snapshot(retries=None),
        altered_snapshot(accounts=[[1, 9, 2, [], 0, 1.0, 1.0, 1.0, 0, [0, 1, 0.0, 0.0], [0, 1, 0.0, 0.0]]]),
    ],
)
def test_unreadable_snapshot_changes_nothing(raw: dict[str, Any]) -> None:
    engine = new_engine()
    with pytest.raises(SnapshotFormatError, match=r"^snapshot"):
        restore_json(engine, START, raw, SETTINGS)
    assert not engine.quota.accounts
    assert not engine.load_balancer.registry.admin_disabled
    assert engine.quota.handover_fraction == engine.load_balancer.slow_start.handover_fraction == 1.0
