"""Endpoint lists in discovery's JSON form, read into the engine's types."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ...types import Endpoint, Health, ListKind, Topology
from ...units import MILLISECOND
from ..config import Address, ConfigError, address

ENDPOINT_ID_BYTES = 6
_HEALTH = {"in_service": Health.READY, "terminating": Health.DRAINING, "terminated": Health.REMOVED}


class ListError(ValueError):
    """A list that cannot be read."""


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """One version of the list, or changes to it; `addresses` is by id, without the removed endpoints."""

    topology: Topology
    addresses: dict[int, Address]


def endpoint_id(host: str) -> int:
    """Return an endpoint's number: a hash of its name, so that all gateways and restarts agree on it."""
    return int.from_bytes(blake2b(host.encode(), digest_size=ENDPOINT_ID_BYTES).digest(), "big")


def parse_update(
    raw: Any, zones: Sequence[str], machine_classes: Sequence[str], cached: bool = False
) -> EndpointUpdate:
    """Read a decoded JSON object; zones and machine classes become indices into the names given.

    `cached` marks a list that did not come from discovery itself. Raises `ListError`.
    """
    try:
        addresses: dict[int, Address] = {}
        entries = []
        kind = _list_kind(raw, cached)
        for host in raw["hosts"]:
            entry = _parse_entry(host, zones, machine_classes)
            if entry.health is not Health.REMOVED:
                addresses[entry.id] = address(host["dial"], "dial")
            entries.append(entry)
        return EndpointUpdate(Topology(kind, int(raw["seq"]), tuple(entries)), addresses)
    except (AttributeError, KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None


def _list_kind(raw: Any, cached: bool) -> ListKind:
    if cached:
        return ListKind.CACHED
    return ListKind.FULL if raw["whole"] else ListKind.DELTA


def _parse_entry(host: dict[str, Any], zones: Sequence[str], machine_classes: Sequence[str]) -> Endpoint:
    return Endpoint(
        id=endpoint_id(host["host"]),
        zone=_index_of(zones, host.get("site")),
        machine_class=_index_of(machine_classes, host.get("class")),
        cell=int(host.get("block", 0)),
        health=_HEALTH[host["health"]],
        weight=float(host.get("share", 1.0)),
        started_at=int(host.get("born_ms", 0)) * MILLISECOND,  # Unix time, as the engine's clock
    )


def _index_of(names: Sequence[str], name: Any) -> int:
    """Return a name's index; all names that the settings lack share the index after the last."""
    try:
        return names.index(name)
    except ValueError:
        return len(names)
