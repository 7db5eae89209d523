"""Discovery, order servers that answer at once and a quota counter, in one process of its own.

`python -m benchmarks.stand_in N` lists N order servers, all reached at one port, and writes its ports as a
line of JSON to stdout. Once its stdin ends it writes what it counted as another line.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import ClassVar, cast

import hiredis
import uvloop

from benchmarks.common import line, servers, whole

LOCAL = "127.0.0.1"
BEAT = 2.0  # s between empty lines of a watch
COUNTER_S = 0.001  # s until the counter answers
SERVED = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"


class Peer(asyncio.Protocol):
    """One connection to anything here."""

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)


class OrderServer(Peer):
    accepted = 0  # connections

    def __init__(self) -> None:
        self._reader = hiredis.Reader()
        OrderServer.accepted += 1

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while words := self._reader.gets():
            verb = words[0].upper()
            called = verb.startswith(b"CALL.")
            self.transport.write(SERVED if called else b"+PONG\r\n" if verb == b"PING" else b"+OK\r\n")


class Agent(Peer):
    """Answers any request with the watch: the whole list, then nothing new."""

    listed = b""

    def __init__(self) -> None:
        self._head = b""

    def data_received(self, data: bytes) -> None:
        self._head += data
        if b"\r\n\r\n" in self._head:
            self._head = b""
            self.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._chunk(self.listed)
            self._beat()

    def _chunk(self, data: bytes) -> None:
        self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _beat(self) -> None:
        if not self.transport.is_closing():
            self._chunk(b"\n")
            asyncio.get_running_loop().call_later(BEAT, self._beat)


class QuotaCounter(Peer):
    numbers: ClassVar[dict[bytes, float]] = {}
    calls = 0

    def __init__(self) -> None:
        self._rest = b""

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        answers = b""
        for words in (each.split() for each in lines):
            if words[0] == b"ping":
                answers += b"pong\r\n"
            else:
                QuotaCounter.calls += 1
                total = self.numbers[words[1]] = self.numbers.get(words[1], 0.0) + float(words[2])
                answers += b"ok %.6f\r\n" % total
        asyncio.get_running_loop().call_later(COUNTER_S, self.transport.write, answers)


async def serve(n: int) -> None:
    loop = asyncio.get_running_loop()
    ports = {}
    for name, peer in (("order_server", OrderServer), ("agent", Agent), ("counter", QuotaCounter)):
        server = await loop.create_server(peer, LOCAL, 0, backlog=1024)
        ports[name] = server.sockets[0].getsockname()[1]
    Agent.listed = line(whole(servers(n, dial=f"{LOCAL}:{ports['order_server']}")))
    print(json.dumps(ports), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)  # until whoever started this closes it
    print(json.dumps({"connections": OrderServer.accepted, "calls": QuotaCounter.calls}), flush=True)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
