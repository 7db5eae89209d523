"""A gateway with one endpoint and its discovery, on loopback sockets in the process of the test."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from qos_gateway.server.clients.buffer_budgets import BufferBudget
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.requests.open_request import OpenRequest
from tests.support.configurations import make_config
from tests.support.event_loop import LOOPBACK, listening, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.resp_connection import Connection


class GatewayHarness:
    """A gateway with one endpoint and its discovery, and clients for it."""

    def __init__(self, process: GatewayProcess, discovery: FakeDiscovery, endpoint: FakeEndpoint) -> None:
        self.process = process
        self.gateway = process.parts
        self.discovery = discovery
        self.endpoint = endpoint

    @property
    def buffers(self) -> BufferBudget:
        """Return the memory that commands and replies of all clients hold."""
        return self.gateway.clients.context.buffers

    @property
    def active_streams(self) -> int:
        """Return how many values are being streamed to clients."""
        return self.gateway.clients.context.streams.active_streams

    @property
    def open_requests(self) -> dict[int, OpenRequest]:
        """Return the requests that the gateway keeps, by the engine's id."""
        return self.gateway.requests._requests

    def request_results(self) -> list[int]:
        """Return how many requests of the first class succeeded, were rejected and failed."""
        return list(self.gateway.observability.metrics.requests[0].values())

    async def connect_client(self) -> Connection:
        return Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, self.gateway.clients.port)))


@asynccontextmanager
async def gateway_harness(counter: str | None = None, **changes: Any) -> AsyncIterator[GatewayHarness]:
    discovery = FakeDiscovery()
    endpoint = FakeEndpoint()
    async with listening(discovery), listening(endpoint):
        discovery.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
        process = GatewayProcess(make_config(discovery.port, None, counter, **changes))
        gateway = process.parts
        await with_timeout(process.start())
        try:
            yield GatewayHarness(process, discovery, endpoint)
        finally:
            await gateway.discovery.close()
            gateway.endpoint_connections.close()
            gateway.peers.close()
            if gateway.counter is not None:
                gateway.counter.close()
            gateway.clients.abort()
