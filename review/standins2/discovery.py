"""Discovery's agent: the whole list first, then changes, and an empty line every 2 s."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEARTBEAT_S = 2.0


class Agent:
    """The agent of one gateway; `entries` are in discovery's form."""

    def __init__(self, entries: list[dict[str, Any]], version: int = 41) -> None:
        self.entries = entries
        self.version = version
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def known(self) -> dict[str, Any]:
        """Return the whole list as an object."""
        return {"seq": self.version, "whole": True, "hosts": self.entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            self._send(writer, json.dumps(self.known()).encode() + b"\n")
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT_S)
                self._send(writer, b"\n")
                await writer.drain()
        self._writers.discard(writer)

    def _send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Tell changed entries on all watches."""
        by_host = {entry["host"]: entry for entry in [*self.entries, *entries]}
        self.entries = [entry for entry in by_host.values() if entry["health"] != "terminated"]
        self.version += 1
        update = {"seq": self.version, "whole": False, "hosts": entries}
        for writer in self._writers:
            self._send(writer, json.dumps(update).encode() + b"\n")

    def reset(self) -> None:
        """Reset all watches; the next one begins with the whole list."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening, and end all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()


def entry(
    host: str, dial: str, site: str = "a", block: int = 0, health: str = "in_service"
) -> dict[str, Any]:
    """Return an entry of the list."""
    return {
        "host": host,
        "dial": dial,
        "site": site,
        "class": "m1",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }
