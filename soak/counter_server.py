"""The quota counter: lines of text, two addresses for each gateway, and faults on demand."""

from __future__ import annotations

import asyncio
import random
from typing import cast

from soak.settings import LOCALHOST

REPLY_S = 0.001
SLOW_REPLY_S = 0.15  # over the time that gateways wait
IDLE_CLOSE_S = 8.0
MAX_LIFE_S = 60.0
FAULT_PROBABILITY = 0.5  # that one reply is none that can be read, or turns the call away, where some do
REPLIES_WITHOUT_A_NUMBER = (b"ok\r\n", b"ok much\r\n", b"\xff\xfe\r\n")


class CounterServer:
    """Numbers by name, each forgotten at the end of its life."""

    def __init__(self, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(f"counter {seed}")
        self.slow_until = 0.0
        self.silent_until = 0.0
        self.malformed_until = 0.0
        self.down_until = 0.0
        self._totals: dict[bytes, tuple[float, float]] = {}  # total and end of life
        self._listeners: list[CounterListener] = []

    async def listen(self) -> CounterListener:
        """Return another address of the counter."""
        listener = CounterListener(self)
        await listener.start()
        self._listeners.append(listener)
        return listener

    def take_down(self, duration_s: float) -> None:
        """Reset all connections, and every new one, for a while; the numbers are lost."""
        self.down_until = self.loop.time() + duration_s
        self._totals.clear()
        for listener in self._listeners:
            listener.reset_connections()

    def slow_down(self, duration_s: float) -> None:
        """Answer late for a while."""
        self.slow_until = self.loop.time() + duration_s

    def fall_silent(self, duration_s: float) -> None:
        """Count for a while, and answer nothing."""
        self.silent_until = self.loop.time() + duration_s

    def answer_malformed(self, duration_s: float) -> None:
        """Turn calls away for a while, or answer what holds no number."""
        self.malformed_until = self.loop.time() + duration_s

    def bump(self, name: bytes, amount: float, life_s: float) -> float:
        """Add an amount to a number, and return the total."""
        now = self.loop.time()
        total, ends_at = self._totals.get(name, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(MAX_LIFE_S, life_s)
        self._totals[name] = (total + amount, ends_at)
        return total + amount

    def close(self) -> None:
        """End for good."""
        for listener in self._listeners:
            listener.close()


class CounterListener:
    """One address of the counter."""

    def __init__(self, counter: CounterServer) -> None:
        self.counter = counter
        self.connections: set[CounterConnection] = set()
        self.is_retired = False  # after a move
        self._server: asyncio.Server | None = None
        self._port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await self.counter.loop.create_server(lambda: CounterConnection(self), LOCALHOST, 0)
        self._port = int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """Return where its gateway reaches it."""
        return f"{LOCALHOST}:{self._port}"

    def is_down(self) -> bool:
        """Return whether every connection is reset at once."""
        return self.is_retired or self.counter.loop.time() < self.counter.down_until

    def retire(self) -> None:
        """Serve nobody any more, as after a move."""
        self.is_retired = True
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """End for good."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()


class CounterConnection(asyncio.Protocol):
    """One connection of a gateway."""

    def __init__(self, listener: CounterListener) -> None:
        self._listener = listener
        self._counter = listener.counter
        self._partial_line = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections, unless it is down."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connections.add(self)
        if self._listener.is_down():
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete line in turn."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        loop = self._counter.loop
        delay_s = SLOW_REPLY_S if loop.time() < self._counter.slow_until else REPLY_S
        replies = b"".join(self._reply(line.split()) for line in lines if line.strip())
        if loop.time() >= self._counter.silent_until:
            loop.call_later(delay_s, self._write, replies)

    def _reply(self, words: list[bytes]) -> bytes:
        if words[0] == b"ping":
            return b"pong\r\n"
        is_malformed = self._counter.loop.time() < self._counter.malformed_until
        if is_malformed and self._counter.rng.random() < FAULT_PROBABILITY:
            return b"busy\r\n"
        total = self._counter.bump(words[1], float(words[2]), float(words[3]) / 1000)
        if is_malformed and self._counter.rng.random() < FAULT_PROBABILITY:
            return self._counter.rng.choice(REPLIES_WITHOUT_A_NUMBER)
        return b"ok %.6f\r\n" % total

    def _write(self, replies: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(replies)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Leave the listener's connections."""
        self._listener.connections.discard(self)
