"""All endpoints by id, with indexes that are maintained entry by entry as the endpoint list changes."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

from ...types import Endpoint, Health, ListKind, Topology
from .endpoint_state import EndpointState

NewEndpointState = Callable[[int, Endpoint], EndpointState]  # given the time and the entry of the list


class EndpointRegistry:
    """Endpoints by id, and which of them are usable, in slow start, off the list or disabled."""

    def __init__(self, new_state: NewEndpointState) -> None:
        """Let `new_state` create the state of each endpoint that is new or was restarted."""
        self._new_state = new_state
        self.endpoints: dict[int, EndpointState] = {}
        self.admin_disabled: dict[int, int] = {}  # since when; operators' settings outlast those of the list
        self.ring: list[int] = []  # sorted ids of all usable endpoints: the same order at every gateway
        self.warming_up: set[int] = set()  # ids on the ring whose slow start may not be over
        self.unlisted: set[int] = set()  # ids known but off the list

    def update_list(self, now: int, event: Topology) -> None:
        """Apply a whole list or the changes to it."""
        changed = {entry.id for entry in event.entries}
        is_whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        if is_whole:
            self._unlist_all_except(changed)
            changed |= self.endpoints.keys()
        for entry in event.entries:
            self._update_entry(now, entry)
        if is_whole:  # sorted once: insertion one by one takes quadratic time
            self.ring = sorted(endpoint_id for endpoint_id in changed if self._is_usable(endpoint_id))
        for endpoint_id in changed:
            self.reindex(endpoint_id)

    def _unlist_all_except(self, listed: set[int]) -> None:
        for endpoint_id, state in self.endpoints.items():
            if endpoint_id not in listed:
                state.unlist()

    def _update_entry(self, now: int, entry: Endpoint) -> None:
        state = self.endpoints.get(entry.id)
        if state is None or state.endpoint.started_at != entry.started_at:
            previous = state
            state = self._new_state(now, entry)
            if previous is not None:
                state.continue_after_restart(previous)
            self.endpoints[entry.id] = state
        state.update(
            entry,
            in_service=entry.health is Health.READY,
            listed=entry.health is not Health.REMOVED,
        )

    def set_enabled(self, now: int, endpoint_id: int, enabled: bool) -> None:
        """Take an endpoint out of use whatever the list reports, or put it back into use with a new state."""
        if enabled:
            self._enable(now, endpoint_id)
        else:
            self.admin_disabled.setdefault(endpoint_id, now)
        self.reindex(endpoint_id)

    def _enable(self, now: int, endpoint_id: int) -> None:
        disabled_at = self.admin_disabled.pop(endpoint_id, 0)
        previous = self.endpoints.get(endpoint_id)
        if disabled_at and previous is not None:
            state = self._new_state(now, previous.endpoint)
            state.continue_after_disabling(previous, now, disabled_at)
            self.endpoints[endpoint_id] = state

    def reindex(self, endpoint_id: int) -> None:
        """Update the indexes after a change of one endpoint, at a cost independent of their length."""
        state = self.endpoints.get(endpoint_id)
        if state is None:
            return
        is_usable = self._is_usable(endpoint_id)
        self._place_on_ring(endpoint_id, is_usable)
        if is_usable and state.slow_start_at > 0:
            self.warming_up.add(endpoint_id)
        else:
            self.warming_up.discard(endpoint_id)
        if state.listed:
            self.unlisted.discard(endpoint_id)
        else:
            self.unlisted.add(endpoint_id)

    def _is_usable(self, endpoint_id: int) -> bool:
        return self.endpoints[endpoint_id].in_service and endpoint_id not in self.admin_disabled

    def _place_on_ring(self, endpoint_id: int, is_usable: bool) -> None:
        index = bisect_left(self.ring, endpoint_id)
        is_on_ring = self.ring[index : index + 1] == [endpoint_id]
        if is_usable and not is_on_ring:
            self.ring.insert(index, endpoint_id)
        elif is_on_ring and not is_usable:
            del self.ring[index]

    def excluded_count(self, now: int) -> int:
        """Count the listed endpoints that are disabled by operators or ejected."""
        return sum(
            state.listed and (endpoint_id in self.admin_disabled or now < state.ejected_until)
            for endpoint_id, state in self.endpoints.items()
        )

    def forget_unlisted(self) -> None:
        """Drop unlisted endpoints without attempts in flight, or memory would grow with every new id."""
        unused = [i for i in self.unlisted if not self.endpoints[i].in_flight]
        for endpoint_id in unused:
            self.unlisted.discard(endpoint_id)
            del self.endpoints[endpoint_id]
