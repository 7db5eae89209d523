"""The endpoints as discovery and the operators have them, and what follows for the connection pools."""

from __future__ import annotations

from collections.abc import Iterable

from ...types import Endpoint, Health, ListKind
from ..config import Address
from ..endpoints.connections import EndpointConnections
from .endpoint_list import EndpointUpdate


class EndpointDirectory:
    """Knows which endpoints are listed, where the ready ones are, and which are administratively disabled."""

    def __init__(self, endpoint_connections: EndpointConnections) -> None:
        self._endpoint_connections = endpoint_connections
        self._listed: dict[int, Endpoint] = {}
        self._addresses: dict[int, Address] = {}  # of those that are ready
        self._admin_disabled: set[int] = set()

    def listed_count(self) -> int:
        """Count the listed endpoints, draining ones too."""
        return len(self._listed)

    def admin_disabled_count(self) -> int:
        """Count the endpoints that operators have disabled, listed or not."""
        return len(self._admin_disabled)

    def find_listed(self, endpoint: int) -> Endpoint | None:
        """Return the list's entry of an endpoint, None where it is not listed."""
        return self._listed.get(endpoint)

    def is_listed_or_disabled(self, endpoint: int) -> bool:
        """Return whether operators may name an endpoint: one gone from the list can still be enabled."""
        return endpoint in self._listed or endpoint in self._admin_disabled

    def apply(self, update: EndpointUpdate) -> None:
        """Take in a list, or changes to it: a whole list ends what it no longer names."""
        if update.topology.kind is not ListKind.DELTA:
            self._remove_unnamed({entry.id for entry in update.topology.entries})
        for entry in update.topology.entries:
            self._apply_entry(entry, update.addresses)

    def set_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Follow an operator's word on an endpoint, whatever the list says of it."""
        if disabled:
            self._admin_disabled.add(endpoint)
        else:
            self._admin_disabled.discard(endpoint)
        self._update_pool(endpoint)

    def disable_all(self, endpoints: Iterable[int]) -> None:
        """Disable the endpoints that were disabled in the process before."""
        for endpoint in endpoints:
            self.set_admin_disabled(endpoint, True)

    def _remove_unnamed(self, named: set[int]) -> None:
        for endpoint in self._listed.keys() - named:
            self._addresses.pop(endpoint, None)
            self._endpoint_connections.set_address(endpoint, None)
        self._listed = {}

    def _apply_entry(self, entry: Endpoint, addresses: dict[int, Address]) -> None:
        if entry.health is Health.READY:
            self._addresses[entry.id] = addresses[entry.id]
        else:
            self._addresses.pop(entry.id, None)
        self._update_pool(entry.id)
        if entry.health is Health.REMOVED:
            self._listed.pop(entry.id, None)
        else:
            self._listed[entry.id] = entry

    def _update_pool(self, endpoint: int) -> None:
        """Have new connections go to the listed address, or nowhere while the endpoint is disabled."""
        address = None if endpoint in self._admin_disabled else self._addresses.get(endpoint)
        self._endpoint_connections.set_address(endpoint, address)
