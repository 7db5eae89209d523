"""The quota counter: adds amounts to numbers by name."""

from __future__ import annotations

import asyncio
import time

MAX_LIFE_MS = 60_000


class Counter:
    """Answers every call at once."""

    def __init__(self) -> None:
        self.address = ""
        self._totals: dict[str, tuple[float, float]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(self._answer(line.decode().split()))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        writer.close()

    def _answer(self, words: list[str]) -> bytes:
        if words == ["ping"]:
            return b"pong\r\n"
        _, name, amount, life_ms = words
        now = time.monotonic()
        total, ends_at = self._totals.get(name, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(MAX_LIFE_MS, int(life_ms)) / 1000
        self._totals[name] = (total + float(amount), ends_at)
        return b"ok %.7g\r\n" % (total + float(amount))
