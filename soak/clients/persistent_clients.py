"""Clients that keep their connections: each sends its next request after a reply, until its connection ends.

They go on while their process shuts down, up to SIGKILL, as clients do on every connection that stays open.
"""

from __future__ import annotations

import asyncio

from soak.clients.connection import ClientConnection
from soak.clients.request_sender import RequestSender
from soak.gateways import Gateway, GatewayProcess
from soak.observations import RequestSeen

THINK_TIMES_S = (0.2, 0.5)  # between a reply and the next request, one client each
CHECK_INTERVAL_S = 0.2


class PersistentClients:
    """One connection for each think time to every process that takes new connections."""

    def __init__(self, sender: RequestSender) -> None:
        self._loop = asyncio.get_running_loop()
        self._sender = sender
        self._connections: dict[tuple[GatewayProcess, float], ClientConnection] = {}
        self._stopped = False

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    async def serve(self, gateway: Gateway) -> None:
        """Keep the clients of a gateway connected to its newest process."""
        while not self._stopped:
            process = gateway.process
            if process is not None and process.takes_new_connections:
                for think_time_s in THINK_TIMES_S:
                    await self._connect(gateway.position, process, think_time_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _connect(self, gateway: int, process: GatewayProcess, think_time_s: float) -> None:
        connection = self._connections.get((process, think_time_s))
        if connection is not None and connection.is_usable():
            return
        client = _PersistentClient(self, think_time_s)
        connection = await self._sender.connect(gateway, process, client)
        if connection is not None:
            self._connections[process, think_time_s] = connection
            self.send(connection)

    def send_later(self, connection: ClientConnection, delay_s: float) -> None:
        """Send the next request after a time."""
        self._loop.call_later(delay_s, self.send, connection)

    def send(self, connection: ClientConnection) -> None:
        """Send the next request, if the connection is still open."""
        if connection.is_usable() and not self._stopped:
            self._sender.send_new(connection)

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Have a request sent once more whose connection closed before its reply."""
        self._sender.on_unanswered(connection, seen)


class _PersistentClient:
    """The listener of one connection."""

    def __init__(self, clients: PersistentClients, think_time_s: float) -> None:
        self._clients = clients
        self._think_time_s = think_time_s

    def on_idle(self, connection: ClientConnection) -> None:
        """Send the next request after the think time."""
        self._clients.send_later(connection, self._think_time_s)

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Have the request sent once more."""
        self._clients.on_unanswered(connection, seen)
