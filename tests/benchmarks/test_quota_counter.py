"""The model of the quota counter: what callers learn, and what is added."""

from __future__ import annotations

import pytest

from benchmarks.quota_counter import (
    CALL_TIMEOUT_NS,
    CONNECTION_REFUSAL_TIME_NS,
    REPLY_TIME_NS,
    Fault,
    FaultWindow,
    QuotaCounter,
    partition_half,
)
from qos_gateway.types import AddToCounter, CounterReplied, Outcome
from qos_gateway.units import SECOND

INCREMENT = AddToCounter(key=1, time_to_live=60 * SECOND, amount=2.0)


def reply(outcome: Outcome, elapsed: int, total: float = 0.0) -> CounterReplied:
    return CounterReplied(elapsed, outcome, INCREMENT.key, total)


def test_totals_add_up() -> None:
    counter = QuotaCounter()
    assert counter.call(0, 0, INCREMENT) == reply(Outcome.OK, REPLY_TIME_NS, 2.0)
    assert counter.call(0, 1, INCREMENT) == reply(Outcome.OK, REPLY_TIME_NS, 4.0)


def test_calls_beyond_the_capacity_are_overloaded_and_add_nothing() -> None:
    counter = QuotaCounter(capacity=20.0)
    assert counter.call(0, 0, INCREMENT).outcome is Outcome.OK
    assert counter.call(0, 0, INCREMENT) == reply(Outcome.OVERLOADED, REPLY_TIME_NS)
    assert counter.call(SECOND, 0, INCREMENT) == reply(Outcome.OK, REPLY_TIME_NS, 4.0)


@pytest.mark.parametrize(
    ("fault", "during", "total_after"),
    [
        (Fault.CONNECTION_REFUSED, reply(Outcome.CONNECT_FAILED, CONNECTION_REFUSAL_TIME_NS), 2.0),
        (Fault.REQUEST_DROPPED, reply(Outcome.TIMEOUT, CALL_TIMEOUT_NS), 2.0),
        (Fault.REPLY_DROPPED, reply(Outcome.TIMEOUT, CALL_TIMEOUT_NS), 4.0),
        (Fault.DUPLICATED, reply(Outcome.OK, REPLY_TIME_NS, 4.0), 6.0),
    ],
)
def test_fault_lasts_for_its_window(fault: Fault, during: CounterReplied, total_after: float) -> None:
    counter = QuotaCounter(fault_windows=(FaultWindow(fault, 1.0, 2.0),))
    assert counter.call(SECOND, 0, INCREMENT) == during
    assert counter.call(2 * SECOND, 0, INCREMENT) == reply(Outcome.OK, REPLY_TIME_NS, total_after)


def test_data_reset_happens_once() -> None:
    counter = QuotaCounter(fault_windows=(FaultWindow(Fault.DATA_RESET, 1.0, 2.0),))
    calls = [(0, 2.0), (SECOND, 2.0), (SECOND, 4.0), (3 * SECOND, 6.0)]
    assert [counter.call(now, 0, INCREMENT).total for now, _ in calls] == [total for _, total in calls]


def test_partition_affects_the_upper_half_of_the_gateways() -> None:
    counter = QuotaCounter(fault_windows=(partition_half(5, 0.0, 1.0),))
    outcomes = [counter.call(0, gateway, INCREMENT).outcome for gateway in range(5)]
    assert outcomes == [Outcome.OK] * 2 + [Outcome.TIMEOUT] * 3
