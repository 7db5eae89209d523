"""The typed configuration of one gateway."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ...types import Settings
from .json_values import JsonObject

Address: TypeAlias = tuple[str, int]
"""Host and port, in the form that asyncio and the socket module take."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Config:
    """Configuration of one gateway. Durations are in ns."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    memory_bytes: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peer_broadcast: Address | None
    cached_list: JsonObject | None  # the last known endpoint list, in discovery's form
    settings: Settings
    classes: tuple[bytes, ...]
    plans: tuple[bytes, ...]
    zones: tuple[str, ...]
    machine_classes: tuple[str, ...]
    connect_timeout: int
    connection_idle: int
    counter: Address | None
    counter_timeout: int
    admin: Address | None  # of the admin API; None: no admin API
    inherited_descriptor: int | None  # of the clients' listening socket, if the platform passes it
    shared_folder: str | None  # shared by successive processes of the gateway
