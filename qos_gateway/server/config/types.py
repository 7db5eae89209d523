"""The typed configuration of one gateway, and which part of it a running gateway takes up."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TypeAlias

from ...types import Settings
from .json_values import JsonObject

Address: TypeAlias = tuple[str, int]
"""Host and port, in the form that asyncio and the socket module take."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that one gateway is configured with. Durations are in nanoseconds."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_bytes: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peer_broadcast: Address | None
    cached_list: JsonObject | None  # the last list of endpoints, in discovery's form
    settings: Settings
    classes: tuple[bytes, ...]
    plans: tuple[bytes, ...]
    zones: tuple[str, ...]
    machine_classes: tuple[str, ...]
    connect_timeout: int
    connection_idle: int
    counter: Address | None
    counter_timeout: int
    admin: Address | None  # of the operators' API; None turns it off
    inherited_descriptor: int | None  # of the clients' listening socket, where the platform holds it
    shared_folder: str | None  # shared with the process before this one and the one after it


RELOADABLE = frozenset({"counter", "discovery"})
USED_AT_START_ONLY = frozenset({"seed", "cached_list"})  # a change of these has nothing to take effect on

# How the configuration calls what has another name here.
CONFIGURATION_KEYS = {
    "max_descriptors": "limits.sockets",
    "memory_bytes": "limits.memory_mb",
    "peer_broadcast": "peers_all",
    "plans": "packages",
    "machine_classes": "kinds",
    "connect_timeout": "connectTimeout",
    "connection_idle": "connIdle",
    "counter_timeout": "counterTimeout",
    "admin": "operator",
    "inherited_descriptor": "ROUTER_PASSED_SOCKET",
    "shared_folder": "TMPDIR",
}


def needs_restart(old: Config, new: Config) -> list[str]:
    """Return the configuration's keys whose change a running gateway does not take up."""
    names = [each.name for each in fields(Config) if each.name not in RELOADABLE | USED_AT_START_ONLY]
    changed = [name for name in names if getattr(old, name) != getattr(new, name)]
    return [CONFIGURATION_KEYS.get(name, name) for name in changed]
