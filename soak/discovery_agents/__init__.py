"""Discovery: the endpoint list at its source, and the agents that serve it to the gateways over HTTP."""

from soak.discovery_agents.agent import (
    PROPAGATION_DEADLINE_AFTER_MOVE_S,
    PROPAGATION_DEADLINE_S,
    DiscoveryAgent,
)
from soak.discovery_agents.list_source import Health, ListSource

__all__ = [
    "PROPAGATION_DEADLINE_AFTER_MOVE_S",
    "PROPAGATION_DEADLINE_S",
    "DiscoveryAgent",
    "Health",
    "ListSource",
]
