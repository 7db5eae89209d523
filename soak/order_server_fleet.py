"""All order servers of a run, and their entries in the endpoint list."""

from __future__ import annotations

import asyncio
import random
import time

from soak.discovery_agents import Health, ListSource
from soak.observations import Record
from soak.order_servers import OrderServer
from soak.settings import Deployment


class OrderServerFleet:
    """Starts order servers and publishes them in the endpoint list."""

    def __init__(self, deployment: Deployment, source: ListSource, record: Record, seed: int) -> None:
        self._deployment = deployment
        self._source = source
        self._record = record
        self._seed = seed
        self._loop = asyncio.get_running_loop()
        self._servers: list[OrderServer] = []

    def add_initial(self) -> None:
        """Add a server that started long before the run."""
        self._add(born_at=0.0, began_at=0.0)

    def add_new(self) -> None:
        """Add a server that starts now."""
        self._add(born_at=time.time(), began_at=self._loop.time())

    def _add(self, born_at: float, began_at: float) -> None:
        number = len(self._servers)
        rng = random.Random(f"server {self._seed} {number}")
        server = OrderServer(number, self._deployment, self._record, rng, born_at)
        server.began_at = began_at
        self._servers.append(server)
        server.start()
        self.publish(server, Health.IN_SERVICE)

    def restart(self, server: OrderServer) -> None:
        """Start a stopped server again, as a new process."""
        server.born_at, server.began_at = time.time(), self._loop.time()
        server.start()
        self.publish(server, Health.IN_SERVICE)

    def publish(self, server: OrderServer, health: Health) -> None:
        """Change a server's entry in the endpoint list."""
        self._source.publish(server, health)

    def select(self, targets: tuple[int, ...]) -> list[OrderServer]:
        """Return the servers in service that targets name, at most half of those in service."""
        listed = [
            entry.server
            for entry in self._source.entries_at(self._source.version).values()
            if entry.health is Health.IN_SERVICE
        ]
        return [listed[target % len(listed)] for target in targets][: max(1, len(listed) // 2)]

    def close(self) -> None:
        """Stop all servers."""
        for server in self._servers:
            server.close()
