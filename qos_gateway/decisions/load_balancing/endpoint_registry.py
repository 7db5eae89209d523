"""Registry of all endpoints, with indexes that are updated incrementally as the endpoint list changes."""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable, Mapping

from ...types import Endpoint, Health, ListKind, Topology
from ...units import SECOND
from ..snapshot import EndpointSnapshot
from .endpoint_state import EndpointState, SlowStartBucket

MAX_LISTING_DELAY_NS = 10 * SECOND  # an endpoint is listed within this time of its start


class EndpointRegistry:
    """Tracks all endpoints by id, and which of them are usable, unlisted or disabled."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.endpoints: dict[int, EndpointState] = {}
        # When operators disabled endpoints, by id; list updates do not change it.
        self.admin_disabled: dict[int, int] = {}
        self.ring: list[int] = []  # ids of the usable endpoints, sorted: every gateway has the same order
        self.unlisted: set[int] = set()  # ids of known endpoints that are not in the endpoint list
        self._list_received_at: int | None = None  # last full or delta list from the discovery agent

    def _new_state(self, now: int, endpoint: Endpoint) -> EndpointState:
        # Starts with a random fraction of a token: with a full one, all gateways would send at the same time.
        bucket = SlowStartBucket(self._rng.random(), now)
        return EndpointState(endpoint, bucket, self._corrected_start(now, endpoint.started_at))

    def _corrected_start(self, now: int, reported: int) -> int:
        """Return `now` if a reported start time is implausible by this process's clock, else 0.

        A start time in the future is implausible, and so is one long before the last list, which would
        have contained the endpoint.
        """
        is_future = reported > now
        is_too_old = (
            self._list_received_at is not None and reported < self._list_received_at - MAX_LISTING_DELAY_NS
        )
        return now if reported and (is_future or is_too_old) else 0

    def update_list(self, now: int, event: Topology) -> set[int]:
        """Apply a full or delta list; return the ids of endpoints that may have changed."""
        changed = {entry.id for entry in event.entries}
        is_full = event.kind in (ListKind.FULL, ListKind.CACHED)
        if is_full:
            self._unlist_all_except(changed)
            changed |= self.endpoints.keys()
        for entry in event.entries:
            self._update_entry(now, entry)
        if event.kind in (ListKind.FULL, ListKind.DELTA):
            self._list_received_at = now
        if is_full:  # one sort: inserting the endpoints one by one takes quadratic time
            self.ring = sorted(endpoint_id for endpoint_id in changed if self.is_usable(endpoint_id))
        for endpoint_id in changed:
            self._reindex(endpoint_id)
        return changed

    def _unlist_all_except(self, listed: set[int]) -> None:
        for endpoint_id, state in self.endpoints.items():
            if endpoint_id not in listed:
                state.mark_out_of_service()
                self.unlisted.add(endpoint_id)

    def _update_entry(self, now: int, entry: Endpoint) -> None:
        state = self.endpoints.get(entry.id)
        if state is None or state.endpoint.started_at != entry.started_at:
            previous = state
            state = self._new_state(now, entry)
            if previous is not None:
                state.continue_after_restart(previous)
            self.endpoints[entry.id] = state
        state.update(entry)
        if entry.health is Health.REMOVED:
            self.unlisted.add(entry.id)
        else:
            self.unlisted.discard(entry.id)

    def set_enabled(self, now: int, endpoint_id: int, enabled: bool) -> None:
        """Disable an endpoint regardless of its listed health, or enable it with a new state."""
        if enabled:
            self._enable(now, endpoint_id)
        else:
            self.admin_disabled.setdefault(endpoint_id, now)
        self._reindex(endpoint_id)

    def _enable(self, now: int, endpoint_id: int) -> None:
        disabled_at = self.admin_disabled.pop(endpoint_id, 0)
        previous = self.endpoints.get(endpoint_id)
        if disabled_at and previous is not None:
            state = self._new_state(now, previous.endpoint)
            state.continue_after_disabling(previous, now, disabled_at)
            self.endpoints[endpoint_id] = state

    def _reindex(self, endpoint_id: int) -> None:
        """Update the ring after a change to one endpoint, without scanning the others."""
        if endpoint_id in self.endpoints:
            self._update_ring(endpoint_id, self.is_usable(endpoint_id))

    def is_usable(self, endpoint_id: int) -> bool:
        """Return whether a known endpoint is in service and not disabled, even if it is ejected."""
        return self.endpoints[endpoint_id].in_service and endpoint_id not in self.admin_disabled

    def _update_ring(self, endpoint_id: int, is_usable: bool) -> None:
        index = bisect_left(self.ring, endpoint_id)
        is_on_ring = self.ring[index : index + 1] == [endpoint_id]
        if is_usable and not is_on_ring:
            self.ring.insert(index, endpoint_id)
        elif is_on_ring and not is_usable:
            del self.ring[index]

    def excluded_count(self, now: int) -> int:
        """Count the listed endpoints that are disabled by operators or ejected."""
        return sum(
            endpoint_id not in self.unlisted
            and (endpoint_id in self.admin_disabled or now < state.ejected_until)
            for endpoint_id, state in self.endpoints.items()
        )

    def remove_unlisted(self) -> None:
        """Remove unlisted endpoints that have no attempts in flight, to bound memory."""
        unused = [i for i in self.unlisted if not self.endpoints[i].in_flight]
        for endpoint_id in unused:
            self.unlisted.discard(endpoint_id)
            del self.endpoints[endpoint_id]

    def capture(self) -> tuple[EndpointSnapshot, ...]:
        """Return the state of all endpoints; their slow start tokens move to the next process."""
        snapshots = tuple(state.capture() for state in self.endpoints.values())
        for state in self.endpoints.values():
            state.slow_start_bucket.empty()
        return snapshots

    def restore(
        self, now: int, snapshots: Iterable[EndpointSnapshot], admin_disabled: Mapping[int, int]
    ) -> set[int]:
        """Restore endpoints that have not restarted since; return the ids of those that may have changed."""
        captured = set()
        for snapshot in snapshots:
            captured.add(snapshot.endpoint)
            state = self.endpoints.get(snapshot.endpoint)
            if state is not None and state.can_restore(snapshot):
                state.restore(now, snapshot)
        self.admin_disabled.update(admin_disabled)
        changed = self.admin_disabled.keys() | captured
        for endpoint_id in changed:
            self._reindex(endpoint_id)
        return changed
