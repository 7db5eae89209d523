"""Tracking of responsive and unresponsive zones."""

from __future__ import annotations

import pytest

from qos_gateway.decisions.load_balancing.zones import ZoneTable


@pytest.mark.parametrize(
    ("own", "other", "expected"),
    [(None, 6, True), (4, 6, True), (5, 6, False), (6, 6, False), (4, 5, False), (None, None, False)],
)
def test_zone_without_a_response_is_detected_only_if_another_zone_responded(
    own: int | None, other: int | None, expected: bool
) -> None:
    zones = ZoneTable()
    for zone, at in ((1, own), (2, other)):
        if at is not None:
            zones.record_response(at, zone)
    assert zones.only_others_responded(1, since=5) is expected


def test_zone_found_unresponsive_is_not_detected_again_by_earlier_attempts() -> None:
    zones = ZoneTable()
    zones.record_response(6, 2)
    assert zones.only_others_responded(1, since=5)
    zones.record_unresponsive(6, 1)
    assert not zones.only_others_responded(1, since=5)
    zones.record_response(8, 2)
    assert zones.only_others_responded(1, since=7)


def test_attempts_sent_up_to_the_detection_are_lost_with_the_zone() -> None:
    zones = ZoneTable()
    assert not zones.was_found_unresponsive_since(1, 0)
    zones.record_unresponsive(6, 1)
    assert [zones.was_found_unresponsive_since(1, at) for at in (5, 6, 7)] == [True, True, False]
    assert not zones.was_found_unresponsive_since(2, 5)
