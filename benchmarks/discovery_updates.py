"""Endpoint lists in the JSON form of the discovery service."""

from __future__ import annotations

import json
import random
from collections.abc import Sequence
from typing import TypedDict

from benchmarks.design import ENDPOINT_TYPES, LIST_CREATED_AT_S, SECONDS_PER_DAY, ZONES
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate, parse_update

LARGE_TYPE_PROBABILITY = 0.3
START_TIME_PROBABILITY = 0.5  # discovery publishes the start time of only a part of the endpoints
OLDEST_START_S = 5 * SECONDS_PER_DAY
ENDPOINTS_PER_CELL = 20
ENDPOINTS_PER_SUBNET = 250  # limit of the last byte of an IPv4 address

# One endpoint as JSON object; the functional form, because "class" is a keyword.
EndpointRecord = TypedDict(
    "EndpointRecord",
    {
        "host": str,
        "dial": str,
        "site": str,
        "class": str,
        "block": int,
        "health": str,
        "share": float,
        "born_ms": int,
    },
)


class ListUpdate(TypedDict):
    """One JSON object of a watch: all endpoints, or those that changed."""

    seq: int
    whole: bool
    hosts: list[EndpointRecord]


def endpoint_record(index: int, rng: random.Random, address: str | None = None) -> EndpointRecord:
    """Return one endpoint, at an address of its own unless `address` is given."""
    zone = index % len(ZONES)
    is_large = rng.random() < LARGE_TYPE_PROBABILITY
    subnet = index // ENDPOINTS_PER_SUBNET % ENDPOINTS_PER_SUBNET
    own_address = f"10.{zone + 1}.{subnet}.{index % ENDPOINTS_PER_SUBNET + 1}:6379"
    return {
        "host": f"s-{rng.getrandbits(32):08x}",
        "dial": address or own_address,
        "site": ZONES[zone],
        "class": ENDPOINT_TYPES[is_large],
        "block": index // ENDPOINTS_PER_CELL,
        "health": "in_service",
        "share": 2.0 if is_large else 1.0,
        "born_ms": _start_time_ms(rng),
    }


def _start_time_ms(rng: random.Random) -> int:
    """Return the Unix time of an endpoint's start, or 0 where discovery does not know it."""
    if rng.random() >= START_TIME_PROBABILITY:
        return 0
    return (LIST_CREATED_AT_S - rng.randrange(OLDEST_START_S)) * 1000


def endpoint_records(count: int, seed: int = 1, address: str | None = None) -> list[EndpointRecord]:
    """Return `count` endpoints spread evenly over the zones; the same ones for the same seed."""
    rng = random.Random(seed)
    return [endpoint_record(index, rng, address) for index in range(count)]


def records_in_zone(records: Sequence[EndpointRecord], zone: str) -> list[EndpointRecord]:
    """Return the endpoints of one zone."""
    return [record for record in records if record["site"] == zone]


def full_update(records: Sequence[EndpointRecord], sequence: int = 1) -> ListUpdate:
    """Return the object that publishes the full list."""
    return {"seq": sequence, "whole": True, "hosts": list(records)}


def health_update(
    records: Sequence[EndpointRecord], health: str = "terminating", sequence: int = 2
) -> ListUpdate:
    """Return the object that publishes a new health of these endpoints."""
    changed: list[EndpointRecord] = [{**record, "health": health} for record in records]
    return {"seq": sequence, "whole": False, "hosts": changed}


def encode_update(update: ListUpdate) -> bytes:
    """Return the update as the discovery agent writes it: compact JSON on a line."""
    return json.dumps(update, separators=(",", ":")).encode() + b"\n"


def encode_full_list(endpoints: int) -> bytes:
    """Return the line that publishes a full list of `endpoints` endpoints."""
    return encode_update(full_update(endpoint_records(endpoints)))


def parse_line(line: bytes) -> EndpointUpdate:
    """Return the update that a line of a discovery watch holds."""
    return parse_update(json.loads(line), ZONES, ENDPOINT_TYPES)
