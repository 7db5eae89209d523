"""Faults in how order servers accept connections and respond."""

from __future__ import annotations

from collections.abc import Collection

from soak.order_server_fleet import OrderServerFleet
from soak.schedule import Fault, FaultKind

KINDS = frozenset(
    {
        FaultKind.HANG,
        FaultKind.SLOW,
        FaultKind.RESET,
        FaultKind.BUSY,
        FaultKind.ERROR,
        FaultKind.LARGE,
        FaultKind.LOST_RESPONSE,
        FaultKind.MALFORMED,
        FaultKind.IDLE_CLOSE,
        FaultKind.UNACCEPTING,
    }
)


class ServerResponseFaults:
    """Injects faults that order servers show while they stay in service."""

    def __init__(self, fleet: OrderServerFleet) -> None:
        self._fleet = fleet

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults that servers show by themselves."""
        return KINDS

    def inject(self, fault: Fault) -> None:
        """Begin a fault at the order servers that it targets."""
        for server in self._fleet.select(fault.targets):
            server.begin_fault(fault.kind, fault.duration_s)
