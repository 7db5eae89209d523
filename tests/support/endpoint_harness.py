"""Connections to endpoints, driven by a test attempt by attempt."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from qos_gateway.server.endpoints.attempt import Attempt, AttemptCommand
from qos_gateway.server.endpoints.connections import EndpointConnections
from qos_gateway.server.endpoints.responses import LoadReport
from qos_gateway.server.networking.clock import monotonic_unix_ns
from qos_gateway.server.networking.value_stream import ResponseSink
from qos_gateway.server.observability.metrics import Metrics
from qos_gateway.types import Outcome
from tests.support.servers import (
    LOOPBACK,
    FakeEndpoint,
    listening,
    with_timeout,
)

SECOND = 1_000_000_000


CLOCK = monotonic_unix_ns()


EndedAttempt = tuple[int, Outcome, bytes | None, LoadReport]


class EndpointHarness:
    """Pools to one fake endpoint (number 7), and how attempts ended."""

    def __init__(self, most: int, connect: float, idle: float, grace: float) -> None:
        self.ends: asyncio.Queue[EndedAttempt] = asyncio.Queue()
        self.metrics = Metrics(())
        self.pools = EndpointConnections(
            most,
            connect,
            idle,
            grace,
            CLOCK,
            lambda attempt, *end: self.ends.put_nowait((attempt.request, *end)),
            self.metrics,
            lambda _attempt, _length, _flow: self.sink,
        )
        self.sink: ResponseSink | None = None

    def start(
        self,
        request: int,
        body: bytes = b"B",
        timeout: float | None = None,
        endpoint: int = 7,
        send_deadline: int = 0,
    ) -> Attempt:
        now = CLOCK()
        attempt = Attempt(
            request=request,
            number=0,
            endpoint=endpoint,
            started_at_ns=now,
            expires_at_ns=now + 3 * SECOND,
            command=AttemptCommand((b"CALL.POST", b"c", b"i"), b"c=x,", b",k=y", (body,)),
            send_deadline_ns=send_deadline,
        )
        self.pools.start_attempt(attempt, timeout)
        return attempt

    async def end(self) -> EndedAttempt:
        return await with_timeout(self.ends.get())


@asynccontextmanager
async def endpoint_harness(
    endpoint: FakeEndpoint | None = None,
    most: int = 100,
    connect: float = 20.0,
    idle: float = 30.0,
    grace: float = 20.0,
    port: int = 0,
) -> AsyncIterator[EndpointHarness]:
    made = EndpointHarness(most, connect, idle, grace)
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
