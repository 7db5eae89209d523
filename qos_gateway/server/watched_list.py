"""The endpoint list as discovery last told it: for the next process, and to recognize outdated updates."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ..types import Endpoint, Health, ListKind
from .endpoint_list import EndpointUpdate

MAX_LEAVING_ENDPOINTS = 1024  # several whole fleets


class WatchedList:
    """The list's version, its entries in discovery's form, and which endpoints are draining or removed."""

    def __init__(self, version: int | None) -> None:
        self.version = version
        self._hosts: dict[str, Any] = {}  # discovery's entries by name
        self._leaving: dict[
            int, int
        ] = {}  # start times of draining and removed endpoints, oldest update first

    def reconcile(self, update: EndpointUpdate) -> EndpointUpdate | None:
        """Return the update as far as it holds; None for changes that are out of date.

        An agent that lags behind the previous one may send an older whole list. It is followed, as changes
        arrive in order after it, but an endpoint once told to drain goes on draining.
        """
        if self.version is None or update.topology.version >= self.version:
            return update
        if update.topology.kind is not ListKind.FULL:
            return None
        entries = tuple(self._preserve_draining(entry) for entry in update.topology.entries)
        return EndpointUpdate(replace(update.topology, entries=entries), update.addresses)

    def _preserve_draining(self, entry: Endpoint) -> Endpoint:
        if self._leaving.get(entry.id) == entry.started_at:
            return replace(entry, health=Health.DRAINING)
        return entry

    def store(self, raw: dict[str, Any], update: EndpointUpdate) -> None:
        """Note an update that is in force, in both forms."""
        if update.topology.kind is ListKind.FULL:
            self._hosts = {}
        self._store_hosts(raw)
        self._store_leaving(update.topology.entries)
        self.version = update.topology.version

    def adopt(self, raw: dict[str, Any], version: int) -> None:
        """Replace the list by the one of the previous process."""
        self._hosts = {}
        self._store_hosts(raw)
        self.version = version

    def snapshot(self) -> dict[str, Any] | None:
        """Return the list in discovery's form; None without any entry."""
        hosts = list(self._hosts.values())
        return {"seq": self.version, "whole": True, "hosts": hosts} if hosts else None

    def _store_hosts(self, raw: dict[str, Any]) -> None:
        for host in raw["hosts"]:
            if host["health"] == "terminated":
                self._hosts.pop(host["host"], None)
            else:
                self._hosts[host["host"]] = host

    def _store_leaving(self, entries: tuple[Endpoint, ...]) -> None:
        for entry in entries:
            self._leaving.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._leaving[entry.id] = entry.started_at
        while len(self._leaving) > MAX_LEAVING_ENDPOINTS:
            del self._leaving[next(iter(self._leaving))]
