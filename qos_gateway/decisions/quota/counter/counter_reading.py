"""What a counter's total says of a customer's bucket."""

from __future__ import annotations

from dataclasses import dataclass

from ....types import CounterReplied
from ...statistics.time_constants import LONG_TIME_CONSTANT_NS
from ..account.counter_calls import CounterCall
from ..account.customer_account import CustomerAccount
from .counter_total import decode_total, refilled_units


@dataclass(slots=True, kw_only=True)
class CounterReading:
    """A customer's bucket just before a call was added to its counter."""

    account: CustomerAccount
    call: CounterCall
    surplus: float  # units refilled beyond those spent; above zero the bucket was full for a while
    tokens: float
    units: float  # requested by the call, without the in-flight slot
    in_flight: float  # requests in flight over all gateways; 0 where they are not counted


def read_counter(
    now: int, account: CustomerAccount, call: CounterCall, event: CounterReplied, in_flight_slot: float
) -> CounterReading:
    """Decode a reply; a new key continues with what was reported of the bucket a short while ago."""
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
