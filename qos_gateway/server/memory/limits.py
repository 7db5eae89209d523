"""Limits of a process that follow from its memory limit."""

from __future__ import annotations

from dataclasses import dataclass

# Resident memory of a process before its parts are built, where it is not measured.
NOMINAL_AT_REST_BYTES = 27 << 20
# For what no use counts: fragments, garbage, and code that runs first under load.
MARGIN_BYTES = 1 << 20
MIN_CAPACITY_BYTES = 2 << 20
# Memory of one idle connection with its transport and the parts of its protocol.
CLIENT_CONNECTION_BYTES = 4352
ENDPOINT_CONNECTION_BYTES = 4352
REQUEST_BYTES = 3 << 10  # an open request with its first attempt, apart from its body
BUFFER_GROWTH_FACTOR = 1.125  # by which a `bytearray` grows beyond its content
REMEMBERED_ID_BYTES = 80
CUSTOMER_BYTES = 1400  # an account with its commitment
# Fractions of the capacity that these may use at most; the remainder is always left to data.
CLIENT_CONNECTIONS_FRACTION = 0.44
ENDPOINT_CONNECTIONS_FRACTION = 0.14
CUSTOMERS_FRACTION = 0.15
REMEMBERED_IDS_FRACTION = 0.03


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryLimits:
    """The memory left for what peers cause, and the limits that it sets."""

    limit_bytes: int
    at_rest_bytes: int

    @property
    def capacity_bytes(self) -> int:
        """The memory for all that peers cause the process to hold."""
        return max(MIN_CAPACITY_BYTES, self.limit_bytes - self.at_rest_bytes - MARGIN_BYTES)

    @property
    def max_client_connections(self) -> int:
        """The number of client connections at most."""
        return int(self.capacity_bytes * CLIENT_CONNECTIONS_FRACTION) // CLIENT_CONNECTION_BYTES

    @property
    def max_endpoint_connections(self) -> int:
        """The number of connections to endpoints at most."""
        return int(self.capacity_bytes * ENDPOINT_CONNECTIONS_FRACTION) // ENDPOINT_CONNECTION_BYTES

    @property
    def max_customers(self) -> int:
        """The number of customers with state at most."""
        return int(self.capacity_bytes * CUSTOMERS_FRACTION) // CUSTOMER_BYTES

    @property
    def max_remembered_ids(self) -> int:
        """The number of ids of executed requests that are remembered at most."""
        return int(self.capacity_bytes * REMEMBERED_IDS_FRACTION) // REMEMBERED_ID_BYTES
