"""A small deployment: order servers, discovery's agent, and one gateway."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.standins2.case import CannotRunError
from review.standins2.clients import Client
from review.standins2.discovery import Agent
from review.standins2.gateway import Gateway, free_port
from review.standins2.orderserver import Handler, OrderServer
from review.standins2.record import Record
from review.standins2.settings import configuration

ANSWER_SLACK_S = 0.6  # half a second after a request's time, and time for the stand-ins


@dataclass(frozen=True)
class World:
    """The parts of a deployment without its gateway."""

    record: Record
    folder: Path
    servers: list[OrderServer]
    agent: Agent
    discovery: str  # the agent's address

    def gateway(self, listen: str, log_name: str | None = None, **more: Any) -> Gateway:
        """Return a process of the gateway, which is not started; `more` adds to its configuration."""
        keys = {"known": self.agent.known(), **more}
        return Gateway(self.folder, configuration("n0", listen, self.discovery, **keys), log_name)


@asynccontextmanager
async def servers_and_discovery(
    record: Record, folder: Path, handle: Handler, count: int
) -> AsyncIterator[World]:
    """Start order servers and the agent, and close them at the end."""
    servers = [OrderServer(f"s-{number:08x}", handle) for number in range(count)]
    agent = Agent([await server.start() for server in servers])
    try:
        yield World(record, folder, servers, agent, await agent.start())
    finally:
        agent.close()
        for server in servers:
            server.close()


@asynccontextmanager
async def serving(gateway: Gateway, **start: Any) -> AsyncIterator[Gateway]:
    """Start a gateway and wait until it is ready; kill it at the end if it still runs."""
    try:
        await gateway.start(**start)
        if not await gateway.is_ready():
            raise CannotRunError("the gateway was not ready")
        yield gateway
    finally:
        await gateway.end()


def free_address() -> str:
    """Return a loopback address that is free now."""
    return f"127.0.0.1:{free_port()}"


class SteadyClient:
    """Sends one request after the other to one address; opens a new connection where one was closed."""

    def __init__(self, record: Record, counts: Counter[str], host: str, port: int) -> None:
        self._record = record
        self._counts = counts
        self._address = (host, port)
        self._client: Client | None = None

    async def ask(self, request_id: bytes, command: bytes, wait_ms: int) -> tuple[str, bytes]:
        """Send a request, and return the kind and the text of its answer."""
        if self._client is None:
            self._client = await Client.connect(*self._address)
        self._record.note(f"sent {request_id.decode()}")
        kind, text = await self._client.ask(command, wait_ms / 1000 + ANSWER_SLACK_S)
        self._record.note(f"answered {request_id.decode()} {kind} {text[:60].decode()}")
        self._counts[kind] += 1
        if kind in ("closed", "none"):
            self.close()
        return kind, text

    def close(self) -> None:
        """Close the connection."""
        if self._client is not None:
            self._client.close()
            self._client = None
