"""Clients that keep several requests for large values open, and read the responses slowly.

They go on while their process shuts down: they learn of the end of their connection only once they have read
everything before it, and send requests until then.
"""

from __future__ import annotations

import asyncio
import random
import socket

from soak.clients.connection import ClientConnection, ClientConnectionListener
from soak.clients.request_generator import RequestGenerator
from soak.clients.request_sender import RequestSender
from soak.gateways import GatewayProcess
from soak.observations import RequestSeen
from soak.settings import LOCALHOST, Effect

CONNECTIONS = 3
REQUESTS_AHEAD = (4, 6, 12)
VALUE_BYTES = (3_000, 20_000, 60_000)
READ_TIMES_S = (0.2, 0.5, 0.9)  # that a client takes to read as many responses as it has requests ahead
RECEIVE_BUFFER_BYTES = (8_192, 65_536)


class SlowPipelines:
    """Opens connections of slow readers, and keeps the requests on them open."""

    def __init__(self, sender: RequestSender, generator: RequestGenerator, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._sender = sender
        self._generator = generator
        self._rng = rng

    async def run(self, gateway: int, process: GatewayProcess, duration_s: float) -> None:
        """Send requests for `duration_s` or until the connections end, and read all responses."""
        stops_at = self._loop.time() + duration_s
        for _ in range(CONNECTIONS):
            connection = SlowConnection(self, gateway, process, stops_at)
            connection.value_bytes = self._rng.choice(VALUE_BYTES)
            requests_ahead = self._rng.choice(REQUESTS_AHEAD)
            connection.bytes_per_s = requests_ahead * connection.value_bytes / self._rng.choice(READ_TIMES_S)
            if not await self._connect(connection, process):
                return
            for _ in range(requests_ahead):
                self.send(connection)

    async def _connect(self, connection: SlowConnection, process: GatewayProcess) -> bool:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._rng.choice(RECEIVE_BUFFER_BYTES))
        sock.setblocking(False)
        try:
            await self._loop.sock_connect(sock, (LOCALHOST, process.port))
            await self._loop.create_connection(lambda: connection, sock=sock)
        except OSError:
            sock.close()
            return False
        return True

    def send(self, connection: SlowConnection) -> None:
        """Send another request on a connection that is still open."""
        if not connection.is_usable():
            return
        process = connection.process.seen.number
        seen = self._generator.request_of(connection.gateway, process, Effect.IDEMPOTENT)
        seen.request_id += f"-{connection.value_bytes}"
        seen.reads_slowly = True
        self._sender.send(connection, seen)

    def on_idle(self, connection: ClientConnection) -> None:
        """Leave the connection to its client."""

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Have a request sent once more whose connection closed before its response."""
        self._sender.on_unanswered(connection, seen)


class SlowConnection(ClientConnection):
    """Reads a limited number of bytes a second, and sends a request for each response until a time."""

    def __init__(
        self, clients: SlowPipelines, gateway: int, process: GatewayProcess, stops_at: float
    ) -> None:
        listener: ClientConnectionListener = clients
        super().__init__(listener, gateway, process)
        self._clients = clients
        self._stops_at = stops_at
        self.bytes_per_s = 1.0
        self.value_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Process the responses in the data, send as many requests, and pause as long as reading takes."""
        answered = len(self.pending)
        now = self._loop.time()
        pause_s = len(data) / self.bytes_per_s
        super().data_received(data)
        answered -= len(self.pending)
        if now < self._stops_at:
            for _ in range(answered):
                self._clients.send(self)
        for seen in self.pending:
            seen.ready_at = now + pause_s  # the time that reading takes is the client's own
        if self.is_usable():
            self.transport.pause_reading()
            self._loop.call_later(pause_s, self._read_on)

    def _read_on(self) -> None:
        if self.is_usable():
            self.transport.resume_reading()
