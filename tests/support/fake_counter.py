"""A stand-in for the quota counter."""

from __future__ import annotations

import asyncio

from tests.support.event_loop import with_timeout


class CounterCall:
    """One call to the counter, to which a test replies."""

    def __init__(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        self._writer = writer
        verb, self.name, amount, life = line.split()
        assert verb == b"bump"
        self.amount, self.time_to_live = float(amount), int(life)

    def answer(self, line: bytes) -> None:
        self._writer.write(line + b"\r\n")


class FakeCounter:
    """Answers pings, and passes each other call to the test."""

    def __init__(self, port: int = 0) -> None:
        self.calls: asyncio.Queue[CounterCall] = asyncio.Queue()
        self.connections: list[asyncio.StreamWriter] = []
        self.port = port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        while line := await reader.readline():
            if line.strip() == b"ping":
                writer.write(b"pong\r\n")
            else:
                self.calls.put_nowait(CounterCall(writer, line))

    async def next_call(self) -> CounterCall:
        return await with_timeout(self.calls.get())
