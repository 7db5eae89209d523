"""Outage of a zone as discovery publishes it to one gateway: bytes and processor time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.design import DESIGN, START, ZONES
from benchmarks.discovery_updates import (
    ListUpdate,
    encode_full_list,
    encode_update,
    endpoint_records,
    health_update,
    parse_line,
    records_in_zone,
)
from benchmarks.engines import make_engine
from benchmarks.measurement import REPEATS, cpu_seconds
from benchmarks.tables import Column, print_timed_table, report_progress
from qos_gateway.units import SECOND

LIST_LENGTHS = (800, DESIGN.endpoints)
FIRST_CHANGE_SEQUENCE = 2  # follows the sequence number of the full list


@dataclass(frozen=True)
class ZoneOutageCost:
    """Cost of a zone's outage at one gateway."""

    endpoints: int
    one_by_one: bool  # one object for each endpoint
    removed_endpoints: int
    objects: int
    size_bytes: int
    cpu_ms: float  # decoding, parsing and the decision engine


def zone_outage_updates(endpoints: int, one_by_one: bool) -> list[ListUpdate]:
    """Return the objects that announce the outage of the first zone."""
    affected = records_in_zone(endpoint_records(endpoints), ZONES[0])
    if not one_by_one:
        return [health_update(affected, "terminated")]
    return [
        health_update([record], "terminated", sequence)
        for sequence, record in enumerate(affected, FIRST_CHANGE_SEQUENCE)
    ]


def measure_zone_outage(endpoints: int, one_by_one: bool, repeats: int = REPEATS) -> ZoneOutageCost:
    """Return the cost of a zone outage with a list of `endpoints` endpoints."""
    updates = zone_outage_updates(endpoints, one_by_one)
    lines = [encode_update(update) for update in updates]
    full = parse_line(encode_full_list(endpoints)).topology
    engines = [make_engine(position) for position in range(repeats)]
    for engine in engines:
        engine.handle(START, full)
    unused_engines = iter(engines)

    def apply_updates() -> None:
        engine = next(unused_engines)
        for line in lines:
            engine.handle(START + SECOND, parse_line(line).topology)

    return ZoneOutageCost(
        endpoints=endpoints,
        one_by_one=one_by_one,
        removed_endpoints=sum(len(update["hosts"]) for update in updates),
        objects=len(lines),
        size_bytes=sum(map(len, lines)),
        cpu_ms=1000 * cpu_seconds(apply_updates, repeats),
    )


COLUMNS: tuple[Column[ZoneOutageCost], ...] = (
    Column("endpoints", lambda row: row.endpoints),
    Column("announced", lambda row: "one by one" if row.one_by_one else "one object"),
    Column("entries", lambda row: row.removed_endpoints),
    Column("objects", lambda row: row.objects),
    Column("size (B)", lambda row: row.size_bytes),
    Column("at 14 KB/s (s)", lambda row: row.size_bytes / DESIGN.control_bytes_per_s),
    Column("cpu (ms)", lambda row: row.cpu_ms),
    Column("at 3.8% of a core (s)", lambda row: row.cpu_ms / 1000 / DESIGN.control_core_fraction),
)


def main(lengths: Sequence[int] = LIST_LENGTHS) -> None:
    """Print the cost of a zone outage by the list's length."""
    rows = []
    for endpoints in lengths:
        report_progress(f"zone outage: a list of {endpoints:,} endpoints")
        rows += [measure_zone_outage(endpoints, one_by_one) for one_by_one in (False, True)]
    print_timed_table("A zone outage as announced to one gateway", COLUMNS, rows)


if __name__ == "__main__":
    main()
