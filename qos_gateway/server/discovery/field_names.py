"""Names in discovery's HTTP interface and JSON form, beside the code's terms."""

from __future__ import annotations

from typing import Final

# The request that opens a watch, with the version that this gateway has, 0 without any.
WATCH_TARGET: Final = "/api/targets?stream=1&index={version}"

# An update: the full list, or changes to it.
VERSION: Final = "seq"  # Topology.version
IS_FULL: Final = "whole"  # Topology.kind: ListKind.FULL where true, ListKind.DELTA where false
ENTRIES: Final = "hosts"  # Topology.entries

# An entry of an update.
NAME: Final = "host"  # Endpoint.id is its hash
ADDRESS: Final = "dial"  # EndpointUpdate.addresses
ZONE: Final = "site"  # Endpoint.zone
MACHINE_CLASS: Final = "class"  # Endpoint.machine_class
CELL: Final = "block"  # Endpoint.cell
HEALTH: Final = "health"  # Endpoint.health
WEIGHT: Final = "share"  # Endpoint.weight
STARTED_AT_MS: Final = "born_ms"  # Endpoint.started_at, there in ns

# Values of an entry's health.
HEALTH_READY: Final = "in_service"  # Health.READY
HEALTH_DRAINING: Final = "terminating"  # Health.DRAINING
HEALTH_REMOVED: Final = "terminated"  # Health.REMOVED
