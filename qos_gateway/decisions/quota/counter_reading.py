"""What a counter's total says of a customer's bucket."""

from __future__ import annotations

from dataclasses import dataclass

from ...types import CounterReplied
from .account import CustomerAccount
from .counter_total import decode_total, refilled_units
from .pending_calls import CounterCall


@dataclass(slots=True)
class CounterReading:
    """A customer's bucket just before a call was added to its counter."""

    account: CustomerAccount
    call: CounterCall
    surplus: float  # units refilled beyond those spent; above zero the bucket was full for a while
    tokens: float
    units: float  # asked for by the call, without the in-flight slot
    in_flight: float  # requests in flight over all gateways; 0 where they are not counted


def read_counter(
    now: int,
    account: CustomerAccount,
    call: CounterCall,
    event: CounterReplied,
    in_flight_slot: float,
    memory: int,
) -> CounterReading:
    """Take a reply apart; what was reported of the bucket within `memory` ns goes over to a new key."""
    burst = account.plan.burst
    before = decode_total(event.total - call.amount - call.unreported, in_flight_slot > 0)
    if account.counter_key != event.key:
        known = account.reported_tokens if now - account.reported_at < memory else burst
        account.begin_key(event.key, known)
    refilled = refilled_units(account.plan.rate, now - event.elapsed)
    surplus = refilled - before.spent_units - account.initial_deficit
    tokens = min(burst, burst + surplus) - call.unreported
    units = max(0.0, call.amount - in_flight_slot)
    return CounterReading(account, call, surplus, tokens, units, before.in_flight)
