"""A stand-in for an endpoint, and the replies that a test sends for it."""

from __future__ import annotations

import asyncio

from tests.support.event_loop import with_timeout
from tests.support.resp_connection import Connection


class FakeEndpoint:
    """Passes each command to the test, as (connection, words)."""

    def __init__(self) -> None:
        self.commands: asyncio.Queue[tuple[Connection, list[bytes]]] = asyncio.Queue()
        self.connections: list[Connection] = []
        self.closed_connections = 0
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        while (words := await connection.next_message()) is not None:
            self.commands.put_nowait((connection, words))
        self.closed_connections += 1

    async def next_command(self) -> tuple[Connection, list[bytes]]:
        return await with_timeout(self.commands.get())

    async def reply_to_next_command(self, reply: bytes) -> list[bytes]:
        """Send a reply to the next command; return the words of the command."""
        connection, words = await self.next_command()
        connection.send(reply)
        return words

    async def start_reply_to_next_command(self, first_bytes: bytes) -> Connection:
        """Send the first bytes of a reply to the next command; return the connection for the others."""
        connection, _ = await self.next_command()
        connection.send(first_bytes)
        return connection

    async def next_requests(self, count: int) -> dict[int, Connection]:
        """Wait for this many requests; return the connection of each, by the id of the request."""
        connections = {}
        for _ in range(count):
            connection, words = await self.next_command()
            connections[int(words[2], 16)] = connection
        return connections


def bulk_string(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def success_reply(value: bytes, report: bytes | None = b"load_share=0.5,concurrent=3") -> bytes:
    """Return the reply of a request that succeeded, with a load report."""
    return (
        b"*3\r\n" + bulk_string(value) + b"$-1\r\n" + (b"$-1\r\n" if report is None else bulk_string(report))
    )
