"""The endpoint directory: listed and disabled endpoints, and the addresses of the connection pools."""

from __future__ import annotations

from qos_gateway.server.config import Address
from qos_gateway.server.discovery.endpoint_directory import EndpointDirectory
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate
from qos_gateway.types import Health, ListKind, Topology
from tests.support.builders import listed_endpoint

ADDRESS: Address = ("127.0.0.1", 1)
NEW_ADDRESS: Address = ("127.0.0.1", 2)


class FakePools:
    """Records the latest address set for each endpoint's pool."""

    def __init__(self) -> None:
        self.addresses: dict[int, Address | None] = {}

    def set_address(self, endpoint: int, address: Address | None) -> None:
        self.addresses[endpoint] = address


def update(kind: ListKind, *entries: tuple[int, Health], address: Address = ADDRESS) -> EndpointUpdate:
    listed = tuple(listed_endpoint(number, health) for number, health in entries)
    return EndpointUpdate(Topology(kind, 1, listed), {number: address for number, _ in entries})


def create_directory() -> tuple[EndpointDirectory, FakePools]:
    pools = FakePools()
    return EndpointDirectory(pools), pools


def test_full_list_removes_the_endpoints_that_it_omits() -> None:
    directory, pools = create_directory()
    directory.apply(update(ListKind.FULL, (1, Health.READY), (2, Health.READY)))
    directory.apply(update(ListKind.FULL, (2, Health.READY), (3, Health.READY)))
    assert pools.addresses == {1: None, 2: ADDRESS, 3: ADDRESS}
    assert directory.listed_count() == 2
    assert not directory.is_listed_or_disabled(1)


def test_delta_does_not_change_other_endpoints() -> None:
    directory, pools = create_directory()
    directory.apply(update(ListKind.FULL, (1, Health.READY), (2, Health.READY), (3, Health.READY)))
    directory.apply(update(ListKind.DELTA, (1, Health.DRAINING), (2, Health.REMOVED)))
    assert pools.addresses == {1: None, 2: None, 3: ADDRESS}
    assert directory.listed_count() == 2  # a draining endpoint is still listed


def test_disabled_endpoint_gets_its_latest_address_when_it_is_enabled() -> None:
    directory, pools = create_directory()
    directory.apply(update(ListKind.FULL, (1, Health.READY)))
    directory.set_admin_disabled(1, True)
    assert pools.addresses == {1: None}
    directory.apply(update(ListKind.FULL, (1, Health.READY), address=NEW_ADDRESS))
    assert pools.addresses == {1: None}
    directory.set_admin_disabled(1, False)
    assert pools.addresses == {1: NEW_ADDRESS}


def test_disabled_endpoint_can_be_enabled_after_it_was_removed_from_the_list() -> None:
    directory, pools = create_directory()
    directory.apply(update(ListKind.FULL, (1, Health.READY)))
    directory.disable_all([1, 7])
    directory.apply(update(ListKind.FULL))
    assert directory.is_listed_or_disabled(1)
    assert directory.admin_disabled_count() == 2
    directory.set_admin_disabled(1, False)
    assert not directory.is_listed_or_disabled(1)
    assert pools.addresses[1] is None
