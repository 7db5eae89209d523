"""The outage of a zone as discovery announces it."""

from __future__ import annotations

from benchmarks.zone_outage import measure_zone_outage


def test_zone_outage_is_announced_as_one_object_or_as_one_for_each_endpoint() -> None:
    together = measure_zone_outage(60, one_by_one=False, repeats=1)
    one_by_one = measure_zone_outage(60, one_by_one=True, repeats=1)
    assert (together.removed_endpoints, together.objects) == (10, 1)
    assert (one_by_one.removed_endpoints, one_by_one.objects) == (10, 10)
    assert together.size_bytes < one_by_one.size_bytes
