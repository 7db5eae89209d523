"""The endpoint list as discovery last told it: for the next process, and to recognize outdated updates."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ..types import Endpoint, Health, ListKind
from .endpoint_list import EndpointUpdate

MAX_LEAVING_ENDPOINTS = 1024  # several whole fleets
TERMINATED = "terminated"
TERMINATING = "terminating"


class WatchedList:
    """The list's version, its entries in discovery's form, and what the newest version said of each.

    An agent that lags behind the one before tells of older versions. They are followed, as changes arrive in
    order after them, but what was draining or gone in the newest version stays so until that is passed.
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
        entries = tuple(self._preserve_draining(entry) for entry in update.topology.entries)
        return EndpointUpdate(replace(update.topology, entries=entries), update.addresses)

    def _preserve_draining(self, entry: Endpoint) -> Endpoint:
        if entry.health is Health.READY and self._is_leaving(entry):
            return replace(entry, health=Health.DRAINING)
        return entry

    def _is_leaving(self, entry: Endpoint) -> bool:
        return self._leaving.get(entry.id) == entry.started_at

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
            elif entry.health is Health.DRAINING:
                self._hosts[host["host"]] = {**host, "health": TERMINATING}
            else:
                self._hosts[host["host"]] = host

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
