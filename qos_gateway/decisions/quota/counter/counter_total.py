"""Layout of the shared counters: their keys, and usage and in-flight count in one number."""

from __future__ import annotations

from dataclasses import dataclass

from ....units import SECOND

COUNTER_KEY_LIFETIME_NS = 60 * SECOND  # the longest that the counter allows; then a new key follows
IN_FLIGHT_UNIT = 10_000.0  # one request in flight, in a total: above all units of a lifetime


def counter_key(customer_id: int, period: int) -> int:
    """Return the key for a customer's numbered period; it repeats after 65,536 periods."""
    return customer_id << 16 | period & 0xFFFF


def customer_of(key: int) -> int:
    """Return the customer to whom a counter belongs."""
    return key >> 16


@dataclass(slots=True)
class CounterTotal:
    """A counter's total, decoded."""

    in_flight: float  # requests in flight over all gateways; 0 where they are not counted
    spent_units: float  # since the key's lifetime began, less the corrections


def decode_total(total: float, counts_in_flight: bool) -> CounterTotal:
    """Decode a total; its units may be negative, by up to half of an in-flight unit."""
    in_flight = (total + IN_FLIGHT_UNIT / 2) // IN_FLIGHT_UNIT if counts_in_flight else 0.0
    return CounterTotal(in_flight, total - in_flight * IN_FLIGHT_UNIT)


def refilled_units(rate: float, sent_at: int) -> float:
    """Return the units by which a bucket of that rate (units per second) was refilled under its key."""
    return rate * (sent_at % COUNTER_KEY_LIFETIME_NS) / SECOND
