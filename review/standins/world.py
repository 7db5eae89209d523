"""A small deployment: order servers, discovery, the counter and one gateway."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from .client import Client
from .counter import Counter
from .discovery import DiscoveryAgent
from .order_server import OrderServer, Script
from .platform import Gateway
from .record import Record
from .settings import ZONES, settings

HELD, BROKEN, NOT_RUN = 0, 1, 2
SERVERS_PER_CELL = 3
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class World:
    """All parties of a case; `has_trouble` is False with TROUBLE=0."""

    def __init__(self) -> None:
        self.record = Record()
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.servers: list[OrderServer] = []
        self._gateway: Gateway | None = None
        self._clients: list[Client] = []
        self._peers: list[asyncio.subprocess.Process] = []

    @property
    def gateway(self) -> Gateway:
        """Return the gateway, once it was started."""
        assert self._gateway is not None
        return self._gateway

    async def start(self, scripts: Sequence[Script], limits: dict[str, Any] | None = None) -> None:
        """Start an order server for each script, discovery, the counter, and the gateway."""
        for number, script in enumerate(scripts):
            zone = ZONES[number % len(ZONES)]
            cell = number // SERVERS_PER_CELL
            server = OrderServer(f"s-{number + 1:08x}", zone, cell, self.record, script)
            await server.start()
            self.servers.append(server)
        discovery, counter = DiscoveryAgent(self.servers), Counter()
        await discovery.start()
        await counter.start()
        configuration = {
            "discovery": discovery.address,
            "counter": counter.address,
            "limits": LIMITS if limits is None else limits,
            "known": discovery.whole_list(),
            "settings": settings(),
        }
        self._gateway = Gateway(self.record, configuration)
        await self._gateway.start()

    async def client(self, name: str) -> Client:
        """Return a new client that is connected to the gateway."""
        client = Client(name, self.record)
        await client.connect(self.gateway.address)
        self._clients.append(client)
        return client

    async def start_peer(self, script: Path, *arguments: str) -> None:
        """Start a peer of the gateway that has a process of its own."""
        peer = await asyncio.create_subprocess_exec(
            sys.executable, script, *arguments, stdout=asyncio.subprocess.PIPE
        )
        self._peers.append(peer)

    async def end(self) -> None:
        """Close the clients, end all processes, and record what they printed."""
        for client in self._clients:
            client.close()
        for peer in self._peers:
            if peer.returncode is None:
                peer.kill()
            output, _ = await peer.communicate()
            for line in output.decode().splitlines():
                self.record.add("peer's output", line)
        if self._gateway is not None:
            for line in self._gateway.log_lines():
                self.record.add("gateway's log", line)
            await self._gateway.end()


def run_case(case: Callable[[World], Awaitable[list[str]]], file: str) -> None:
    """Run a case, which returns what broke the rule; write its record, and exit with its status."""
    world = World()

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await case(world)
        finally:
            await world.end()

    try:
        broken = asyncio.run(play())
    except (Exception, asyncio.CancelledError):
        world.record.add("case", "could not run: " + traceback.format_exc())
        status = NOT_RUN
    else:
        for line in broken:
            world.record.add("rule", line)
        world.record.add("case", f"trouble={int(world.has_trouble)}: rule {'broken' if broken else 'held'}")
        status = BROKEN if broken else HELD
    world.record.write(Path(file).resolve().parent / "record.txt")
    sys.exit(status)
