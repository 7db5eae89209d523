"""Names in discovery's HTTP API and JSON format, with the corresponding names in the code."""

from __future__ import annotations

from typing import Final

# The request that opens a watch, with the version of the gateway's list; 0 without a list.
WATCH_TARGET: Final = "/api/targets?stream=1&index={version}"

# An update: a full list or a delta.
VERSION: Final = "seq"  # Topology.version
IS_FULL: Final = "whole"  # Topology.kind: ListKind.FULL if true, ListKind.DELTA if false
ENTRIES: Final = "hosts"  # Topology.entries

# An entry of an update.
NAME: Final = "host"  # hashed to Endpoint.id
ADDRESS: Final = "dial"  # EndpointUpdate.addresses
ZONE: Final = "site"  # Endpoint.zone
MACHINE_CLASS: Final = "class"  # Endpoint.machine_class
CELL: Final = "block"  # Endpoint.cell
HEALTH: Final = "health"  # Endpoint.health
WEIGHT: Final = "share"  # Endpoint.weight
STARTED_AT_MS: Final = "born_ms"  # Endpoint.started_at, which is in ns

# Values of the health field.
HEALTH_READY: Final = "in_service"  # Health.READY
HEALTH_DRAINING: Final = "terminating"  # Health.DRAINING
HEALTH_REMOVED: Final = "terminated"  # Health.REMOVED
