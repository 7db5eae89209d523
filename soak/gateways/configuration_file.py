"""The configuration file of one gateway, and the addresses that it names."""

from __future__ import annotations

import json
import random

from soak.counter_server import CounterListener, CounterServer
from soak.discovery_agents import DiscoveryAgent
from soak.gateways.launch import GatewaySetup
from soak.gateways.settings_keys import Addresses, configuration

AGENTS = 2  # one is named by the configuration, the other by the next one
MAX_CACHED_AGE = 8  # versions by which the cached list of a new process may be old


class ConfigurationFile:
    """Names one of two discovery agents and one of two addresses of the counter, and can swap them."""

    def __init__(self, setup: GatewaySetup, position: int) -> None:
        self.path = setup.folder / f"n{position}.json"
        self.agents = [
            DiscoveryAgent(
                position, setup.source, setup.record, random.Random(f"agent {setup.seed} {position} {n}")
            )
            for n in range(AGENTS)
        ]
        self._counters: list[CounterListener] = []
        self._setup = setup
        self._position = position
        self._rng = random.Random(f"gateway {setup.seed} {position}")
        self._process = 0
        self._admin_address = ""

    @property
    def agent(self) -> DiscoveryAgent:
        """Return the agent that the configuration names."""
        return self.agents[0]

    async def listen(self, counter: CounterServer) -> None:
        """Start the agents, and two addresses of the counter."""
        self._counters = [await counter.listen() for _ in self.agents]
        for agent in self.agents:
            await agent.start()

    def write_for_start(self, process: int, admin_address: str, has_cached_list: bool) -> None:
        """Write the file for a new process by its number, with a cached list or without."""
        self._process = process
        self._admin_address = admin_address
        self.path.write_text(self._text(has_cached_list))

    def _text(self, has_cached_list: bool) -> str:
        # The version that the gateway had last. An older one only where the agent sends the newest at once.
        version = self.agent.version
        if not self.agent.is_silent():
            version = max(1, version - self._rng.randrange(MAX_CACHED_AGE))
        cached_list = self._setup.source.snapshot(version, self._position) if has_cached_list else None
        addresses = Addresses(
            discovery=self.agent.address,
            counter=self._counters[0].address,
            admin=self._admin_address,
            peers=self._setup.peers,
        )
        seed = f"{self._setup.seed:08x}{self._position:04x}{self._process:04x}"
        return json.dumps(configuration(self._setup.deployment, self._position, addresses, cached_list, seed))

    def swap_targets(self) -> str:
        """Name the other agent and the other address of the counter; return the text, still to be written."""
        self.agents.reverse()
        self._counters.reverse()
        self.agent.is_retired = False
        self._counters[0].is_retired = False
        return self._text(has_cached_list=False)

    def write_truncated(self, text: str) -> None:
        """Write only the first half of a text."""
        self.path.write_text(text[: len(text) // 2])

    def replace(self, text: str) -> None:
        """Put a new file with this text into place in one step."""
        replacement = self.path.with_suffix(".new")
        replacement.write_text(text)
        replacement.replace(self.path)

    def retire_unless_named(self, agent: DiscoveryAgent) -> None:
        """Retire an agent, and the counter's address of the same configuration, unless it is named again."""
        if agent is not self.agent:
            agent.retire()
            self._counters[1].retire()

    def close(self) -> None:
        """Close the agents."""
        for agent in self.agents:
            agent.close()
