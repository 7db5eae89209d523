"""Lists in discovery's form, and their sizes: bytes, which no machine's speed changes."""

from __future__ import annotations

from benchmarks.design import DESIGN, ZONES
from benchmarks.discovery_updates import encode_full_list, endpoint_records, parse_line
from benchmarks.endpoint_lists import measure_sizes
from qos_gateway.types import ListKind


def test_list_of_the_design_size_is_read_whole_and_an_entry_takes_under_150_bytes() -> None:
    data = encode_full_list(DESIGN.endpoints)
    topology = parse_line(data).topology
    assert topology.kind is ListKind.FULL
    assert len({entry.id for entry in topology.entries}) == DESIGN.endpoints
    assert 130 < len(data) / DESIGN.endpoints < 150
    assert {entry.zone for entry in topology.entries} == set(range(len(ZONES)))


def test_lists_of_one_seed_are_the_same() -> None:
    assert endpoint_records(50) == endpoint_records(50) != endpoint_records(50, seed=2)


def test_change_takes_the_same_bytes_whatever_the_list_and_a_zone_a_sixth_of_it() -> None:
    short = measure_sizes(60)
    long = measure_sizes(600)
    assert short.change == long.change < 200
    assert 0.15 < long.zone_outage / long.full < 0.18
    assert long.zone_outage < long.zone_outage_one_by_one < 1.4 * long.zone_outage
