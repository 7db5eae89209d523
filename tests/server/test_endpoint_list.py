"""Parsing of discovery's endpoint lists."""

from __future__ import annotations

import time
from typing import Any

import pytest

from qos_gateway.server.discovery.endpoint_list import endpoint_id, parse_update
from qos_gateway.server.discovery.errors import EndpointListError
from qos_gateway.types import Endpoint, Health, ListKind
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.gateway_harness import gateway_harness

ZONES, MACHINE_CLASSES = ("a", "b"), ("m1", "m2")


def test_entry_is_parsed() -> None:
    entry = endpoint_entry("s-5be2a07c", 6379, "terminating", born_ms=1_700_000_000_123, block=3)
    update = parse_update(endpoint_list(41, entry, whole=False), ZONES, MACHINE_CLASSES)
    assert update.topology.kind is ListKind.DELTA
    assert update.topology.version == 41
    expected_id = endpoint_id("s-5be2a07c")
    started_at = 1_700_000_000_123_000_000
    expected = Endpoint(
        id=expected_id,
        zone=0,
        machine_class=1,
        cell=3,
        health=Health.DRAINING,
        weight=1.0,
        started_at=started_at,
    )
    assert update.topology.entries == (expected,)
    assert update.addresses == {expected_id: (LOOPBACK, 6379)}


def test_endpoint_id_depends_on_the_name_alone() -> None:
    # A fixed value detects a change of the hash: gateways of two versions may run at the same time.
    assert endpoint_id("s-5be2a07c") == 54393183237098
    assert endpoint_id("s-5be2a07d") != endpoint_id("s-5be2a07c")


def test_unknown_start_time_stays_zero_and_a_recent_one_uses_the_engine_clock() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            now_ms = time.time_ns() // 1_000_000
            entries = endpoint_entry("old", 1, born_ms=0), endpoint_entry("new", 2, born_ms=now_ms)
            harness.discovery.send_update(endpoint_list(2, *entries))
            endpoints = harness.gateway.dispatcher.engine.load_balancer.registry.endpoints
            await wait_until(lambda: endpoint_id("new") in endpoints)
            assert endpoints[endpoint_id("old")].endpoint.started_at == 0
            start = harness.process.config.settings.initial_capacity_fraction
            fraction = harness.gateway.dispatcher.engine.load_balancer.slow_start.capacity_fraction(
                harness.gateway.clock(), endpoints[endpoint_id("new")]
            )
            assert start <= fraction < 1.0

    run_on_loop(test)


def test_terminated_entry_needs_no_address() -> None:
    raw: dict[str, Any] = {"seq": 2, "whole": False, "hosts": [{"host": "s-1", "health": "terminated"}]}
    update = parse_update(raw, ZONES, MACHINE_CLASSES)
    assert update.topology.entries[0].health is Health.REMOVED
    assert update.addresses == {}


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": 1, "whole": True},
        endpoint_list(1, {"host": "s"}),
        endpoint_list(1, endpoint_entry("s", 1, "odd")),
        {"seq": "x", "whole": True, "hosts": []},
        endpoint_list(1, endpoint_entry("s", 1) | {"dial": "nowhere"}),
    ],
)
def test_invalid_list_raises_a_list_error(raw: Any) -> None:
    with pytest.raises(EndpointListError):
        parse_update(raw, ZONES, MACHINE_CLASSES)


@pytest.mark.parametrize("field", ["seq", "block", "born_ms"])
def test_infinite_number_is_invalid(field: str) -> None:
    """Python's JSON parser accepts Infinity, and converting it to int raises OverflowError."""
    raw = endpoint_list(1, endpoint_entry("s-1", 1))
    (raw if field == "seq" else raw["hosts"][0])[field] = float("inf")
    with pytest.raises(EndpointListError):
        parse_update(raw, ("a",), ("m1",))
