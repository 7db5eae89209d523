"""Crowds of clients that make a gateway hold memory: large commands that do not end, values that wait.

Each client follows the protocol until it stops: it writes valid commands, slowly, in part, or without
reading the replies. Commands and values have the sizes of the crowd's plan.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, cast

import hiredis

from soak.settings import LOCALHOST

MAX_ARGUMENTS = 16  # that a command may have
SHORT_FIELD = b"a=1,"
READ_INTERVAL_S = 0.1  # of a client that reads slowly
ANSWER_BYTES = 65_536  # that a client reads at a time where it reads all


class CrowdBehavior(Enum):
    """What the clients of a crowd do."""

    HALF_COMMANDS = "half_commands"  # write half of a large command, and stop
    SLOW_COMMANDS = "slow_commands"  # then write the other half in small pieces
    MANY_FIELDS = "many_fields"  # the same with commands of very many short fields
    UNREAD_VALUES = "unread_values"  # send requests for values, and read nothing
    SLOW_VALUES = "slow_values"  # send requests for values, and read them slowly


@dataclass(frozen=True, slots=True, kw_only=True)
class CrowdPlan:
    """The size and the behavior of a crowd."""

    behavior: CrowdBehavior
    clients: int
    body_bytes: int = 65_000  # of a command that is written in part or slowly
    piece_bytes: int = 300  # written at a time
    piece_interval_s: float = 0.02
    requests: int = 6  # for values, on each connection
    value_bytes: int = 60_000
    read_bytes_per_s: int = 20_000


class CrowdCommands(Protocol):
    """Builds the commands of a crowd, each with an id of its own."""

    def value_command(self, value_bytes: int) -> bytes:
        """Return a request that is answered by a value of this size."""

    def body_command(self, body_bytes: int) -> bytes:
        """Return a request with a body of this size."""


def many_fields_command(size: int) -> bytes:
    """Return a command of about `size` bytes with the most arguments, each a list of short fields."""
    argument = SHORT_FIELD * (size // MAX_ARGUMENTS // len(SHORT_FIELD))
    words = (b"CALL.POST", *[argument] * (MAX_ARGUMENTS - 1))
    return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]  # the stub lacks bytes


class Crowd:
    """The clients of one crowd at one gateway."""

    def __init__(self, plan: CrowdPlan, commands: CrowdCommands, port: int) -> None:
        self._plan = plan
        self._commands = commands
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._behaviors: dict[CrowdBehavior, Callable[[socket.socket], Awaitable[None]]] = {
            CrowdBehavior.HALF_COMMANDS: self._write_half,
            CrowdBehavior.SLOW_COMMANDS: self._write_body_slowly,
            CrowdBehavior.MANY_FIELDS: self._write_fields_slowly,
            CrowdBehavior.UNREAD_VALUES: self._request_values,
            CrowdBehavior.SLOW_VALUES: self._read_values_slowly,
        }

    async def run(self, duration_s: float) -> None:
        """Connect all clients at once, let them behave as planned, and close them after a while."""
        clients = [self._loop.create_task(self._run_client()) for _ in range(self._plan.clients)]
        try:
            await asyncio.wait(clients, timeout=duration_s)
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    async def _run_client(self) -> None:
        """Run one client, which keeps its connection open until it is cancelled."""
        async with self._connected() as sock:
            with suppress(OSError):
                await self._behaviors[self._plan.behavior](sock)
            await asyncio.Event().wait()

    @asynccontextmanager
    async def _connected(self) -> AsyncIterator[socket.socket]:
        with socket.socket() as sock:
            sock.setblocking(False)
            with suppress(OSError):
                await self._loop.sock_connect(sock, (LOCALHOST, self._port))
            yield sock

    async def _write_half(self, sock: socket.socket) -> None:
        command = self._commands.body_command(self._plan.body_bytes)
        await self._loop.sock_sendall(sock, command[: len(command) // 2])

    async def _write_body_slowly(self, sock: socket.socket) -> None:
        await self._write_slowly(sock, self._commands.body_command(self._plan.body_bytes))

    async def _write_fields_slowly(self, sock: socket.socket) -> None:
        await self._write_slowly(sock, many_fields_command(self._plan.body_bytes))

    async def _write_slowly(self, sock: socket.socket, command: bytes) -> None:
        """Write half of a command at once, and the remainder in pieces."""
        middle = len(command) // 2
        await self._loop.sock_sendall(sock, command[:middle])
        for position in range(middle, len(command), self._plan.piece_bytes):
            await asyncio.sleep(self._plan.piece_interval_s)
            await self._loop.sock_sendall(sock, command[position : position + self._plan.piece_bytes])

    async def _request_values(self, sock: socket.socket) -> None:
        plan = self._plan
        commands = b"".join(self._commands.value_command(plan.value_bytes) for _ in range(plan.requests))
        await self._loop.sock_sendall(sock, commands)

    async def _read_values_slowly(self, sock: socket.socket) -> None:
        await self._request_values(sock)
        while await self._loop.sock_recv(sock, int(self._plan.read_bytes_per_s * READ_INTERVAL_S)):
            await asyncio.sleep(READ_INTERVAL_S)
