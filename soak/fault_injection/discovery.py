"""Faults of the discovery agents."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence

from soak.discovery_agents import DiscoveryAgent
from soak.gateways import Gateway
from soak.schedule import Fault, FaultKind


class DiscoveryFaults:
    """Injects faults into the agents that gateways currently use."""

    def __init__(self, gateways: Sequence[Gateway]) -> None:
        self._gateways = gateways
        self._actions: dict[FaultKind, Callable[[DiscoveryAgent, float], None]] = {
            FaultKind.WATCH_SILENT: lambda agent, _: agent.mute_watches(),
            FaultKind.WATCH_RESET: lambda agent, _: agent.reset_watches(),
            FaultKind.DISCOVERY_DOWN: lambda agent, duration_s: agent.take_down(duration_s),
        }

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults of discovery."""
        return self._actions.keys()

    def inject(self, fault: Fault) -> None:
        """Begin a fault at the agent of each gateway that it targets."""
        for position in fault.targets:
            self._actions[fault.kind](self._gateways[position].agent, fault.duration_s)
