"""Clients of the gateways: they send requests, leave, pipeline, and misbehave, and note what they got."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Coroutine
from typing import Any, cast

import hiredis

from soak.gateways import Gateway, GatewayProcess
from soak.observations import (
    Answer,
    BadClientSeen,
    ConnectionEnd,
    Record,
    RequestSeen,
    ResponseSeen,
    content_of,
)
from soak.order_servers import without_padding
from soak.settings import LOCALHOST, Deployment, Effect

CUSTOMERS = 40
HEAVY_CUSTOMERS = 2  # of the plan with a ceiling: these ask for more than it allows
HEAVY_SHARE = 0.12  # of all requests
HEAVY_PLAN = 1
PIPELINED_COMMANDS = 120
LEAVERS = 6
SLOW_READERS = 4
SLOW_READER_COMMANDS = (1, 3, 12)
MAX_READING_PAUSE_S = 1.5  # under the time for which gateways wait for clients
READING_SLACK_S = 0.3  # after a pause, until all that waits is read
IMPATIENT_REQUESTS = 30
MAX_IMPATIENT_S = 0.04
CROWD_CONNECTIONS = 250  # a gateway with 400 descriptors holds 168 clients, with 256 it holds 96
BAD_CLIENT_PATIENCE_S = 6.0
PIECE_GAP_S = 0.02
IN_PIECES_SHARE = 0.1  # of the usual requests
BODY_BYTES = (0, 200, 200, 2000, 60_000)  # at most
KIND_WEIGHTS = (6, 3, 2)
HALF_COMMAND = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000"
GARBAGE = b"GET / HTTP/1.1\r\nHost: gateway\r\n\r\n"


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway; answers come in the order of the requests."""

    def __init__(self, traffic: Traffic, gateway: int, process: GatewayProcess) -> None:
        self._traffic = traffic
        self._reader = hiredis.Reader()
        self._saw_eof = False
        self.gateway = gateway
        self.process = process
        self.pending: deque[RequestSeen] = deque()
        self._unsent: list[RequestSeen] = []  # whose bytes are not all handed to the system yet
        self.transport: asyncio.Transport
        self.answered_at = 0.0
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)

    def send(self, seen: RequestSeen, command: bytes) -> None:
        """Send a request; its time counts from when its last byte is handed to the system."""
        seen.sent_at = self._traffic.time()
        seen.ready_at = self.answered_at
        self.pending.append(seen)
        self.transport.write(command)
        if self._unsent or self.transport.get_write_buffer_size():
            self._unsent.append(seen)

    def resume_writing(self) -> None:
        """Count the time of the requests that had to wait for room from now on."""
        now = self._traffic.time()
        for seen in self._unsent:
            seen.sent_at = now
        self._unsent.clear()

    def data_received(self, data: bytes) -> None:
        """Take the answers that are complete."""
        now = self._traffic.time()
        self._reader.feed(data)
        try:
            while (answer := self._reader.gets()) is not False:
                self._on_answer(answer, now)
        except hiredis.ProtocolError:
            self.transport.abort()

    def _on_answer(self, answer: object, now: float) -> None:
        if not self.pending:
            return
        seen = self.pending.popleft()
        seen.ready_at = max(seen.ready_at, self.answered_at)
        self.answered_at = now
        if isinstance(answer, bytes):
            seen.response = ResponseSeen(at=now, answer=Answer.SERVED, value=without_padding(answer))
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            seen.response = ResponseSeen(at=now, answer=Answer.REJECTED)
        else:
            seen.response = ResponseSeen(at=now, answer=Answer.FAILED)
        if not self.pending:
            self._traffic.on_idle(self)

    def eof_received(self) -> bool | None:
        """Note that the gateway closed in good order."""
        self._saw_eof = True
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end for all requests without an answer."""
        self.is_closed = True
        now = self._traffic.time()
        if self.pending and self._reader.has_data() and self.pending[0].client_closed_at is None:
            # A value that broke off: it has failed, and the client can tell.
            broken_off = self.pending.popleft()
            broken_off.response = ResponseSeen(at=now, answer=Answer.FAILED)
        for seen in self.pending:
            if seen.client_closed_at is None:
                by_reset = exc is not None or not self._saw_eof
                seen.connection_end = ConnectionEnd(at=now, by_reset=by_reset)
                self._traffic.on_unanswered(self, seen)
        self.pending.clear()

    def pause_reading(self, duration_s: float) -> None:
        """Read nothing for a while; what waits then is the client's own doing."""
        self.transport.pause_reading()
        self._traffic.loop.call_later(duration_s, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.is_closed and not self.transport.is_closing():
            self.transport.resume_reading()
            self.answered_at = self._traffic.time() + READING_SLACK_S
            for seen in self.pending:
                seen.ready_at = max(seen.ready_at, self.answered_at)

    def leave(self) -> None:
        """Close under the requests."""
        now = self._traffic.time()
        for seen in self.pending:
            seen.client_closed_at = now
        self.is_closed = True
        self.transport.abort()


class Traffic:
    """All clients."""

    def __init__(self, deployment: Deployment, gateways: list[Gateway], record: Record, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.time = self.loop.time
        self._deployment = deployment
        self._gateways = gateways
        self._record = record
        self._rng = random.Random(f"traffic {seed}")
        self._idle: dict[GatewayProcess, list[ClientConnection]] = {}
        self._next_id = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopped = False

    def start(self) -> None:
        """Begin to send to every gateway."""
        for gateway in self._gateways:
            self._spawn(self._send_to(gateway))

    def stop(self) -> None:
        """Send nothing more."""
        self._stopped = True

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_to(self, gateway: Gateway) -> None:
        next_at = self.time()
        while not self._stopped:
            next_at += self._rng.expovariate(self._deployment.requests_per_s)
            await asyncio.sleep(max(0.0, next_at - self.time()))
            process = gateway.process
            if process is not None and process.is_serving():
                self._spawn(self._send_one(gateway.position, process))

    # Requests.

    def _new_request(self, gateway: int, process: int) -> RequestSeen:
        rng = self._rng
        self._next_id += 1
        kind = rng.choices(range(len(self._deployment.kinds)), KIND_WEIGHTS)[0]
        is_heavy = rng.random() < HEAVY_SHARE
        customer = rng.randrange(HEAVY_CUSTOMERS) if is_heavy else rng.randrange(HEAVY_CUSTOMERS, CUSTOMERS)
        wait_s = self._deployment.kinds[kind].deadline_s * rng.choice((1.0, 1.0, 0.5, 0.2))
        request_id = f"{self._next_id:016x}"
        return RequestSeen(
            request_id=request_id,
            kind=kind,
            plan=HEAVY_PLAN if is_heavy else 0,
            customer=customer,
            gateway=gateway,
            process=process,
            sent_at=0.0,
            wait_s=wait_s,
        )

    def _command(self, seen: RequestSeen, wait_s: float) -> bytes:
        kind = self._deployment.kinds[seen.kind]
        plan = self._deployment.plans[seen.plan]
        key = f",k={seen.request_id}" if kind.effect is Effect.KEYED else ""
        pairs = (
            f"c={kind.name},t={plan.name},d={round(wait_s * 1000)}{key},"
            f"units=1,spread={self._deployment.gateways},first=0"
        )
        name = b"CALL.GET" if kind.effect is Effect.IDEMPOTENT else b"CALL.POST"
        body = () if kind.effect is Effect.IDEMPOTENT else (self._rng.randbytes(self._body_bytes()),)
        words = (name, b"%016x" % (seen.customer + 1), seen.request_id.encode(), pairs.encode(), *body)
        seen.content = content_of(words)
        return hiredis.pack_command(words)  # type: ignore[no-any-return]

    def _body_bytes(self) -> int:
        return self._rng.randrange(1 + self._rng.choice(BODY_BYTES))

    async def _send_one(self, gateway: int, process: GatewayProcess) -> None:
        connection = self._take_idle(process)
        if connection is None:
            connection = await self._connect(gateway, process)
        if connection is None or connection.is_closed:
            return
        seen = self._new_request(gateway, process.seen.number)
        if self._rng.random() < IN_PIECES_SHARE:
            await self._send_in_pieces(connection, seen)
        else:
            self._send(connection, seen)

    async def _send_in_pieces(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Send a request in three pieces; its time counts from the last of them."""
        command = self._command(seen, seen.wait_s)
        ends = sorted(self._rng.sample(range(1, len(command)), 2))
        for begin, end in zip((0, *ends), ends, strict=False):
            if connection.is_closed or connection.transport.is_closing():
                return  # before it was a request
            connection.transport.write(command[begin:end])
            await asyncio.sleep(PIECE_GAP_S)
        if not connection.is_closed and not connection.transport.is_closing():
            self._record.requests.append(seen)
            connection.send(seen, command[ends[-1] :])

    def _send(self, connection: ClientConnection, seen: RequestSeen) -> None:
        self._record.requests.append(seen)
        connection.send(seen, self._command(seen, seen.wait_s))

    def _take_idle(self, process: GatewayProcess) -> ClientConnection | None:
        idle = self._idle.get(process, [])
        while idle:
            connection = idle.pop(self._rng.randrange(len(idle)))
            if not connection.is_closed and not connection.transport.is_closing():
                return connection
        return None

    async def _connect(self, gateway: int, process: GatewayProcess) -> ClientConnection | None:
        if not process.takes_new_connections:
            return None
        try:
            _, connection = await self.loop.create_connection(
                lambda: ClientConnection(self, gateway, process), LOCALHOST, process.port
            )
        except OSError:
            return None
        return connection

    def on_idle(self, connection: ClientConnection) -> None:
        """Keep a connection whose requests are all answered."""
        self._idle.setdefault(connection.process, []).append(connection)

    def on_unanswered(self, connection: ClientConnection, seen: RequestSeen) -> None:
        """Send a request once more whose connection closed with no answer, as clients do."""
        if seen.sent_again or self._stopped or seen.connection_end is None:
            return
        time_left_s = seen.sent_at + seen.wait_s - self.time()
        others = [g for g in self._gateways if g.process is not None and g.process.takes_new_connections]
        if time_left_s <= 0.0 or not others or connection.process.seen.killed_at is not None:
            return
        seen.sent_again = True
        gateway = self._rng.choice(others)
        self._spawn(self._send_again(gateway, seen, time_left_s))

    async def _send_again(self, gateway: Gateway, first: RequestSeen, time_left_s: float) -> None:
        process = gateway.process
        if process is None:
            return
        connection = await self._connect(gateway.position, process)
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
            sent_again=True,
        )
        self._send(connection, again)

    # Clients that misbehave, or are only unusual.

    def _serving_process(self, gateway: int) -> GatewayProcess | None:
        process = self._gateways[gateway].process
        return process if process is not None and process.takes_new_connections else None

    async def pipeline(self, gateway: int) -> None:
        """Send many commands at once on one connection."""
        process = self._serving_process(gateway)
        if process is None or (connection := await self._connect(gateway, process)) is None:
            return
        for _ in range(PIPELINED_COMMANDS):
            self._send(connection, self._new_request(gateway, process.seen.number))

    async def leave(self, gateway: int) -> None:
        """Connect several times, send, and close soon after."""
        for _ in range(LEAVERS):
            process = self._serving_process(gateway)
            if process is None or (connection := await self._connect(gateway, process)) is None:
                return
            for _ in range(self._rng.choice((1, 1, 3))):
                self._send(connection, self._new_request(gateway, process.seen.number))
            self.loop.call_later(self._rng.choice((0.0, 0.001, 0.01, 0.05, 0.3)), connection.leave)
            await asyncio.sleep(PIECE_GAP_S)

    async def read_slowly(self, gateway: int) -> None:
        """Send several commands on a connection, and read nothing for a while."""
        for _ in range(SLOW_READERS):
            process = self._serving_process(gateway)
            if process is None or (connection := await self._connect(gateway, process)) is None:
                return
            for _ in range(self._rng.choice(SLOW_READER_COMMANDS)):
                self._send(connection, self._new_request(gateway, process.seen.number))
            connection.pause_reading(self._rng.uniform(0.1, MAX_READING_PAUSE_S))

    async def be_impatient(self, gateway: int) -> None:
        """Send requests with so little time that some are over before an order server has done them."""
        for _ in range(IMPATIENT_REQUESTS):
            process = self._serving_process(gateway)
            if process is None or (connection := await self._connect(gateway, process)) is None:
                return
            seen = self._new_request(gateway, process.seen.number)
            seen.wait_s = self._rng.uniform(0.005, MAX_IMPATIENT_S)
            self._send(connection, seen)
            await asyncio.sleep(PIECE_GAP_S)

    async def crowd(self, gateway: int, duration_s: float) -> None:
        """Open more connections than the gateway holds, say nothing on them, and close them after a while."""
        process = self._serving_process(gateway)
        if process is None:
            return
        idle = [await self._connect(gateway, process) for _ in range(CROWD_CONNECTIONS)]
        await asyncio.sleep(duration_s)
        for connection in idle:
            if connection is not None and not connection.is_closed:
                connection.transport.close()

    async def misbehave(self, gateway: int, data: bytes) -> None:
        """Send what is no command, and wait for an error or the end."""
        process = self._serving_process(gateway)
        if process is None:
            return
        connected_at = self.time()
        done_at = None
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, process.port)
            writer.write(data)
            await asyncio.wait_for(reader.read(1), BAD_CLIENT_PATIENCE_S)
            done_at = self.time()
            writer.close()
        except ConnectionError:
            done_at = self.time()
        except TimeoutError:
            pass
        seen = BadClientSeen(
            gateway=gateway,
            process=process.seen.number,
            what=data[:8].decode(),
            connected_at=connected_at,
            done_at=done_at,
        )
        self._record.bad_clients.append(seen)
