"""One order server: its addresses, its connections, its life, and the faults injected into it."""

from __future__ import annotations

import asyncio
import random

from soak.observations import Record
from soak.order_servers.active_faults import ActiveFaults
from soak.order_servers.command_handler import CommandHandler
from soak.order_servers.connection import ServerConnection
from soak.order_servers.listener import GatewayListener
from soak.schedule import FaultKind
from soak.settings import LOCALHOST, Deployment

SERVERS_PER_CELL = 4


class OrderServer:
    """One order server; `born_at` is Unix time in seconds, 0 for long ago."""

    def __init__(
        self, number: int, deployment: Deployment, record: Record, rng: random.Random, born_at: float
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.number = number
        self.name = f"s-{number:08x}"
        self.zone = deployment.zones[number % len(deployment.zones)]
        self.cell = number // SERVERS_PER_CELL
        self.born_at = born_at
        self.began_at = 0.0  # the same on the loop's clock
        self.is_up = False
        self._connections: set[ServerConnection] = set()
        self._faults = ActiveFaults(rng)
        self._commands = CommandHandler(number, deployment.work_s, record, self._faults, rng)
        self._listeners = [
            GatewayListener(lambda gateway=gateway: ServerConnection(self, gateway))  # type: ignore[misc]
            for gateway in range(deployment.fleet.gateways)
        ]

    # The process.

    def start(self) -> None:
        """Listen, at the same addresses each time."""
        for listener in self._listeners:
            listener.listen()
        self.is_up = True

    def stop(self) -> None:
        """Reset all connections, and refuse new ones until the next start."""
        if not self.is_up:
            return
        self.is_up = False
        for listener in self._listeners:
            listener.refuse()
        for connection in list(self._connections):
            connection.abort()
        self._commands.drop_hanging_replies()
        self._faults.clear()

    def close(self) -> None:
        """Stop, and release the addresses."""
        self.stop()
        for listener in self._listeners:
            listener.close()

    def address(self, gateway: int) -> str:
        """Return the address at which a gateway reaches the server."""
        return f"{LOCALHOST}:{self._listeners[gateway].port}"

    # Fault injection.

    def begin_fault(self, kind: FaultKind, duration_s: float) -> None:
        """Inject a fault for a while; a server that is down ignores it."""
        if not self.is_up:
            return
        self._faults.begin(kind, duration_s)
        if kind is FaultKind.UNACCEPTING:
            for listener in self._listeners:
                listener.stop_accepting()
        self._loop.call_later(duration_s, self._end_fault, kind)

    def _end_fault(self, kind: FaultKind) -> None:
        if self._faults.is_active(kind):
            return
        self._faults.remove(kind)
        if kind is FaultKind.UNACCEPTING:
            for listener in self._listeners:
                listener.resume_accepting()
        if kind is FaultKind.HANG:
            self._commands.end_hang()

    # Connections.

    def on_connected(self, connection: ServerConnection) -> None:
        """Keep a connection until it ends."""
        self._connections.add(connection)

    def on_command(
        self, connection: ServerConnection, words: list[bytes], began_at: float, now: float
    ) -> None:
        """Handle a command, whose first byte came at `began_at` and its last one now."""
        self._commands.handle(connection, words, began_at, now)

    def closes_idle_connections(self) -> bool:
        """Return whether connections without open attempts are to be closed early."""
        return self._faults.is_active(FaultKind.IDLE_CLOSE)

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
