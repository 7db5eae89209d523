"""Sends requests on connections to the gateways, and once more where a connection closes first."""

from __future__ import annotations

import asyncio
import random

from soak.background_tasks import BackgroundTasks
from soak.clients.connection import ClientConnection, ClientConnectionListener
from soak.clients.request_generator import RequestGenerator
from soak.gateways import Gateway, GatewayProcess
from soak.observations import Record, RequestSeen
from soak.settings import LOCALHOST

CHUNK_GAP_S = 0.02


class RequestSender:
    """Opens connections, reuses idle ones, and records each request that it sends."""

    def __init__(
        self, gateways: list[Gateway], record: Record, generator: RequestGenerator, rng: random.Random
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._gateways = gateways
        self._record = record
        self._generator = generator
        self._rng = rng
        self._idle: dict[GatewayProcess, list[ClientConnection]] = {}
        self._tasks = BackgroundTasks()
        self._retries = True

    def stop_retries(self) -> None:
        """Send no request again from now on."""
        self._retries = False

    # Connections.

    async def connect(
        self, gateway: int, process: GatewayProcess, listener: ClientConnectionListener | None = None
    ) -> ClientConnection | None:
        """Open a connection; return None where the process takes none.

        Without a listener of its own, others use it when it is idle.
        """
        if not process.takes_new_connections:
            return None
        try:
            _, connection = await self._loop.create_connection(
                lambda: ClientConnection(listener or self, gateway, process), LOCALHOST, process.port
            )
        except OSError:
            return None
        return connection

    async def idle_or_new(self, gateway: int, process: GatewayProcess) -> ClientConnection | None:
        """Return an idle connection, or else a new one; None where there is no usable one."""
        connection = self._take_idle(process)
        if connection is None:
            connection = await self.connect(gateway, process)
        return None if connection is None or connection.is_closed else connection

    def _take_idle(self, process: GatewayProcess) -> ClientConnection | None:
        idle = self._idle.get(process, [])
        while idle:
            connection = idle.pop(self._rng.randrange(len(idle)))
            if connection.is_usable():
                return connection
        return None

    def on_idle(self, connection: ClientConnection) -> None:
        """Keep a connection whose requests all have a reply."""
        self._idle.setdefault(connection.process, []).append(connection)

    # Requests.

    def send(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Record a request, and send it."""
        self._record.requests.append(seen)
        connection.send(seen, self._generator.command(seen))

    def send_new(self, connection: ClientConnection) -> None:
        """Draw a request, and send it."""
        process = connection.process.seen.number
        self.send(connection, self._generator.next_request(connection.gateway, process))

    async def send_in_chunks(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Send a request in three chunks; it is recorded with the last of them."""
        command = self._generator.command(seen)
        ends = sorted(self._rng.sample(range(1, len(command)), 2))
        for begin, end in zip((0, *ends), ends, strict=False):
            if not connection.is_usable():
                return  # an incomplete command is no request
            connection.transport.write(command[begin:end])
            await asyncio.sleep(CHUNK_GAP_S)
        if connection.is_usable():
            self._record.requests.append(seen)
            connection.send(seen, command[ends[-1] :])

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Send a request once more whose connection closed without a reply, as clients do."""
        if seen.is_retried or not self._retries or seen.connection_end is None:
            return
        time_left_s = seen.sent_at + seen.wait_s - self._loop.time()
        others = [g for g in self._gateways if g.process is not None and g.process.takes_new_connections]
        if time_left_s <= 0.0 or not others or connection.process.seen.killed_at is not None:
            return
        seen.is_retried = True
        gateway = self._rng.choice(others)
        self._tasks.spawn(self._retry(gateway, seen, time_left_s))

    async def _retry(self, gateway: Gateway, first: RequestSeen, time_left_s: float) -> None:
        process = gateway.process
        if process is None:
            return
        connection = await self.connect(gateway.position, process)
        if connection is None:
            return
        again = RequestSeen(
            request_id=first.request_id,
            kind=first.kind,
            plan=first.plan,
            customer=first.customer,
            gateway=gateway.position,
            process=process.seen.number,
            sent_at=0.0,
            wait_s=time_left_s,
            is_retried=True,
        )
        self.send(connection, again)
