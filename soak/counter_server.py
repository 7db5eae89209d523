"""The quota counter: lines of text, with faults on demand."""

from __future__ import annotations

import asyncio
from typing import cast

from soak.settings import LOCALHOST

REPLY_S = 0.001
SLOW_REPLY_S = 0.15  # over the time that gateways wait
IDLE_CLOSE_S = 8.0
MAX_LIFE_S = 60.0


class CounterServer:
    """Numbers by name, each forgotten at the end of its life."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.connections: set[CounterConnection] = set()
        self.slow_until = 0.0
        self.down_until = 0.0
        self._totals: dict[bytes, tuple[float, float]] = {}  # total and end of life
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await self.loop.create_server(lambda: CounterConnection(self), LOCALHOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    @property
    def address(self) -> str:
        """Return where gateways reach it."""
        return f"{LOCALHOST}:{self.port}"

    def take_down(self, duration_s: float) -> None:
        """Reset all connections, and every new one, for a while; the numbers are lost."""
        self.down_until = self.loop.time() + duration_s
        self._totals.clear()
        for connection in list(self.connections):
            connection.abort()

    def slow_down(self, duration_s: float) -> None:
        """Answer late for a while."""
        self.slow_until = self.loop.time() + duration_s

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
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class CounterConnection(asyncio.Protocol):
    """One connection of a gateway."""

    def __init__(self, server: CounterServer) -> None:
        self._server = server
        self._partial_line = b""
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections, unless it is down."""
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)
        if self._server.loop.time() < self._server.down_until:
            self.abort()

    def data_received(self, data: bytes) -> None:
        """Answer each complete line in turn."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        loop = self._server.loop
        delay_s = SLOW_REPLY_S if loop.time() < self._server.slow_until else REPLY_S
        replies = b"".join(self._reply(line.split()) for line in lines if line.strip())
        loop.call_later(delay_s, self._write, replies)

    def _reply(self, words: list[bytes]) -> bytes:
        if words[0] == b"ping":
            return b"pong\r\n"
        total = self._server.bump(words[1], float(words[2]), float(words[3]) / 1000)
        return b"ok %.6f\r\n" % total

    def _write(self, replies: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(replies)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Leave the server's connections."""
        self._server.connections.discard(self)
