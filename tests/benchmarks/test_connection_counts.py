"""Who holds connections to whom."""

from __future__ import annotations

import pytest

from benchmarks.connection_counts import FleetShape, count_connections
from benchmarks.design import DESIGN, ZONES

DESIGN_SHAPE = FleetShape(DESIGN.gateways, DESIGN.endpoints)


@pytest.mark.parametrize(("failed_zone", "subset_size"), [(None, 148), (ZONES[0], 124)])
def test_at_the_design_size_subsets_are_small_and_each_endpoint_is_in_ten_or_eleven(
    failed_zone: str | None, subset_size: int
) -> None:
    counts = count_connections(DESIGN_SHAPE, failed_zone)
    assert len(counts.by_gateway) == DESIGN.gateways
    assert set(counts.by_gateway) == {subset_size}
    assert set(counts.by_endpoint) <= {10, 11}
    assert sum(counts.by_endpoint) == subset_size * DESIGN.gateways


def test_in_a_fleet_of_three_every_gateway_connects_to_every_endpoint() -> None:
    counts = count_connections(FleetShape(gateways=3, endpoints=12))
    assert set(counts.by_gateway) == {12}
    assert set(counts.by_endpoint) == {3}
