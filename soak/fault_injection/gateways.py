"""Faults at the gateways' processes: restarts, reloads, pauses and maintenance."""

from __future__ import annotations

from collections.abc import Callable, Collection, Coroutine, Sequence
from typing import Any

from soak.background_tasks import BackgroundTasks
from soak.discovery_agents import ListSource
from soak.gateways import Gateway
from soak.order_server_fleet import OrderServerFleet
from soak.schedule import Fault, FaultKind

LAGGING_VERSIONS = 6  # by which a lagging agent's list is old


class GatewayFaults:
    """Injects faults at the gateways that they target."""

    def __init__(
        self,
        gateways: Sequence[Gateway],
        fleet: OrderServerFleet,
        source: ListSource,
        tasks: BackgroundTasks,
    ) -> None:
        self._gateways = gateways
        self._fleet = fleet
        self._source = source
        self._tasks = tasks
        self._actions: dict[FaultKind, Callable[[Gateway, float], Coroutine[Any, Any, None] | None]] = {
            FaultKind.RESTART: lambda gateway, _: gateway.restart(),
            FaultKind.KILL: lambda gateway, _: gateway.kill(),
            FaultKind.RELOAD: lambda gateway, _: gateway.reload(),
            FaultKind.RELOAD_TORN: lambda gateway, _: gateway.reload(torn_first=True),
            FaultKind.RELOAD_SILENT: lambda gateway, _: gateway.reload_to_silent_agent(),
            FaultKind.RELOAD_LAGGING: lambda gateway, _: gateway.reload_to_lagging_agent(
                self._lagging_version()
            ),
            FaultKind.RELOAD_SERIES: lambda gateway, _: gateway.reload_in_series(),
            FaultKind.RESTART_SERIES: lambda gateway, _: gateway.restart_with_more_signals(),
            FaultKind.PAUSE: lambda gateway, _: gateway.pause(),
            FaultKind.MAINTENANCE: self._maintain,
        }

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults at the gateways' processes."""
        return self._actions.keys()

    def inject(self, fault: Fault) -> None:
        """Begin a fault at each gateway that it targets."""
        for position in fault.targets:
            coroutine = self._actions[fault.kind](self._gateways[position], fault.duration_s)
            if coroutine is not None:
                self._tasks.spawn(coroutine)

    def _lagging_version(self) -> int:
        return max(1, self._source.version - LAGGING_VERSIONS)

    def _maintain(self, gateway: Gateway, duration_s: float) -> Coroutine[Any, Any, None]:
        """Disable an order server at a gateway, another one at each."""
        server = self._fleet.select((gateway.position,))[0]
        return gateway.maintain(server, duration_s)
