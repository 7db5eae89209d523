"""The traffic of all clients: regular requests, and on demand unusual or invalid ones."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from soak.background_tasks import BackgroundTasks
from soak.clients.connection import ClientConnection, ClientConnectionListener
from soak.clients.crowds import Crowd, CrowdBehavior, CrowdPlan
from soak.clients.invalid_commands import flood, send_invalid
from soak.clients.persistent_clients import PersistentClients
from soak.clients.request_generator import GeneratedCommands, RequestGenerator
from soak.clients.request_sender import RequestSender
from soak.clients.slow_pipelines import SlowPipelines
from soak.gateways import Gateway, GatewayProcess
from soak.observations import Record, RequestSeen
from soak.settings import Deployment, Effect

PIPELINED_COMMANDS = 120
DISCONNECTING_CLIENTS = 6
REQUESTS_BEFORE_DISCONNECT = (1, 1, 3)
DISCONNECT_DELAYS_S = (0.0, 0.001, 0.01, 0.05, 0.3)
SLOW_READERS = 4
SLOW_READER_COMMANDS = (1, 3, 12)
MIN_READING_PAUSE_S = 0.1
MAX_READING_PAUSE_S = 1.5  # below the time after which gateways close a client that does not read
IMPATIENT_REQUESTS = 30
MIN_IMPATIENT_S = 0.005
MAX_IMPATIENT_S = 0.04
CROWD_CONNECTIONS = 250  # a gateway with 400 descriptors holds 168 clients, with 256 it holds 96
CROWD_DURATION_S = 2.0  # until a crowd that lasts throughout a run connects anew
CROWDED_EVERY = 4  # gateways, where a crowd lasts throughout a run
CLIENT_GAP_S = 0.02
CROWD_SIZES = (150, 330, 450)
CROWD_BODY_BYTES = (30_000, 65_000)
SLOW_PIECE_INTERVAL_S = 0.1  # long enough that no command is complete before its crowd ends
UNREAD_VALUE_BYTES = (3_000, 20_000, 60_000)
UNREAD_REQUESTS = 6  # by each client of a crowd
NEW_CUSTOMERS_AT_ONCE = 16
NEW_CUSTOMERS_INTERVAL_S = 0.01
FIRST_NEW_CUSTOMER = 1_000_000
SLOW_PIPELINE_FIRST_ID = 1 << 40  # apart from the ids of other requests
REQUESTS_COMING_AGAIN = 20
COMES_AGAIN_AFTER_S = 0.15
IN_CHUNKS_SHARE = 0.1  # of the regular requests


class SingleCallerListener:
    """The listener of a connection that no other client uses when it is idle."""

    def __init__(self, sender: RequestSender) -> None:
        self._sender = sender

    def on_idle(self, connection: ClientConnection) -> None:
        """Leave the connection to its caller."""

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Have a request sent once more whose connection closed before its reply."""
        self._sender.on_unanswered(connection, seen)


class Traffic:
    """All clients of all gateways."""

    def __init__(self, deployment: Deployment, gateways: list[Gateway], record: Record, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._requests_per_s = deployment.requests_per_s
        self._gateways = gateways
        self._record = record
        self._rng = random.Random(f"traffic {seed}")
        self._generator = RequestGenerator(deployment, self._rng)
        self._sender = RequestSender(gateways, record, self._generator, self._rng)
        self._persistent_clients = PersistentClients(self._sender)
        slow_rng = random.Random(f"slow pipelines {seed}")
        self._slow_pipelines = SlowPipelines(
            self._sender, RequestGenerator(deployment, slow_rng, SLOW_PIPELINE_FIRST_ID), slow_rng
        )
        self._tasks = BackgroundTasks()
        self._next_customer = FIRST_NEW_CUSTOMER
        self._stopped = False

    def start(self, has_crowd: bool) -> None:
        """Begin to send to every gateway; with a crowd, idle clients fill some gateways throughout."""
        for gateway in self._gateways:
            self._tasks.spawn(self._send_to(gateway))
            self._tasks.spawn(self._persistent_clients.serve(gateway))
            if has_crowd and gateway.position % CROWDED_EVERY == 0:
                self._tasks.spawn(self._crowd_throughout(gateway.position))

    def stop(self) -> None:
        """Send no more regular requests, and no request again."""
        self._stopped = True
        self._persistent_clients.stop()
        self._sender.stop_retries()

    # Regular requests.

    async def _send_to(self, gateway: Gateway) -> None:
        next_at = self._loop.time()
        while not self._stopped:
            next_at += self._rng.expovariate(self._requests_per_s)
            await asyncio.sleep(max(0.0, next_at - self._loop.time()))
            process = gateway.process
            if process is not None and process.is_serving():
                self._tasks.spawn(self._send_one(gateway.position, process))

    async def _send_one(self, gateway: int, process: GatewayProcess) -> None:
        connection = await self._sender.idle_or_new(gateway, process)
        if connection is None:
            return
        seen = self._generator.next_request(gateway, process.seen.number)
        if self._rng.random() < IN_CHUNKS_SHARE:
            await self._sender.send_in_chunks(connection, seen)
        else:
            self._sender.send(connection, seen)

    # Unusual clients.

    async def _connect(
        self, gateway: int, listener: ClientConnectionListener | None = None
    ) -> ClientConnection | None:
        process = self._process_for_new_connections(gateway)
        return None if process is None else await self._sender.connect(gateway, process, listener)

    def _process_for_new_connections(self, gateway: int) -> GatewayProcess | None:
        process = self._gateways[gateway].process
        return process if process is not None and process.takes_new_connections else None

    async def pipeline(self, gateway: int) -> None:
        """Send many commands at once on one connection."""
        connection = await self._connect(gateway)
        if connection is None:
            return
        for _ in range(PIPELINED_COMMANDS):
            self._sender.send_new(connection)

    async def leave(self, gateway: int) -> None:
        """Connect several times, send requests, and reset each connection soon after."""
        for _ in range(DISCONNECTING_CLIENTS):
            connection = await self._connect(gateway)
            if connection is None:
                return
            for _ in range(self._rng.choice(REQUESTS_BEFORE_DISCONNECT)):
                self._sender.send_new(connection)
            self._loop.call_later(self._rng.choice(DISCONNECT_DELAYS_S), connection.disconnect)
            await asyncio.sleep(CLIENT_GAP_S)

    async def read_slowly(self, gateway: int) -> None:
        """Send several commands on each of a few connections, and read no reply for a while."""
        for _ in range(SLOW_READERS):
            connection = await self._connect(gateway)
            if connection is None:
                return
            for _ in range(self._rng.choice(SLOW_READER_COMMANDS)):
                self._sender.send_new(connection)
            connection.pause_reading(self._rng.uniform(MIN_READING_PAUSE_S, MAX_READING_PAUSE_S))

    async def be_impatient(self, gateway: int) -> None:
        """Send requests with deadlines so short that some expire before an order server responds."""
        for _ in range(IMPATIENT_REQUESTS):
            connection = await self._connect(gateway)
            if connection is None:
                return
            seen = self._generator.next_request(gateway, connection.process.seen.number)
            seen.wait_s = self._rng.uniform(MIN_IMPATIENT_S, MAX_IMPATIENT_S)
            self._sender.send(connection, seen)
            await asyncio.sleep(CLIENT_GAP_S)

    async def crowd(self, gateway: int, duration_s: float) -> None:
        """Open more connections than the gateway holds, send nothing, and close them after a while."""
        process = self._process_for_new_connections(gateway)
        if process is None:
            return
        idle = [await self._sender.connect(gateway, process) for _ in range(CROWD_CONNECTIONS)]
        await asyncio.sleep(duration_s)
        for connection in idle:
            if connection is not None and not connection.is_closed:
                connection.transport.close()

    async def _crowd_throughout(self, gateway: int) -> None:
        while not self._stopped:
            await self.crowd(gateway, CROWD_DURATION_S)
            await asyncio.sleep(CLIENT_GAP_S)

    async def hold_memory(self, gateway: int, duration_s: float, behavior: CrowdBehavior) -> None:
        """Have a crowd write large commands in part or slowly; none of them is complete in time."""
        process = self._process_for_new_connections(gateway)
        if process is not None:
            plan = CrowdPlan(
                behavior=behavior,
                clients=self._rng.choice(CROWD_SIZES),
                body_bytes=self._rng.choice(CROWD_BODY_BYTES),
                piece_interval_s=SLOW_PIECE_INTERVAL_S,
            )
            commands = GeneratedCommands(self._generator, gateway, process.seen.number)
            await Crowd(plan, commands, process.port).run(duration_s)

    async def leave_values_unread(self, gateway: int, duration_s: float) -> None:
        """Have a crowd request values, and read none of them."""
        size = self._rng.choice(UNREAD_VALUE_BYTES)
        opened = []
        for _ in range(self._rng.choice(CROWD_SIZES)):
            connection = await self._connect(gateway)
            if connection is None:
                break
            opened.append(connection)
            connection.transport.pause_reading()
            for _ in range(UNREAD_REQUESTS):
                seen = self._generator.request_of(gateway, connection.process.seen.number, Effect.IDEMPOTENT)
                seen.request_id += f"-{size}"
                self._sender.send(connection, seen)
        await asyncio.sleep(duration_s)
        for connection in opened:
            connection.disconnect()

    async def bring_new_customers(self, gateway: int, duration_s: float) -> None:
        """Send requests on one connection as fast as they are answered, each for another customer."""
        connection = await self._connect(gateway, SingleCallerListener(self._sender))
        ends_at = self._loop.time() + duration_s
        while connection is not None and connection.is_usable() and self._loop.time() < ends_at:
            for _ in range(NEW_CUSTOMERS_AT_ONCE):
                self._next_customer += 1
                seen = self._generator.request_of(
                    gateway, connection.process.seen.number, Effect.IDEMPOTENT, self._next_customer
                )
                self._sender.send(connection, seen)
            await asyncio.sleep(NEW_CUSTOMERS_INTERVAL_S)

    async def come_again(self, gateway: int) -> None:
        """Send payments and leave; send the same ones on a new connection soon after."""
        connection = await self._connect(gateway)
        if connection is None:
            return
        process = connection.process.seen.number
        sent = []
        for _ in range(REQUESTS_COMING_AGAIN):
            seen = self._generator.request_of(gateway, process, Effect.NOT_IDEMPOTENT)
            command = self._generator.command(seen)
            self._record.requests.append(seen)
            connection.send(seen, command)
            sent.append((seen, command))
        await asyncio.sleep(self._rng.choice(DISCONNECT_DELAYS_S))
        connection.disconnect()
        await asyncio.sleep(COMES_AGAIN_AFTER_S)
        connection = await self._connect(gateway)
        if connection is None or connection.process.seen.number != process:
            return
        for seen, command in sent:
            if seen.client_closed_at is None:
                continue  # it was answered before
            seen.sent_again_at = self._loop.time()
            again = replace(seen, client_closed_at=None, sent_again_at=None, is_retried=True)
            self._record.requests.append(again)
            connection.send(again, command)

    async def pipeline_slowly(self, gateway: int, duration_s: float) -> None:
        """Keep requests for large values open on a few connections, and read the responses slowly."""
        process = self._process_for_new_connections(gateway)
        if process is not None:
            await self._slow_pipelines.run(gateway, process, duration_s)

    async def misbehave(self, gateway: int, data: bytes) -> None:
        """Send bytes that are no command, and record how the gateway ends the connection."""
        process = self._process_for_new_connections(gateway)
        if process is not None:
            self._record.bad_clients.append(await send_invalid(gateway, process, data))

    async def flood(self, gateway: int, duration_s: float) -> None:
        """Send megabytes of commands that are no requests, for a while."""
        process = self._process_for_new_connections(gateway)
        if process is not None:
            self._record.bad_clients.append(await flood(gateway, process, duration_s))
