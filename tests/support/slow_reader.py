"""A client that leaves its replies with the system until the test reads them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from tests.support.event_loop import LOOPBACK, with_timeout

RECEIVE_BUFFER_BYTES = 4096  # so that most of the replies stay with the gateway's system
READ_BYTES = 1 << 16


class SlowReader:
    """A connection to a gateway, whose bytes the test sends and reads."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._loop = asyncio.get_running_loop()

    async def connect(self, port: int) -> None:
        await self._loop.sock_connect(self._sock, (LOOPBACK, port))

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._sock, data)

    def shut_down_sending(self) -> None:
        self._sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self._sock.close()

    async def read_some(self) -> bytes:
        """Return the next bytes, empty at the end; raise OSError if the connection was reset."""
        return await with_timeout(self._loop.sock_recv(self._sock, READ_BYTES))

    async def read_to_the_end(self) -> bytes:
        """Return all bytes up to the end of the stream; raise OSError if the connection was reset."""
        received = bytearray()
        while part := await self.read_some():
            received += part
        return bytes(received)


@contextmanager
def slow_reader() -> Iterator[SlowReader]:
    """Yield a client that is not connected yet, and close it at the end."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        yield SlowReader(sock)
