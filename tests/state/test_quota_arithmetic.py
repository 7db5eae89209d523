"""Arithmetic of quota decisions: token buckets, counter totals, pending calls and peer totals."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.quota.account.counter_calls import CounterCall
from qos_gateway.decisions.quota.account.peer_totals import spent_since
from qos_gateway.decisions.quota.account.token_bucket import (
    TokenBucket,
    ceiling_beyond_quota,
    ceiling_slice,
    slice_for_rank,
)
from qos_gateway.decisions.quota.counter.counter_total import (
    IN_FLIGHT_UNIT,
    counter_key,
    customer_of,
    decode_total,
    refilled_units,
)
from qos_gateway.decisions.quota.counter.pending_calls import PendingCalls
from tests.support.builders import SECOND, plan


def test_bucket_refills_at_its_rate_up_to_its_capacity() -> None:
    bucket = TokenBucket(rate=2.0, capacity=10.0)
    assert bucket.refilled(3.0, 1.5) == 6.0
    assert bucket.refilled(3.0, 100.0) == 10.0
    assert bucket.scaled(0.5) == TokenBucket(1.0, 5.0)


def test_slices_of_a_ceiling_add_up_to_it() -> None:
    ceiled = plan(rate=10.0, burst=20.0, ceiling_rate=30.0, ceiling_burst=50.0)
    assert ceiling_beyond_quota(ceiled) == TokenBucket(20.0, 30.0)
    assert ceiling_slice(ceiled, 1.0, 1.0) == TokenBucket(30.0, 50.0)
    assert ceiling_slice(ceiled, 0.5, 0.1) == TokenBucket(7.0, 13.0)


def test_fewer_larger_slices_replace_slices_too_small_for_a_request() -> None:
    bucket = TokenBucket(4.0, 8.0)
    assert slice_for_rank(
        bucket, even_fraction=0.25, total_fraction=1.0, largest_request=2.0, rank=3, slice_count=4
    ) == TokenBucket(1.0, 2.0)
    capacities = [
        slice_for_rank(
            bucket, even_fraction=0.125, total_fraction=1.0, largest_request=2.0, rank=rank, slice_count=8
        ).capacity
        for rank in range(8)
    ]
    assert capacities == [2.0] * 4 + [0.0] * 4


@pytest.mark.parametrize(("in_flight", "units"), [(0, 0.0), (3, 12.5), (3, -7.0), (1, 4999.0)])
def test_counter_total_decodes_into_in_flight_and_units(in_flight: int, units: float) -> None:
    decoded = decode_total(in_flight * IN_FLIGHT_UNIT + units, True)
    assert decoded.in_flight == in_flight
    assert decoded.spent_units == units


def test_total_of_plan_without_in_flight_limit_is_units_only() -> None:
    decoded = decode_total(25_000.0, False)
    assert decoded.in_flight == 0.0
    assert decoded.spent_units == 25_000.0


def test_counter_key_contains_customer_id_and_refill_restarts_with_each_key() -> None:
    assert customer_of(counter_key(123_456_789, 70_000)) == 123_456_789
    assert refilled_units(2.0, 130 * SECOND) == 20.0


@pytest.mark.parametrize(
    ("total", "previous", "spent"),
    [
        (12, 4, 2.0),
        (3, 0xFFFF, 1.0),
        (4, 12, None),
        (12, None, None),
        (0x8000, 0, None),
        (0x7FFF, 0, 0x7FFF / 4),
    ],
)
def test_growth_of_peer_total_wraps_at_16_bits(total: int, previous: int | None, spent: float | None) -> None:
    assert spent_since(total, previous) == spent


def test_replies_match_the_calls_of_their_key_in_order() -> None:
    first, second = (CounterCall(number, 1.0, False, -2.0, 0.5) for number in (1, 2))
    calls: PendingCalls[CounterCall] = PendingCalls()
    calls.push(7, first)
    calls.push(7, second)
    assert calls.pop_oldest(8) is None
    assert calls.pop_oldest(7) is first
    assert calls.pop_oldest(7) is second
    assert calls.pop_oldest(7) is None
    assert not calls
    assert first.total == -0.5
