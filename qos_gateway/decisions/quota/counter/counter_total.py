"""Encoding of the shared counters: their keys, and totals that combine usage and in-flight count."""

from __future__ import annotations

from dataclasses import dataclass

from ....units import SECOND

COUNTER_KEY_LIFETIME_NS = 60 * SECOND  # longest lifetime that the counter allows; then a new key follows
IN_FLIGHT_UNIT = 10_000.0  # weight of one request in flight in a total; above the units of a key's lifetime


def counter_key(customer_id: int, period: int) -> int:
    """Return the counter key of a customer for a period; keys repeat after 65,536 periods."""
    return customer_id << 16 | period & 0xFFFF


def customer_of(key: int) -> int:
    """Return the customer id in a counter key."""
    return key >> 16


@dataclass(slots=True)
class CounterTotal:
    """A decoded total of a counter, which adds up the usage since its key's lifetime began."""

    in_flight: float  # requests in flight at all gateways; 0 if they are not counted
    spent_units: float  # includes corrections


def decode_total(total: float, counts_in_flight: bool) -> CounterTotal:
    """Decode a total; its units may be negative, down to minus half of `IN_FLIGHT_UNIT`."""
    in_flight = (total + IN_FLIGHT_UNIT / 2) // IN_FLIGHT_UNIT if counts_in_flight else 0.0
    return CounterTotal(in_flight, total - in_flight * IN_FLIGHT_UNIT)


def refilled_units(rate: float, sent_at: int) -> float:
    """Return the units refilled at `rate` (units per second) since the key's lifetime began."""
    return rate * (sent_at % COUNTER_KEY_LIFETIME_NS) / SECOND
