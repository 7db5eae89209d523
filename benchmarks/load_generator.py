"""Open-loop load generator: Poisson arrivals, independent of response times."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass, field
from statistics import quantiles
from typing import cast

import hiredis

from benchmarks.stand_ins import LOCALHOST

REQUESTS_PER_S = 200.0  # as at one gateway at the design size
CUSTOMERS = 230  # whose requests reach one gateway at the design size, where each has ten gateways
INITIAL_CONNECTIONS = 8
REPLY_TIMEOUT_S = 30.0  # only a gateway that hangs reaches it
POLL_INTERVAL_S = 0.01


def percentile(values: list[float], percent: int) -> float:
    """Return the value that `percent` of 100 values do not exceed, interpolated."""
    return quantiles(values, n=100)[percent - 1]


@dataclass
class LoadResult:
    """Results of the generator's requests."""

    latencies_s: list[float] = field(default_factory=list)  # of served requests
    rejected: int = 0
    failed: int = 0
    send_delays_s: list[float] = field(default_factory=list)  # delays of the generator itself

    @property
    def sent(self) -> int:
        """Return the number of requests sent."""
        return len(self.send_delays_s)

    @property
    def answered(self) -> int:
        """Return the number of requests that have any answer."""
        return len(self.latencies_s) + self.rejected + self.failed

    def latency_ms(self, percent: int) -> float:
        """Return a percentile of the latency of served requests in ms."""
        return 1000 * percentile(self.latencies_s, percent)

    def send_delay_ms(self, percent: int) -> float:
        """Return a percentile of the generator's own delay in ms."""
        return 1000 * percentile(self.send_delays_s, percent)

    def add_error(self, error: hiredis.ReplyError) -> None:
        """Count an error reply."""
        if str(error).startswith("BUSY"):
            self.rejected += 1
        else:
            self.failed += 1


class ClientConnection(asyncio.Protocol):
    """A connection with one request at a time; it joins the idle ones after each reply."""

    transport: asyncio.Transport

    def __init__(self, result: LoadResult, idle: deque[ClientConnection]) -> None:
        self._result = result
        self._idle = idle
        self._reader = hiredis.Reader()
        self._sent_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for requests."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, command: bytes) -> None:
        """Send a request."""
        self._sent_at = time.perf_counter()
        self.transport.write(command)

    def data_received(self, data: bytes) -> None:
        """Record the reply."""
        self._reader.feed(data)
        while (reply := self._reader.gets()) is not False:
            if isinstance(reply, hiredis.ReplyError):
                self._result.add_error(reply)
            else:
                self._result.latencies_s.append(time.perf_counter() - self._sent_at)
            self._idle.append(self)


def encode_request(request_id: int, customer: int, gateways_per_customer: int) -> bytes:
    """Return a request as RESP command."""
    options = f"c=lookup,t=team,d=2000,units=1,spread={gateways_per_customer},first=0"
    words = (b"CALL.GET", b"%016x" % (customer + 1), b"%016x" % request_id, options.encode())
    return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]


class LoadGenerator:
    """Sends requests of random customers to one port."""

    def __init__(self, port: int, gateways_per_customer: int, seed: int = 1) -> None:
        self._port = port
        self._gateways_per_customer = gateways_per_customer
        self._rng = random.Random(seed)
        self._result = LoadResult()
        self._idle: deque[ClientConnection] = deque()

    async def run(self, duration_s: float) -> LoadResult:
        """Send requests for `duration_s` seconds, and wait for all replies."""
        for _ in range(INITIAL_CONNECTIONS):
            self._idle.append(await self._connect())
        await self._send_requests(duration_s)
        await self._wait_for_replies()
        for connection in self._idle:
            connection.transport.close()
        return self._result

    async def _connect(self) -> ClientConnection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(self._result, self._idle), LOCALHOST, self._port
        )
        return connection

    async def _send_requests(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + duration_s
        while (due := due + self._rng.expovariate(REQUESTS_PER_S)) < end:
            await asyncio.sleep(due - loop.time())
            self._result.send_delays_s.append(loop.time() - due)
            connection = self._idle.popleft() if self._idle else await self._connect()
            customer = self._rng.randrange(CUSTOMERS)
            connection.send(encode_request(self._result.sent, customer, self._gateways_per_customer))

    async def _wait_for_replies(self) -> None:
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            while self._result.answered < self._result.sent:
                await asyncio.sleep(POLL_INTERVAL_S)
