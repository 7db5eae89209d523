"""Which endpoints are listed and disabled, and what address the connection pools go to."""

from __future__ import annotations

from qos_gateway.server.config import Address
from qos_gateway.server.discovery.endpoint_directory import EndpointDirectory
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate
from qos_gateway.types import Health, ListKind, Topology
from tests.support.builders import listed_endpoint

HERE: Address = ("127.0.0.1", 1)
MOVED: Address = ("127.0.0.1", 2)


class FakePools:
    """Remembers the address that each endpoint's pool was given last."""

    def __init__(self) -> None:
        self.addresses: dict[int, Address | None] = {}

    def set_address(self, endpoint: int, address: Address | None) -> None:
        self.addresses[endpoint] = address


def update(kind: ListKind, *entries: tuple[int, Health], address: Address = HERE) -> EndpointUpdate:
    listed = tuple(listed_endpoint(number, health) for number, health in entries)
    return EndpointUpdate(Topology(kind, 1, listed), {number: address for number, _ in entries})


def registry() -> tuple[EndpointDirectory, FakePools]:
    pools = FakePools()
    return EndpointDirectory(pools), pools


def test_whole_list_ends_the_endpoints_that_it_no_longer_names() -> None:
    endpoints, pools = registry()
    endpoints.apply(update(ListKind.FULL, (1, Health.READY), (2, Health.READY)))
    endpoints.apply(update(ListKind.FULL, (2, Health.READY), (3, Health.READY)))
    assert pools.addresses == {1: None, 2: HERE, 3: HERE}
    assert endpoints.listed_count() == 2
    assert not endpoints.is_listed_or_disabled(1)


def test_changes_leave_the_other_endpoints_as_they_are() -> None:
    endpoints, pools = registry()
    endpoints.apply(update(ListKind.FULL, (1, Health.READY), (2, Health.READY), (3, Health.READY)))
    endpoints.apply(update(ListKind.DELTA, (1, Health.DRAINING), (2, Health.REMOVED)))
    assert pools.addresses == {1: None, 2: None, 3: HERE}
    assert endpoints.listed_count() == 2  # a draining endpoint is still listed


def test_disabled_endpoint_has_no_address_until_it_is_enabled_and_then_the_newest() -> None:
    endpoints, pools = registry()
    endpoints.apply(update(ListKind.FULL, (1, Health.READY)))
    endpoints.set_admin_disabled(1, True)
    assert pools.addresses == {1: None}
    endpoints.apply(update(ListKind.FULL, (1, Health.READY), address=MOVED))
    assert pools.addresses == {1: None}
    endpoints.set_admin_disabled(1, False)
    assert pools.addresses == {1: MOVED}


def test_endpoint_disabled_while_it_was_listed_can_still_be_enabled() -> None:
    endpoints, pools = registry()
    endpoints.apply(update(ListKind.FULL, (1, Health.READY)))
    endpoints.disable_all([1, 7])
    endpoints.apply(update(ListKind.FULL))
    assert endpoints.is_listed_or_disabled(1)
    assert endpoints.admin_disabled_count() == 2
    endpoints.set_admin_disabled(1, False)
    assert not endpoints.is_listed_or_disabled(1)
    assert pools.addresses[1] is None
