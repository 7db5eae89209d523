"""An order server: reads commands and answers them as a script of the case says."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

import hiredis

from .record import Record

PONG = b"+PONG\r\n"
LOAD_REPORT = b"load_share=0.2,concurrent=1"
SYNTAX = b"-SYNTAX\r\n"
OK = b"+OK\r\n"
UNKNOWN = b"-ERR unknown\r\n"
ARGUMENTS = (4, 5)


def bulk(data: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(data), data)


def served(value: bytes) -> bytes:
    """Return the answer that serves a request with a value, without figures on use or load."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


class Call:
    """One command that came whole, and the connection on which it is answered."""

    def __init__(self, server: OrderServer, connection: ServerConnection, words: list[bytes]) -> None:
        self.server = server
        self.connection = connection
        self.customer = words[1].decode()
        self.request_id = words[2].decode()
        self.pairs = dict(pair.partition(b"=")[::2] for pair in words[3].split(b","))
        self.body = words[4] if len(words) == max(ARGUMENTS) else b""

    @property
    def class_name(self) -> str:
        """Return the class of the request."""
        return self.pairs[b"c"].decode()

    def note(self, what: str) -> None:
        """Record something about the request."""
        self.server.record.add(self.server.name, f"{self.request_id} {what}")

    async def write(self, data: bytes) -> bool:
        """Write bytes; return False if the connection has ended."""
        return await self.connection.write(data)

    def reset(self) -> None:
        """Reset the connection."""
        self.connection.reset()


Script = Callable[[Call], Coroutine[Any, Any, None]]


class ServerConnection:
    """A gateway's connection; requests begin at once, and answers keep their order."""

    def __init__(
        self, server: OrderServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._server = server
        self._reader = reader
        self._writer = writer
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_open = True

    async def serve(self) -> None:
        """Read commands until the gateway ends the connection."""
        parser = hiredis.Reader()
        try:
            while data := await self._reader.read(1 << 16):
                parser.feed(data)
                while (words := parser.gets()) is not False:
                    await self._handle(words)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.is_open = False
            self._writer.close()

    async def _handle(self, words: list[bytes]) -> None:
        name = words[0].upper()
        if name in (b"CALL.GET", b"CALL.POST"):
            if len(words) not in ARGUMENTS:
                await self.write(SYNTAX)
                return
            call = Call(self._server, self, words)
            call.note(f"came whole: {call.class_name}, d={call.pairs[b'd'].decode()}")
            task = asyncio.create_task(self._server.script(call))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        simple = {b"PING": PONG, b"INFO": bulk(LOAD_REPORT), b"CLIENT": OK, b"SELECT": OK}
        await self.write(simple.get(name, UNKNOWN))

    async def write(self, data: bytes) -> bool:
        """Write bytes; return False if the connection has ended."""
        if not self.is_open:
            return False
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError:
            self.is_open = False
        return self.is_open

    def reset(self) -> None:
        """Reset the connection."""
        self.is_open = False
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()


class OrderServer:
    """One order server at a loopback address."""

    def __init__(self, name: str, zone: str, cell: int, record: Record, script: Script) -> None:
        self.name = name
        self.zone = zone
        self.cell = cell
        self.record = record
        self.script = script
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        sock = self._server.sockets[0]
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await ServerConnection(self, reader, writer).serve()

    def entry(self, health: str = "in_service") -> dict[str, object]:
        """Return the entry in discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": self.zone,
            "class": "std-4core",
            "block": self.cell,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }
