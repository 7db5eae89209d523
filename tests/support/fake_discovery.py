"""A stand-in for discovery, and the endpoint lists that it sends."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from tests.support.event_loop import LOOPBACK


def endpoint_entry(
    name: str, port: int, health: str = "in_service", born_ms: int = 0, block: int = 0
) -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"{LOOPBACK}:{port}",
        "site": "a",
        "class": "m2",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def endpoint_list(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


class FakeDiscovery:
    """Records the requests for endpoint lists, and sends the updates that a test passes to it."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[bytes] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.first_update: dict[str, Any] | None = None
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.first_update is not None:
            self.send_update(self.first_update)
        self.requests.put_nowait(head.split(b"\r\n")[0])

    def send_update(self, update: dict[str, Any]) -> None:
        self.send_bytes(json.dumps(update).encode() + b"\n")

    def send_bytes(self, data: bytes) -> None:
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def abort(self) -> None:
        self.writers[-1].transport.abort()
