"""Derives the state of a customer's bucket from a counter's total."""

from __future__ import annotations

from dataclasses import dataclass

from ....types import CounterReplied
from ...statistics.time_constants import LONG_TIME_CONSTANT_NS
from ..account.counter_calls import CounterCall
from ..account.customer_account import CustomerAccount
from .counter_total import decode_total, refilled_units


@dataclass(slots=True, kw_only=True)
class CounterReading:
    """State of a customer's bucket just before the counter added a call."""

    account: CustomerAccount
    call: CounterCall
    surplus: float  # units refilled minus units spent; positive if the bucket was full for a time
    tokens: float
    units: float  # requested by the call, excluding the in-flight slot
    in_flight: float  # requests in flight at all gateways; 0 if they are not counted


def read_counter(
    now: int, account: CustomerAccount, call: CounterCall, event: CounterReplied, in_flight_slot: float
) -> CounterReading:
    """Decode a reply.

    Under a new key the bucket starts with the tokens of the last report, or full if that report is old.
    """
    burst = account.plan.burst
    before = decode_total(event.total - call.amount - call.unreported, in_flight_slot > 0)
    calls, reports = account.counter_calls, account.reports
    if calls.key != event.key:
        known = reports.tokens if now - reports.reported_at < LONG_TIME_CONSTANT_NS else burst
        calls.begin_key(event.key, burst - min(burst, max(0.0, known)))
    refilled = refilled_units(account.plan.rate, now - event.elapsed)
    surplus = refilled - before.spent_units - calls.initial_deficit
    return CounterReading(
        account=account,
        call=call,
        surplus=surplus,
        tokens=min(burst, burst + surplus) - call.unreported,
        units=max(0.0, call.amount - in_flight_slot),
        in_flight=before.in_flight,
    )
