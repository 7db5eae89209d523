"""Connections to endpoints: a test starts each attempt itself."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.endpoints.connections import EndpointConnections, EndpointLimits
from qos_gateway.server.endpoints.responses import AttemptResult, LoadReport
from qos_gateway.server.memory.budget import MemoryBudget, Priority
from qos_gateway.server.networking.clock import make_monotonic_unix_clock
from qos_gateway.server.networking.request_command import RequestCommand
from qos_gateway.server.networking.value_stream import FlowControl, ResponseSink
from qos_gateway.server.observability.metrics import Metrics
from qos_gateway.types import Outcome
from tests.support.builders import SECOND
from tests.support.event_loop import LOOPBACK, listening, with_timeout
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.resp_connection import Connection

CLOCK = make_monotonic_unix_clock()
MEMORY_BYTES = 64 << 20


class EndedAttempt(NamedTuple):
    """The result of one attempt."""

    request: int
    outcome: Outcome
    value: bytes | None
    load_report: LoadReport


class RawEndpoint:
    """An endpoint whose connections are plain sockets, for what a stream cannot do."""

    def __init__(self) -> None:
        self._listener = socket.create_server((LOOPBACK, 0))
        self._listener.setblocking(False)
        self.port: int = self._listener.getsockname()[1]

    async def accept(self) -> socket.socket:
        connection, _ = await with_timeout(asyncio.get_running_loop().sock_accept(self._listener))
        connection.setblocking(False)
        return connection

    async def receive(self, connection: socket.socket, size: int = 4096) -> bytes:
        return await with_timeout(asyncio.get_running_loop().sock_recv(connection, size))

    async def send(self, connection: socket.socket, data: bytes) -> None:
        await with_timeout(asyncio.get_running_loop().sock_sendall(connection, data))

    def close(self) -> None:
        self._listener.close()


def reset(connection: socket.socket) -> None:
    """Close a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class EndpointHarness:
    """Connections to one fake endpoint (number 7), and the results of attempts at it."""

    def __init__(self, limits: EndpointLimits, fake_endpoint: FakeEndpoint | None) -> None:
        self.fake_endpoint = fake_endpoint
        self.ends: asyncio.Queue[EndedAttempt] = asyncio.Queue()
        self.metrics = Metrics(())
        self.memory = MemoryBudget(MEMORY_BYTES, asyncio.get_running_loop().call_soon)
        self.pools = EndpointConnections(limits, CLOCK, self, self.metrics, self.memory)
        self.sink: ResponseSink | None = None

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.ends.put_nowait(EndedAttempt(attempt.request, *result))

    def on_response_started(self, _attempt: Attempt, _length: int, _flow: FlowControl) -> ResponseSink | None:
        return self.sink

    def memory_priority(self, _attempt: Attempt) -> Priority | None:
        return Priority.FIRST

    def may_retry(self, _attempt: Attempt) -> bool:
        return True

    def on_response_without_memory(self, _attempt: Attempt) -> None:
        pass

    def is_client_waiting(self, _attempt: Attempt) -> bool:
        return True

    def allows_send(self, _attempt: Attempt, _is_drained: bool, _now_ns: int) -> bool:
        return True

    def start(
        self,
        request: int,
        body: bytes = b"B",
        timeout_s: float | None = None,
        endpoint: int = 7,
        send_deadline_ns: int = 0,
    ) -> Attempt:
        now = CLOCK()
        attempt = Attempt(
            request=request,
            number=0,
            endpoint=endpoint,
            started_at_ns=now,
            expires_at_ns=now + 3 * SECOND,
            command=RequestCommand((b"CALL.POST", b"c", b"i"), b"c=x,", b",k=y", (body,)),
            send_deadline_ns=send_deadline_ns,
        )
        self.pools.start_attempt(attempt, timeout_s)
        return attempt

    async def end(self) -> EndedAttempt:
        return await with_timeout(self.ends.get())

    async def serve(self, request: int, endpoint: int = 7, at: FakeEndpoint | None = None) -> Connection:
        """Start an attempt and let it succeed; return the endpoint's side of the connection."""
        served_at = at or self.fake_endpoint
        assert served_at is not None
        self.start(request, endpoint=endpoint)
        connection, _ = await served_at.next_command()
        connection.send(success_reply(b"v"))
        assert (await self.end())[:2] == (request, Outcome.OK)
        return connection


@asynccontextmanager
async def endpoint_harness(
    endpoint: FakeEndpoint | None = None,
    max_connections: int = 100,
    connect_timeout_s: float = 20.0,
    max_idle_s: float = 30.0,
    drain_grace_s: float = 20.0,
    port: int = 0,
) -> AsyncIterator[EndpointHarness]:
    """Yield connections to a fake endpoint, or to a port without one."""
    limits = EndpointLimits(
        max_connections=max_connections,
        connect_timeout_s=connect_timeout_s,
        max_idle_s=max_idle_s,
        drain_grace_s=drain_grace_s,
    )
    made = EndpointHarness(limits, endpoint)
    try:
        if endpoint is None:
            made.pools.set_address(7, (LOOPBACK, port))
            yield made
        else:
            async with listening(endpoint):
                made.pools.set_address(7, (LOOPBACK, endpoint.port))
                yield made
    finally:
        made.pools.close()
