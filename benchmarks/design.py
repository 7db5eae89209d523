"""The fleet size to design for, and the zones, endpoint types and clock that all benchmarks share."""

from __future__ import annotations

from dataclasses import dataclass

from qos_gateway.units import SECOND

ZONES = ("west-a", "west-b", "west-c", "east-a", "east-b", "east-c")
ENDPOINT_TYPES = ("std-4core", "std-8core")
LIST_CREATED_AT_S = 1_790_000_000  # Unix time; fixed, so that all lists of one seed are the same
SECONDS_PER_DAY = 86_400
START = (LIST_CREATED_AT_S + SECONDS_PER_DAY) * SECOND  # ns; a day later no endpoint is in its slow start


@dataclass(frozen=True)
class DesignSize:
    """The fleet that docs/CAPACITY.md answers for, and a gateway's budgets for control traffic."""

    gateways: int = 480
    endpoints: int = 7_100
    customers: int = 11_000
    requests_per_s: float = 97_000.0
    control_core_fraction: float = 0.038
    control_bytes_per_s: float = 14_000.0
    restarts_per_day: int = 1_300
    counter_calls_per_s: float = 750.0

    @property
    def requests_per_s_and_gateway(self) -> float:
        """Return the requests per second that arrive at one gateway."""
        return self.requests_per_s / self.gateways


DESIGN = DesignSize()
