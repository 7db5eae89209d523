"""The operations of the admin API on the running gateway."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ...decisions.load_balancing.load_balancer import LoadBalancer
from ..clients.connections import ClientConnections
from ..discovery.endpoint_directory import EndpointDirectory
from ..discovery.endpoint_list import endpoint_id
from ..handover.handover import Handover
from ..memory.budget import MemoryBudget
from ..memory.monitor import MemoryMonitor
from ..observability.metrics import Gauges, Metrics, render
from ..requests.open_requests import OpenRequests


class OtherProcess(Protocol):
    """The other process of this gateway during an upgrade."""

    async def broadcast_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Forward an operator's change if the process is running; wait briefly for its acknowledgement."""


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class AdminDependencies:
    """The components that the operations read and change."""

    clients: ClientConnections
    requests: OpenRequests
    endpoint_directory: EndpointDirectory
    metrics: Metrics
    memory: MemoryBudget
    memory_monitor: MemoryMonitor | None  # None where the memory of the process is not measured
    load_balancer: LoadBalancer
    handover: Handover
    other_process: OtherProcess | None  # None if no other process can take over


class AdminOperations:
    """The operations of the admin API, independent of HTTP."""

    def __init__(self, dependencies: AdminDependencies, clock: Callable[[], int]) -> None:
        self._dependencies = dependencies
        self._clock = clock

    def accepts_clients(self) -> bool:
        """Return whether new client connections are served."""
        return self._dependencies.clients.is_accepting()

    def render_metrics(self) -> bytes:
        """Return all metrics in their text format."""
        dependencies = self._dependencies
        excluded = dependencies.load_balancer.excluded_count(self._clock())
        monitor = dependencies.memory_monitor
        gauges = Gauges(
            open_requests=dependencies.requests.unanswered_count(),
            listed_endpoints=dependencies.endpoint_directory.listed_count(),
            excluded_endpoints=excluded,
            memory_held=dependencies.memory.held,
            memory_capacity=dependencies.memory.capacity_bytes,
            memory_waiting=dependencies.memory.waiting_count(),
            memory_resident=0 if monitor is None else monitor.resident_bytes(),
        )
        return render(dependencies.metrics, gauges)

    async def set_endpoint_disabled(self, name: str, disabled: bool) -> bool:
        """Disable or enable an endpoint in this process and the other one; return False if it is unknown."""
        endpoint = endpoint_id(name)
        if not self._dependencies.endpoint_directory.is_listed_or_disabled(endpoint):
            return False
        self._dependencies.handover.apply_admin_disabled(endpoint, disabled)
        if self._dependencies.other_process is not None:
            await self._dependencies.other_process.broadcast_admin_disabled(endpoint, disabled)
        return True
