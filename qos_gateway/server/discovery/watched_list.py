"""The endpoint list received from the watch; older versions do not undo newer changes."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ...types import Endpoint, Health, ListKind
from ...units import MILLISECOND
from . import field_names
from .endpoint_list import EndpointUpdate

MAX_WITHDRAWN_ENDPOINTS = 1024  # several times the size of a full fleet


class WatchedList:
    """Holds the list's version and JSON entries, and the state of each endpoint in the newest version.

    An agent that lags behind the previous one sends older versions. They are applied, because later deltas
    are based on them. An endpoint that is draining, removed or restarted in the newest version stays so until
    discovery sends that version or a newer one.
    """

    def __init__(self, version: int | None) -> None:
        self.version = version
        self._newest_version = version
        self._raw_entries: dict[str, Any] = {}  # JSON entries by endpoint name
        self._listed_starts: dict[int, int] = {}  # start times by endpoint id, from the newest version
        # Start times by endpoint id of the draining and removed endpoints, the last withdrawn one at the end.
        self._withdrawn_starts: dict[int, int] = {}

    def reconcile(self, update: EndpointUpdate) -> EndpointUpdate | None:
        """Return the update with the newest version's state applied; None for an outdated delta."""
        version = update.topology.version
        if self.version is not None and version < self.version and update.topology.kind is ListKind.DELTA:
            return None
        if self._is_newest(version):
            return update
        entries = tuple(self._apply_newest_state(entry) for entry in update.topology.entries)
        return EndpointUpdate(replace(update.topology, entries=entries), update.addresses)

    def record_cached_list(self, update: EndpointUpdate) -> None:
        """Record a list that was applied before the watch was started."""
        self._record_newest(update)
        self.version = update.topology.version

    def store(self, raw: dict[str, Any], update: EndpointUpdate) -> None:
        """Store an applied update, given as JSON and as parsed."""
        version = update.topology.version
        if update.topology.kind is not ListKind.DELTA:
            self._raw_entries = {}
        self._store_raw_entries(raw, update.topology.entries)
        if self._is_newest(version):
            self._record_newest(update)
        self.version = version

    def snapshot(self) -> dict[str, Any] | None:
        """Return the list as a JSON object; None if it is empty."""
        entries = list(self._raw_entries.values())
        if not entries:
            return None
        return {field_names.VERSION: self.version, field_names.IS_FULL: True, field_names.ENTRIES: entries}

    def _is_newest(self, version: int) -> bool:
        return self._newest_version is None or version >= self._newest_version

    def _apply_newest_state(self, entry: Endpoint) -> Endpoint:
        """Return an older version's entry with the later start time and the drain of the newest version."""
        withdrawn_start = self._withdrawn_starts.get(entry.id)
        if withdrawn_start is not None and withdrawn_start >= entry.started_at:
            health = Health.DRAINING if entry.health is Health.READY else entry.health
            return replace(entry, health=health, started_at=withdrawn_start)
        started_at = max(entry.started_at, self._listed_starts.get(entry.id, 0))
        return entry if started_at == entry.started_at else replace(entry, started_at=started_at)

    def _store_raw_entries(self, raw: dict[str, Any], entries: tuple[Endpoint, ...]) -> None:
        for raw_entry, entry in zip(raw[field_names.ENTRIES], entries, strict=True):
            name = raw_entry[field_names.NAME]
            if raw_entry[field_names.HEALTH] == field_names.HEALTH_REMOVED:
                self._raw_entries.pop(name, None)
                continue
            stored = {**raw_entry, field_names.STARTED_AT_MS: entry.started_at // MILLISECOND}
            if entry.health is Health.DRAINING:
                stored[field_names.HEALTH] = field_names.HEALTH_DRAINING
            self._raw_entries[name] = stored

    def _record_newest(self, update: EndpointUpdate) -> None:
        """Record which endpoints the newest version lists, and which are draining or removed."""
        self._newest_version = update.topology.version
        if update.topology.kind is not ListKind.DELTA:
            listed = {entry.id for entry in update.topology.entries}
            self._record_withdrawn({i: at for i, at in self._listed_starts.items() if i not in listed})
            self._listed_starts = {}
        for entry in update.topology.entries:
            self._withdrawn_starts.pop(entry.id, None)
            self._listed_starts.pop(entry.id, None)
            if entry.health is not Health.READY:
                self._record_withdrawn({entry.id: entry.started_at})
            if entry.health is not Health.REMOVED:
                self._listed_starts[entry.id] = entry.started_at

    def _record_withdrawn(self, starts: dict[int, int]) -> None:
        for endpoint, started_at in starts.items():
            self._withdrawn_starts.pop(endpoint, None)
            self._withdrawn_starts[endpoint] = started_at
        while len(self._withdrawn_starts) > MAX_WITHDRAWN_ENDPOINTS:
            del self._withdrawn_starts[next(iter(self._withdrawn_starts))]
