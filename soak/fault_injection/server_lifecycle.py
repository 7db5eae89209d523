"""Faults that stop, drain or replace order servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Coroutine
from typing import Any

from soak.background_tasks import BackgroundTasks
from soak.discovery_agents import Health
from soak.order_server_fleet import OrderServerFleet
from soak.order_servers import OrderServer
from soak.schedule import Fault, FaultKind

TERMINATED_AFTER_S = 1.0  # from the end of a drain's duration
RETURN_AFTER_S = 2.0  # from the termination of a drained server


class ServerLifecycleFaults:
    """Injects faults that change which order servers are in service."""

    def __init__(self, fleet: OrderServerFleet, tasks: BackgroundTasks) -> None:
        self._fleet = fleet
        self._tasks = tasks
        self._actions: dict[FaultKind, Callable[[OrderServer, float], Coroutine[Any, Any, None]]] = {
            FaultKind.CRASH: self._crash,
            FaultKind.DRAIN: self._drain,
            FaultKind.REPLACE: self._replace,
        }

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults that change which servers are in service."""
        return self._actions.keys()

    def inject(self, fault: Fault) -> None:
        """Begin a fault at the order servers that it targets."""
        for server in self._fleet.select(fault.targets):
            self._tasks.spawn(self._actions[fault.kind](server, fault.duration_s))

    async def _crash(self, server: OrderServer, duration_s: float) -> None:
        """Stop a server, and restart it after the duration."""
        if not server.is_up:
            return
        server.stop()
        await asyncio.sleep(duration_s)
        if not server.is_up:
            self._fleet.restart(server)

    async def _drain(self, server: OrderServer, duration_s: float) -> None:
        """Drain a server, which still responds, and restart it later."""
        if not server.is_up:
            return
        self._fleet.publish(server, Health.TERMINATING)
        await asyncio.sleep(duration_s + TERMINATED_AFTER_S)
        self._fleet.publish(server, Health.TERMINATED)
        await asyncio.sleep(RETURN_AFTER_S)
        server.stop()
        self._fleet.restart(server)

    async def _replace(self, server: OrderServer, duration_s: float) -> None:
        """Drain a server, which does not return, and add a new one."""
        if not server.is_up:
            return
        self._fleet.publish(server, Health.TERMINATING)
        self._fleet.add_new()
        await asyncio.sleep(duration_s + TERMINATED_AFTER_S)
        self._fleet.publish(server, Health.TERMINATED)
