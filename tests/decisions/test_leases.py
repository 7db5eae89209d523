"""Quota leases: the sum over all gateways is bounded, whatever happens to their calls to the counter."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from qos_gateway.decisions.quota.leased_quota import LeasedQuota
from qos_gateway.decisions.quota.leases.leases import (
    EVEN_FRACTION,
    LEASED_FRACTION,
    RENEWAL_LEAD_TERMS,
    SAVED_BURST_FACTOR,
)
from qos_gateway.server.config import MAX_LEASE_S
from qos_gateway.types import AddToCounter
from tests.support.builders import MS, SECOND, arrival, plan
from tests.support.customer_gateways import (
    GATEWAY_COUNT,
    LEASE_TERM_NS,
    LEASED_PLAN,
    CustomerGateways,
    leasing_gateway,
)
from tests.support.handover import capture_json, restore_json

PLAN_WITH_CEILING = plan(
    rate=50.0, burst=100.0, excess_cost=0.5, ceiling_rate=120.0, ceiling_burst=240.0, ceiling_slack=10.0
)
COUNTER_REPLIES = st.lists(st.sampled_from(["ok", "ok", "late", "lost", "twice", "busy"]), max_size=40)
# Hypothesis derives the examples of a derandomized test from its source unless it has a seed of its own.
# This is the seed of its first version, so that edits of the text do not change the examples.
EXAMPLES_SEED = (
    0xD254A78076E7FB298FF96BF14535CF4C9D7883F11D235AF984C402CF2F33B2EC50CA727DEFA78DD434A8ED17980E6493
)


@seed(EXAMPLES_SEED)
@given(COUNTER_REPLIES, st.integers(0, 999), st.integers(1, GATEWAY_COUNT), st.integers(5, 200))
@hypothesis_settings(max_examples=40, deadline=None, derandomize=True)
def test_sum_of_slices_and_leases_is_bounded_if_calls_fail(
    replies: list[str], seed: int, skew: int, per_s: int
) -> None:
    """Guards against a quota that is granted twice when the replies to claims are lost or late.

    Until a claim has a reply, its gateway uses an even slice of the whole quota, so that only the part of
    the slice above `EVEN_FRACTION` can be granted twice.
    """
    customer = CustomerGateways([*replies])
    for start_s in range(0, 12, 3):
        customer.press(start_s, 3.0, per_s, random.Random(seed + start_s), skew)
        accounts = [g.quota.accounts[1] for g in customer.gateways if 1 in g.quota.accounts]
        shares = customer.shares((start_s + 3) * SECOND)
        even_slices = sum(share == 1 / GATEWAY_COUNT for share in shares)
        excess = even_slices * (1 - EVEN_FRACTION) / GATEWAY_COUNT
        assert sum(shares) <= EVEN_FRACTION + LEASED_FRACTION + excess + 1e-6
        assert len(accounts) <= GATEWAY_COUNT
    assert customer.waited == 0


def test_gateways_with_most_requests_lease_most_and_no_request_waits() -> None:
    customer = CustomerGateways()
    # Nine tenths of the quota, of which two of the ten gateways receive more than half.
    customer.press(0.0, 10.0, 9, random.Random(1), 2)
    forwarded = customer.press(10.0, 20.0, 9, random.Random(2), 2)
    assert forwarded >= 0.85 * 180
    assert customer.waited == 0
    busy = sorted(customer.shares(30 * SECOND), reverse=True)
    assert sum(busy[:2]) >= 0.5
    assert customer.calls <= 0.2 * 270


def test_customer_far_above_its_quota_gets_it_and_at_most_15_percent_more() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 20.0, 50, random.Random(1))
    forwarded = customer.press(20.0, 20.0, 50, random.Random(2))
    assert 0.9 * 200 <= forwarded <= 1.15 * 200


def test_customer_with_light_usage_needs_at_most_two_calls() -> None:
    customer = CustomerGateways()
    assert customer.press(0.0, 40.0, 3, random.Random(1)) == 120
    assert customer.calls <= 2


def test_most_leases_are_renewed_before_their_term_ends() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 30.0, 9, rng, 2)
    leases = customer.gateways[0].quota.leases
    assert leases is not None
    current = leases.terms.at(30 * SECOND, 1)
    term = current.number
    term_end_s = (30 * SECOND + current.remaining) / SECOND
    customer.press(30.0, term_end_s - 30.0, 9, rng, 2)
    now = int(term_end_s * SECOND)
    accounts = [g.quota.accounts[1] for g in customer.gateways if 1 in g.quota.accounts]
    with_lease = [a for a in accounts if a.lease.fractions.get(term, 0.0) > 0.0]
    assert len(with_lease) >= 2
    assert sum(term + 1 in a.lease.fractions for a in with_lease) >= 0.5 * len(with_lease)
    before, after = customer.shares(now - 1), customer.shares(now + 1)
    assert sum(after) >= 0.75 * sum(before)
    assert customer.press(term_end_s, 10.0, 9, rng, 2) >= 0.85 * 90


def test_counter_key_lifetime_covers_renewal_lead_and_term() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 5.0, 30, random.Random(1))
    gateway = customer.gateways[0]
    leases, account = gateway.quota.leases, gateway.quota.accounts[1]
    assert leases is not None
    account.lease.next_claim_at, account.buckets.local_tokens = 0, 0.0
    actions = leases.claim(6 * SECOND, account, 1.0, 1.0)
    for a in actions:
        assert isinstance(a, AddToCounter)
        assert a.time_to_live == 60 * SECOND
    assert MAX_LEASE_S * (1 + RENEWAL_LEAD_TERMS) <= 60


def test_restarted_gateway_has_its_even_slice_and_claims_only_what_is_left() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 50, rng)
    total = sum(customer.shares(10 * SECOND))
    customer.gateways[3] = leasing_gateway(3, 10 * SECOND, 99)
    customer.press(10.0, 5.0, 50, rng)
    shares = customer.shares(15 * SECOND)
    assert shares[3] >= EVEN_FRACTION / GATEWAY_COUNT
    assert sum(shares) <= total + 1e-6
    # In the next term, the restarted gateway leases like the others.
    customer.press(15.0, 2 * LEASE_TERM_NS / SECOND, 50, rng)
    assert sum(customer.shares(115 * SECOND)) == pytest.approx(EVEN_FRACTION + LEASED_FRACTION, abs=0.2)


def test_leases_are_handed_over_and_both_processes_hold_no_more_than_one() -> None:
    customer = CustomerGateways()
    customer.press(0.0, 10.0, 9, random.Random(1), 2)
    old, new = customer.gateways[0], leasing_gateway(0, 10 * SECOND, 99)
    before = old.quota.accounts[1].lease.fractions
    restore_json(new, 10 * SECOND, capture_json(old, 10 * SECOND), old.settings)
    assert before
    assert new.quota.accounts[1].lease.fractions == before
    assert old.quota.handover_fraction + new.quota.handover_fraction == 1.0
    # The state of an older release has no leases, and is restored without an error.
    older_state = capture_json(old, 10 * SECOND)
    del older_state["leases"]
    restore_json(leasing_gateway(0, 10 * SECOND, 98), 10 * SECOND, older_state, old.settings)


def test_unreachable_counter_leaves_even_slices_and_few_calls_until_it_returns() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 30, rng)
    customer.replies = ["refused"] * 100_000
    customer.press(10.0, 60.0, 30, rng)
    assert sum(customer.shares(70 * SECOND)) <= 1.0 + 1e-6
    calls = customer.calls
    forwarded = customer.press(3550.0, 60.0, 30, rng)
    assert 0.85 * 600 <= forwarded <= 600 + SAVED_BURST_FACTOR * LEASED_PLAN.burst
    assert customer.calls - calls <= 2 * GATEWAY_COUNT * 60 / 2.5
    customer.replies = []
    customer.press(3610.0, 60.0, 30, rng)
    assert max(customer.shares(3670 * SECOND)) > 1 / GATEWAY_COUNT


def test_counter_that_lost_its_totals_grants_the_leased_fraction_once_more_in_that_term() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    customer.press(0.0, 10.0, 50, rng)
    customer.replies = ["empty"]
    # Allow each gateway to claim another lease at once.
    for gateway in customer.gateways:
        gateway.quota.accounts[1].lease.next_claim_at = 0
    customer.press(10.0, 10.0, 50, rng)
    assert sum(customer.shares(20 * SECOND)) <= EVEN_FRACTION + 2 * LEASED_FRACTION + 1e-6
    customer.press(20.0, 2 * LEASE_TERM_NS / SECOND, 50, rng)
    assert sum(customer.shares(120 * SECOND)) <= EVEN_FRACTION + LEASED_FRACTION + 1e-6


def test_gateways_partitioned_from_the_counter_use_even_slices() -> None:
    customer, rng = CustomerGateways(), random.Random(1)
    for second in range(100):
        for i in range(50):
            position = rng.randrange(GATEWAY_COUNT)
            customer.replies = ["late"] if position >= GATEWAY_COUNT // 2 else []
            customer.send_request(second * SECOND + i * 20 * MS, position)
    shares = customer.shares(100 * SECOND)
    assert sum(shares[: GATEWAY_COUNT // 2]) <= EVEN_FRACTION / 2 + LEASED_FRACTION + 1e-6
    # Both halves together hold at most 1.35 times the quota.
    assert sum(shares[GATEWAY_COUNT // 2 :]) <= 0.5 + 1e-6


def test_without_a_lease_term_each_request_calls_the_counter() -> None:
    gateway = leasing_gateway(0, lease_term=0)
    actions = gateway.handle(SECOND, arrival(1, SECOND, gateway_spread=GATEWAY_COUNT))
    assert gateway.quota.leases is None
    assert any(isinstance(a, AddToCounter) for a in actions)


def test_plan_is_not_leased_if_slices_of_its_ceiling_cannot_hold_a_request() -> None:
    small_ceiling = replace(PLAN_WITH_CEILING, ceiling_burst=3.0, burst=2.0)
    for customer_plan, leased in ((PLAN_WITH_CEILING, True), (small_ceiling, False)):
        gateway = leasing_gateway(0, plans=(customer_plan,))
        gateway.handle(SECOND, arrival(1, SECOND, gateway_spread=GATEWAY_COUNT))
        assert isinstance(gateway.quota, LeasedQuota)
        assert gateway.quota.is_leased(gateway.quota.accounts[1]) is leased
