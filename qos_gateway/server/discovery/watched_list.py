"""The endpoint list as discovery last told it: for the next process, and to recognize outdated updates."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ...types import Endpoint, Health, ListKind
from ...units import MILLISECOND
from .endpoint_list import EndpointUpdate

MAX_LEAVING_ENDPOINTS = 1024  # several whole fleets
TERMINATED = "terminated"
TERMINATING = "terminating"


class WatchedList:
    """The list's version, its entries in discovery's form, and what the newest version said of each.

    An agent that lags behind the one before tells of older versions. They are followed, as changes arrive in
    order after them, but what drained, was gone or had restarted in the newest version stays so until then.
    """

    def __init__(self, version: int | None) -> None:
        self.version = version
        self._newest_version = version
        self._hosts: dict[str, Any] = {}  # discovery's entries by name
        self._listed: dict[int, int] = {}  # start times by id, as the newest version lists them
        # Start times of endpoints that drain or are gone, the latest last.
        self._leaving: dict[int, int] = {}

    def reconcile(self, update: EndpointUpdate) -> EndpointUpdate | None:
        """Return the update as far as it holds; None for changes that are out of date."""
        version = update.topology.version
        if self.version is not None and version < self.version and update.topology.kind is ListKind.DELTA:
            return None
        if self._newest_version is None or version >= self._newest_version:
            return update
        entries = tuple(self._preserve_newest(entry) for entry in update.topology.entries)
        return EndpointUpdate(replace(update.topology, entries=entries), update.addresses)

    def _preserve_newest(self, entry: Endpoint) -> Endpoint:
        """Return an older version's entry with what the newest one told of its latest start and its drain."""
        left = self._leaving.get(entry.id)
        if left is not None and left >= entry.started_at:
            health = Health.DRAINING if entry.health is Health.READY else entry.health
            return replace(entry, health=health, started_at=left)
        started_at = max(entry.started_at, self._listed.get(entry.id, 0))
        return entry if started_at == entry.started_at else replace(entry, started_at=started_at)

    def note_known(self, update: EndpointUpdate) -> None:
        """Note a list that was known before the start, and is in force until a newer one comes."""
        self._store_newest(update)
        self.version = update.topology.version

    def store(self, raw: dict[str, Any], update: EndpointUpdate) -> None:
        """Note an update that is in force, in both forms."""
        version = update.topology.version
        if update.topology.kind is not ListKind.DELTA:
            self._hosts = {}
        self._store_hosts(raw, update.topology.entries)
        if self._newest_version is None or version >= self._newest_version:
            self._store_newest(update)
        self.version = version

    def _store_hosts(self, raw: dict[str, Any], entries: tuple[Endpoint, ...]) -> None:
        for host, entry in zip(raw["hosts"], entries, strict=True):
            if host["health"] == TERMINATED:
                self._hosts.pop(host["host"], None)
                continue
            stored = {**host, "born_ms": entry.started_at // MILLISECOND}
            if entry.health is Health.DRAINING:
                stored["health"] = TERMINATING
            self._hosts[host["host"]] = stored

    def _store_newest(self, update: EndpointUpdate) -> None:
        """Note which endpoints the newest version lists, and which drain or are gone."""
        self._newest_version = update.topology.version
        if update.topology.kind is not ListKind.DELTA:
            named = {entry.id for entry in update.topology.entries}
            self._note_leaving({i: at for i, at in self._listed.items() if i not in named})
            self._listed = {}
        for entry in update.topology.entries:
            self._leaving.pop(entry.id, None)
            self._listed.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._note_leaving({entry.id: entry.started_at})
            if entry.health is not Health.REMOVED:
                self._listed[entry.id] = entry.started_at

    def _note_leaving(self, endpoints: dict[int, int]) -> None:
        for endpoint, started_at in endpoints.items():
            self._leaving.pop(endpoint, None)
            self._leaving[endpoint] = started_at
        while len(self._leaving) > MAX_LEAVING_ENDPOINTS:
            del self._leaving[next(iter(self._leaving))]

    def snapshot(self) -> dict[str, Any] | None:
        """Return the list in discovery's form; None without any entry."""
        hosts = list(self._hosts.values())
        return {"seq": self.version, "whole": True, "hosts": hosts} if hosts else None
