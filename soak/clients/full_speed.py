"""One caller that sends commands on one connection as fast as the gateway answers them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from soak.settings import LOCALHOST

COMMANDS_PER_WRITE = 64
READ_BYTES = 65_536


class FullSpeedCaller:
    """Writes batches of commands, and reads every answer meanwhile; counts the commands written."""

    def __init__(self, port: int, next_command: Callable[[], bytes]) -> None:
        self.sent = 0
        self._port = port
        self._next_command = next_command
        self._loop = asyncio.get_running_loop()

    async def run(self, duration_s: float) -> None:
        """Send until the time is over or the gateway closes the connection."""
        with socket.socket() as sock:
            sock.setblocking(False)
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(duration_s):
                    await self._loop.sock_connect(sock, (LOCALHOST, self._port))
                    await asyncio.gather(self._write(sock), self._read(sock))

    async def _write(self, sock: socket.socket) -> None:
        while True:
            batch = b"".join(self._next_command() for _ in range(COMMANDS_PER_WRITE))
            await self._loop.sock_sendall(sock, batch)
            self.sent += COMMANDS_PER_WRITE

    async def _read(self, sock: socket.socket) -> None:
        while await self._loop.sock_recv(sock, READ_BYTES):
            pass
