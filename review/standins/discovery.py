"""The discovery agent of a gateway's machine: the whole list, then an empty line every 2 s."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence

from .order_server import OrderServer

HEARTBEAT_S = 2.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class DiscoveryAgent:
    """Answers every call with the list as it is, and keeps watches open."""

    def __init__(self, servers: Sequence[OrderServer]) -> None:
        self._servers = servers
        self.address = ""
        self._server: asyncio.Server | None = None

    def whole_list(self) -> dict[str, object]:
        """Return the whole list."""
        return {"seq": 41, "whole": True, "hosts": [server.entry() for server in self._servers]}

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + _chunk(json.dumps(self.whole_list()).encode() + b"\n"))
            while True:
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(_chunk(b"\n"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
