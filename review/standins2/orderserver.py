"""An order server: runs each command, and answers as its case says."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from review.standins2.discovery import entry
from review.standins2.resp import read_command


def served(value: bytes) -> bytes:
    """Return the answer that serves a request: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


Handler = Callable[["OrderServer", list[bytes], asyncio.StreamWriter], Awaitable[None]]


class OrderServer:
    """One order server; `handle` answers a command, in the order of the commands of a connection."""

    def __init__(self, host: str, handle: Handler) -> None:
        self.host = host
        self.ran: list[bytes] = []  # ids of the requests that ran here, in order
        self.connections = 0
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.dial = ""

    async def start(self) -> dict[str, object]:
        """Listen, and return the entry for discovery's list."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.dial = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return entry(self.host, self.dial)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                words = await read_command(reader)
                if words[0] in (b"CALL.GET", b"CALL.POST"):
                    await self._handle(self, words, writer)
                else:
                    writer.write(b"+PONG\r\n" if words[0] == b"PING" else b"-NOPERM\r\n")
        self._writers.discard(writer)
        writer.close()

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()
