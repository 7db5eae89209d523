"""Connections between gateways and endpoints, by the fleet's size."""

from __future__ import annotations

from dataclasses import dataclass, replace
from statistics import mean

from benchmarks.design import DESIGN, START, ZONES
from benchmarks.discovery_updates import encode_full_list, parse_line
from benchmarks.engines import ENGINE_SEED
from benchmarks.tables import Column, print_table, report_progress
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Endpoint, Health, ListKind, Topology
from tests.support.builders import settings


@dataclass(frozen=True)
class FleetShape:
    """Numbers of gateways and of the endpoints that they use."""

    gateways: int
    endpoints: int


FLEET_SHAPES = (FleetShape(3, 12), FleetShape(48, 710), FleetShape(DESIGN.gateways, DESIGN.endpoints))


@dataclass(frozen=True)
class ConnectionCounts:
    """Endpoints in each gateway's subset, and gateways whose subset holds each endpoint."""

    shape: FleetShape
    failed_zone: str | None
    by_gateway: tuple[int, ...]
    by_endpoint: tuple[int, ...]


def list_without_zone(endpoints: int, failed_zone: str | None) -> tuple[Endpoint, ...]:
    """Return a list in which the endpoints of the failed zone, if any, are removed."""
    entries = parse_line(encode_full_list(endpoints)).topology.entries
    if failed_zone is None:
        return entries
    failed_zone_index = ZONES.index(failed_zone)
    return tuple(
        replace(entry, health=Health.REMOVED) if entry.zone == failed_zone_index else entry
        for entry in entries
    )


def count_connections(shape: FleetShape, failed_zone: str | None = None) -> ConnectionCounts:
    """Return the connections of a fleet, with all zones or with one that has failed."""
    engine = DecisionEngine(settings(gateway_count=shape.gateways, may_message=False), ENGINE_SEED, START)
    entries = list_without_zone(shape.endpoints, failed_zone)
    engine.handle(START, Topology(ListKind.FULL, 1, entries))
    load_balancer = engine.load_balancer
    by_gateway = []
    by_endpoint = dict.fromkeys(load_balancer.registry.ring, 0)
    for position in range(shape.gateways):
        # The ring is the same at every gateway; only the position on it differs.
        load_balancer.settings = replace(load_balancer.settings, position=position)
        subset = load_balancer.subset(START)
        by_gateway.append(len(subset))
        for state in subset:
            by_endpoint[state.endpoint.id] += 1
    return ConnectionCounts(
        shape=shape,
        failed_zone=failed_zone,
        by_gateway=tuple(by_gateway),
        by_endpoint=tuple(by_endpoint.values()),
    )


COLUMNS: tuple[Column[ConnectionCounts], ...] = (
    Column("gateways", lambda row: row.shape.gateways),
    Column("endpoints", lambda row: row.shape.endpoints),
    Column("zone outage", lambda row: row.failed_zone or "none"),
    Column("a gateway's: min", lambda row: min(row.by_gateway)),
    Column("mean", lambda row: mean(row.by_gateway)),
    Column("max", lambda row: max(row.by_gateway)),
    Column("gateways of one endpoint: min", lambda row: min(row.by_endpoint)),
    Column("mean", lambda row: mean(row.by_endpoint)),
    Column("max", lambda row: max(row.by_endpoint)),
    Column("pairs in all", lambda row: sum(row.by_gateway)),
)


def main() -> None:
    """Print the connections by the fleet's size, with all zones and with one that has failed."""
    rows = []
    for shape in FLEET_SHAPES:
        report_progress(f"connections of {shape.gateways} gateways to {shape.endpoints:,} endpoints")
        rows += [count_connections(shape, failed_zone) for failed_zone in (None, ZONES[0])]
    print_table("Who holds connections to whom (endpoints among which a gateway chooses)", COLUMNS, rows)


if __name__ == "__main__":
    main()
