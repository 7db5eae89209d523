"""The listed and the administratively disabled endpoints, and the address for each connection pool."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from ...types import Endpoint, Health, ListKind
from ..config import Address
from .endpoint_list import EndpointUpdate


class AddressListener(Protocol):
    """Opens connections to endpoints at the addresses it is given."""

    def set_address(self, endpoint: int, address: Address | None) -> None:
        """Set the address for new connections to an endpoint; None stops new connections."""


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint's list entry and its address."""

    entry: Endpoint
    address: Address


class EndpointDirectory:
    """Holds the listed endpoints with their addresses, and the set of endpoints disabled by operators."""

    def __init__(self, endpoint_connections: AddressListener) -> None:
        self._endpoint_connections = endpoint_connections
        self._listed: dict[int, ListedEndpoint] = {}
        self._admin_disabled: set[int] = set()

    def listed_count(self) -> int:
        """Return the number of listed endpoints, including draining ones."""
        return len(self._listed)

    def admin_disabled_count(self) -> int:
        """Return the number of endpoints disabled by operators, listed or not."""
        return len(self._admin_disabled)

    def find_listed(self, endpoint: int) -> Endpoint | None:
        """Return an endpoint's list entry; None if it is not listed."""
        listed = self._listed.get(endpoint)
        return None if listed is None else listed.entry

    def is_listed_or_disabled(self, endpoint: int) -> bool:
        """Return whether the admin API accepts an endpoint: disabled ones can be enabled even if unlisted."""
        return endpoint in self._listed or endpoint in self._admin_disabled

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a delta, or a full list, which also removes the endpoints that it omits."""
        if update.topology.kind is not ListKind.DELTA:
            self._remove_unlisted({entry.id for entry in update.topology.entries})
        for entry in update.topology.entries:
            self._apply_entry(entry, update.addresses)

    def set_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Disable or enable an endpoint, independently of its listed health."""
        if disabled:
            self._admin_disabled.add(endpoint)
        else:
            self._admin_disabled.discard(endpoint)
        self._update_address(endpoint)

    def disable_all(self, endpoints: Iterable[int]) -> None:
        """Disable the endpoints that were disabled in the previous process."""
        for endpoint in endpoints:
            self.set_admin_disabled(endpoint, True)

    def _remove_unlisted(self, listed_ids: set[int]) -> None:
        for endpoint in self._listed.keys() - listed_ids:
            del self._listed[endpoint]
            self._update_address(endpoint)

    def _apply_entry(self, entry: Endpoint, addresses: dict[int, Address]) -> None:
        if entry.health is Health.REMOVED:
            self._listed.pop(entry.id, None)
        else:
            self._listed[entry.id] = ListedEndpoint(entry, addresses[entry.id])
        self._update_address(entry.id)

    def _update_address(self, endpoint: int) -> None:
        self._endpoint_connections.set_address(endpoint, self._usable_address(endpoint))

    def _usable_address(self, endpoint: int) -> Address | None:
        """Return the address for new connections; None unless the endpoint is ready and enabled."""
        listed = self._listed.get(endpoint)
        if listed is None or listed.entry.health is not Health.READY or endpoint in self._admin_disabled:
            return None
        return listed.address
