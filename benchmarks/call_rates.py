"""Rates of calls to the quota counter, as measured for one fleet or extrapolated from several."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from benchmarks.design import DESIGN
from benchmarks.quota_audit import FleetCounts
from benchmarks.regression import fit_line
from benchmarks.tables import Column


@dataclass(frozen=True)
class CallRates:
    """Requests and calls per second of a fleet, and its adherence to the quotas."""

    label: str
    has_usage_meter: bool
    gateways: int
    requests_per_s: float
    calls_per_s: float
    calls_per_request: float
    answered_per_s: float
    overloaded_per_s: float
    granted_fraction: float
    unpaid_fraction: float
    over_ceiling_per_s: float
    over_in_flight_limit_per_s: float


CALL_RATE_COLUMNS: tuple[Column[CallRates], ...] = (
    Column("counter", lambda rates: rates.label),
    Column("meter", lambda rates: "on" if rates.has_usage_meter else "off"),
    Column("gateways", lambda rates: rates.gateways),
    Column("requests/s", lambda rates: rates.requests_per_s),
    Column("calls/s", lambda rates: rates.calls_per_s),
    Column("calls/request", lambda rates: rates.calls_per_request),
    Column("answered/s", lambda rates: rates.answered_per_s),
    Column("overloaded/s", lambda rates: rates.overloaded_per_s),
    Column("granted (fraction)", lambda rates: rates.granted_fraction),
    Column("over-quota price (fraction)", lambda rates: rates.unpaid_fraction),
    Column("over ceiling/s", lambda rates: rates.over_ceiling_per_s),
    Column("over in-flight limit/s", lambda rates: rates.over_in_flight_limit_per_s),
)


def measured_rates(label: str, has_usage_meter: bool, counts: FleetCounts) -> CallRates:
    """Return the rates of one simulated fleet."""
    return CallRates(
        label=label,
        has_usage_meter=has_usage_meter,
        gateways=counts.gateways,
        requests_per_s=counts.per_second(counts.offered),
        calls_per_s=counts.per_second(counts.calls),
        calls_per_request=counts.calls_per_request,
        answered_per_s=counts.per_second(counts.answered_calls),
        overloaded_per_s=counts.per_second(counts.overloaded_calls),
        granted_fraction=counts.granted_fraction,
        unpaid_fraction=counts.unpaid_fraction,
        over_ceiling_per_s=counts.per_second(counts.over_ceiling),
        over_in_flight_limit_per_s=counts.per_second(counts.over_in_flight_limit),
    )


def extrapolated_rates(label: str, has_usage_meter: bool, fleets: Sequence[FleetCounts]) -> CallRates:
    """Return the rates at the design size: each by its least-squares line over requests per second."""
    requests_per_s = [counts.per_second(counts.offered) for counts in fleets]

    def extrapolate(count_of: Callable[[FleetCounts], int]) -> float:
        rates = [counts.per_second(count_of(counts)) for counts in fleets]
        return max(0.0, fit_line(requests_per_s, rates).at(DESIGN.requests_per_s))

    calls_per_s = extrapolate(lambda counts: counts.calls)
    offered_within_quota = extrapolate(lambda counts: counts.offered_within_quota)
    sent_within_quota = extrapolate(lambda counts: counts.sent_within_quota)
    sent_unpaid = extrapolate(lambda counts: counts.sent_unpaid)
    return CallRates(
        label=f"{label}, extrapolated",
        has_usage_meter=has_usage_meter,
        gateways=DESIGN.gateways,
        requests_per_s=DESIGN.requests_per_s,
        calls_per_s=calls_per_s,
        calls_per_request=calls_per_s / DESIGN.requests_per_s,
        answered_per_s=extrapolate(lambda counts: counts.answered_calls),
        overloaded_per_s=extrapolate(lambda counts: counts.overloaded_calls),
        granted_fraction=sent_within_quota / offered_within_quota,
        unpaid_fraction=sent_unpaid / offered_within_quota,
        over_ceiling_per_s=extrapolate(lambda counts: counts.over_ceiling),
        over_in_flight_limit_per_s=extrapolate(lambda counts: counts.over_in_flight_limit),
    )


@dataclass(frozen=True)
class LabelledCounts:
    """The counts of a simulation, and what was special in it."""

    label: str
    counts: FleetCounts


UNANSWERED_COLUMN = Column[LabelledCounts](
    "unanswered/s", lambda row: row.counts.per_second(row.counts.unanswered_calls)
)
FAULT_COLUMNS: tuple[Column[LabelledCounts], ...] = (
    Column("fault", lambda row: row.label),
    Column("gateways", lambda row: row.counts.gateways),
    Column("calls/s", lambda row: row.counts.per_second(row.counts.calls)),
    Column("answered/s", lambda row: row.counts.per_second(row.counts.answered_calls)),
    UNANSWERED_COLUMN,
    Column("granted (fraction)", lambda row: row.counts.granted_fraction),
    Column("over-quota price (fraction)", lambda row: row.counts.unpaid_fraction),
    Column("over ceiling/s", lambda row: row.counts.per_second(row.counts.over_ceiling)),
)
