"""Connections to endpoints, driven by a test attempt by attempt."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from qos_gateway.server.endpoints.attempt import Attempt, AttemptCommand
from qos_gateway.server.endpoints.connections import EndpointConnections, EndpointLimits
from qos_gateway.server.endpoints.responses import AttemptResult, LoadReport
from qos_gateway.server.networking.clock import monotonic_unix_ns
from qos_gateway.server.networking.value_stream import FlowControl, ResponseSink
from qos_gateway.server.observability.metrics import Metrics
from qos_gateway.types import Outcome
from tests.support.event_loop import LOOPBACK, listening, with_timeout
from tests.support.fake_endpoint import FakeEndpoint

SECOND = 1_000_000_000


CLOCK = monotonic_unix_ns()


EndedAttempt = tuple[int, Outcome, bytes | None, LoadReport]


class EndpointHarness:
    """Pools to one fake endpoint (number 7), and how attempts ended."""

    def __init__(self, most: int, connect: float, idle: float, grace: float) -> None:
        self.ends: asyncio.Queue[EndedAttempt] = asyncio.Queue()
        self.metrics = Metrics(())
        limits = EndpointLimits(
            max_connections=most, connect_timeout_s=connect, max_idle_s=idle, drain_grace_s=grace
        )
        self.pools = EndpointConnections(limits, CLOCK, self, self.metrics)
        self.sink: ResponseSink | None = None

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        self.ends.put_nowait((attempt.request, *result))

    def on_response_started(self, _attempt: Attempt, _length: int, _flow: FlowControl) -> ResponseSink | None:
        return self.sink

    def is_wanted(self, _attempt: Attempt) -> bool:
        return True

    def allows_send(self, _attempt: Attempt, _is_drained: bool, _now_ns: int) -> bool:
        return True

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
