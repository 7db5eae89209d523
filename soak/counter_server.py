"""The quota counter: a line protocol, two addresses for each gateway, and fault injection."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import cast

from soak.settings import LOCALHOST

REPLY_DELAY_S = 0.001
SLOW_REPLY_DELAY_S = 0.15  # above the time-out of the gateways
MAX_TTL_S = 60.0
FAULT_PROBABILITY = 0.5  # that a reply is malformed or a call is rejected, while the fault lasts
MALFORMED_REPLIES = (b"ok\r\n", b"ok much\r\n", b"\xff\xfe\r\n")


@dataclass(frozen=True, slots=True)
class Total:
    """The total of one name, valid until it expires."""

    amount: float
    expires_at: float


class CounterServer:
    """Totals by name, each removed at the end of its time to live."""

    def __init__(self, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"counter {seed}")
        self.slow_until = 0.0
        self.silent_until = 0.0
        self.malformed_until = 0.0
        self.down_until = 0.0
        self._totals: dict[bytes, Total] = {}
        self._listeners: list[CounterListener] = []

    async def listen(self) -> CounterListener:
        """Listen on another address, and return its listener."""
        listener = CounterListener(self)
        await listener.start()
        self._listeners.append(listener)
        return listener

    def take_down(self, duration_s: float) -> None:
        """Reset all connections, and every new one, for a while; the totals are lost."""
        self.down_until = self.loop.time() + duration_s
        self._totals.clear()
        for listener in self._listeners:
            listener.reset_connections()

    def slow_down(self, duration_s: float) -> None:
        """Reply late for a while."""
        self.slow_until = self.loop.time() + duration_s

    def fall_silent(self, duration_s: float) -> None:
        """Count and send no reply for a while."""
        self.silent_until = self.loop.time() + duration_s

    def answer_malformed(self, duration_s: float) -> None:
        """Reject some calls for a while, and send malformed replies to others."""
        self.malformed_until = self.loop.time() + duration_s

    def add(self, name: bytes, amount: float, ttl_s: float) -> float:
        """Add an amount to a total, and return the total; a new total expires after `ttl_s`."""
        now = self.loop.time()
        total = self._totals.get(name)
        if total is None or now >= total.expires_at:
            total = Total(0.0, now + min(MAX_TTL_S, ttl_s))
        self._totals[name] = Total(total.amount + amount, total.expires_at)
        return total.amount + amount

    def close(self) -> None:
        """Close all addresses."""
        for listener in self._listeners:
            listener.close()


class CounterListener:
    """One address of the counter."""

    def __init__(self, counter: CounterServer) -> None:
        self.counter = counter
        self.connections: set[CounterConnection] = set()
        self.is_retired = False
        self._server: asyncio.Server | None = None
        self._port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await self.counter.loop.create_server(lambda: CounterConnection(self), LOCALHOST, 0)
        self._port = int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """Return the address at which its gateway reaches the counter."""
        return f"{LOCALHOST}:{self._port}"

    def is_down(self) -> bool:
        """Return whether every new connection is reset at once."""
        return self.is_retired or self.counter.loop.time() < self.counter.down_until

    def retire(self) -> None:
        """Reset all connections, and every new one: the counter has moved."""
        self.is_retired = True
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()


class CounterConnection(asyncio.Protocol):
    """One connection of a gateway to the counter."""

    def __init__(self, listener: CounterListener) -> None:
        self._listener = listener
        self._counter = listener.counter
        self._partial_line = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection until it ends; reset it at once while the counter is down."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        if self._listener.is_down():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Reply to each complete line, in their order."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        loop = self._counter.loop
        delay_s = SLOW_REPLY_DELAY_S if loop.time() < self._counter.slow_until else REPLY_DELAY_S
        replies = b"".join(self._reply(line.split()) for line in lines if line.strip())
        if loop.time() >= self._counter.silent_until:
            loop.call_later(delay_s, self._write, replies)

    def _reply(self, words: list[bytes]) -> bytes:
        if words[0] == b"ping":
            return b"pong\r\n"
        is_malformed = self._counter.loop.time() < self._counter.malformed_until
        if is_malformed and self._counter.rng.random() < FAULT_PROBABILITY:
            return b"busy\r\n"
        total = self._counter.add(words[1], float(words[2]), float(words[3]) / 1000)
        if is_malformed and self._counter.rng.random() < FAULT_PROBABILITY:
            return self._counter.rng.choice(MALFORMED_REPLIES)
        return b"ok %.6f\r\n" % total

    def _write(self, replies: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(replies)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Forget the connection."""
        self._listener.connections.discard(self)
