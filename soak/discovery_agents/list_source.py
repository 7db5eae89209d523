"""The endpoint list at its source, in all its versions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from soak.observations import ListChange
from soak.order_servers import OrderServer
from soak.settings import MACHINE_CLASS


class Health(Enum):
    """An order server's state in the list."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the list at one version."""

    server: OrderServer
    health: Health
    born_ms: int

    def encode(self, gateway: int) -> dict[str, Any]:
        """Return the entry in discovery's form, with the address that this gateway uses."""
        return {
            "host": self.server.name,
            "dial": self.server.address(gateway),
            "site": self.server.zone,
            "class": MACHINE_CLASS,
            "block": self.server.cell,
            "health": self.health.value,
            "share": 1.0,
            "born_ms": self.born_ms,
        }


class PublishedChange(NamedTuple):
    """An entry as it was published, and the observation of it."""

    entry: Entry
    observation: ListChange


class ListSource:
    """The list with all its versions; each version changes one entry."""

    def __init__(self) -> None:
        self.changes: list[PublishedChange] = []  # change number n makes version n + 1
        self._subscribers: list[Callable[[], None]] = []
        self._time = asyncio.get_running_loop().time

    @property
    def version(self) -> int:
        """Return the newest version."""
        return len(self.changes)

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._subscribers.append(on_change)

    def publish(self, server: OrderServer, health: Health) -> None:
        """Change an entry, and notify all subscribers."""
        change = ListChange(
            server=server.number,
            at=self._time(),
            in_service=health is Health.IN_SERVICE,
            began_at=server.began_at,
        )
        entry = Entry(server, health, int(server.born_at * 1000))
        self.changes.append(PublishedChange(entry, change))
        for on_change in self._subscribers:
            on_change()

    def entries_at(self, version: int) -> dict[str, Entry]:
        """Return all entries of a version by name."""
        entries: dict[str, Entry] = {}
        for entry, _ in self.changes[:version]:
            entries[entry.server.name] = entry
        return {n: entry for n, entry in entries.items() if entry.health is not Health.TERMINATED}

    def snapshot(self, version: int, gateway: int, with_draining: bool = True) -> dict[str, Any]:
        """Return all entries in discovery's form; a reader takes those that are missing as terminated."""
        entries = self.entries_at(version).values()
        listed = [e for e in entries if with_draining or e.health is Health.IN_SERVICE]
        return {"seq": version, "whole": True, "hosts": [e.encode(gateway) for e in listed]}

    def delta(self, after: int, version: int, gateway: int) -> dict[str, Any]:
        """Return the entries that changed after one version, in discovery's form."""
        entries = {entry.server.name: entry for entry, _ in self.changes[after:version]}
        return {"seq": version, "whole": False, "hosts": [e.encode(gateway) for e in entries.values()]}
