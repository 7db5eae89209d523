"""Parses endpoint lists from discovery's JSON format into the engine's types."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ...types import Endpoint, Health, ListKind, Topology
from ...units import MILLISECOND
from ..config import Address, ConfigError, address
from . import field_names
from .errors import EndpointListError

ENDPOINT_ID_BYTES = 6
_HEALTH_BY_NAME = {
    field_names.HEALTH_READY: Health.READY,
    field_names.HEALTH_DRAINING: Health.DRAINING,
    field_names.HEALTH_REMOVED: Health.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A full list or a delta; `addresses` is keyed by endpoint id and omits removed endpoints."""

    topology: Topology
    addresses: dict[int, Address]


def endpoint_id(name: str) -> int:
    """Return an endpoint's id: a hash of its name, the same in all gateways and after restarts."""
    return int.from_bytes(blake2b(name.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_update(
    raw: Any, zones: Sequence[str], machine_classes: Sequence[str], cached: bool = False
) -> EndpointUpdate:
    """Parse a decoded JSON object; zones and machine classes become indices into the given names.

    `cached` marks a list from the configuration or the previous process, not from discovery. Raises
    `EndpointListError`.
    """
    try:
        addresses: dict[int, Address] = {}
        entries = []
        kind = _list_kind(raw, cached)
        for raw_entry in raw[field_names.ENTRIES]:
            entry = _parse_entry(raw_entry, zones, machine_classes)
            if entry.health is not Health.REMOVED:
                addresses[entry.id] = address(raw_entry[field_names.ADDRESS], field_names.ADDRESS)
            entries.append(entry)
        return EndpointUpdate(Topology(kind, int(raw[field_names.VERSION]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from None


def _list_kind(raw: Any, cached: bool) -> ListKind:
    if cached:
        return ListKind.CACHED
    return ListKind.FULL if raw[field_names.IS_FULL] else ListKind.DELTA


def _parse_entry(raw_entry: dict[str, Any], zones: Sequence[str], machine_classes: Sequence[str]) -> Endpoint:
    return Endpoint(
        id=endpoint_id(raw_entry[field_names.NAME]),
        zone=_index_of(zones, raw_entry.get(field_names.ZONE)),
        machine_class=_index_of(machine_classes, raw_entry.get(field_names.MACHINE_CLASS)),
        cell=int(raw_entry.get(field_names.CELL, 0)),
        health=_HEALTH_BY_NAME[raw_entry[field_names.HEALTH]],
        weight=float(raw_entry.get(field_names.WEIGHT, 1.0)),
        started_at=int(raw_entry.get(field_names.STARTED_AT_MS, 0)) * MILLISECOND,  # Unix time
    )


def _index_of(names: Sequence[str], name: Any) -> int:
    """Return a name's index; names missing from the settings share the index after the last."""
    try:
        return names.index(name)
    except ValueError:
        return len(names)
