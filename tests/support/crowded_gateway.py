"""A gateway process with small limits, order servers, and well-behaved clients beside a crowd."""

from __future__ import annotations

import asyncio
import json
import os
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any, cast

import hiredis

from tests.support.configurations import raw_config
from tests.support.event_loop import LOOPBACK, listening, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.processes import COMMAND

StreamPair = tuple[asyncio.StreamReader, asyncio.StreamWriter]
CLIENTS = 20  # well-behaved ones
FIRST_CUSTOMER = 1000  # of the well-behaved clients, one customer each
REQUEST_INTERVAL_S = 0.1
WAIT_S = 1.5  # for which a well-behaved client waits for an answer
LATE_AFTER_S = 0.5  # past its time, from which on an answer counts as lost
ORDER_SERVERS = 4
BACKLOG = 1024  # connections that wait to be accepted by an order server
PLAN_RATE_PER_S = 1000.0
KIBIBYTE = 1024
MEBIBYTE = 1 << 20
MAX_SENDS = 2  # a request whose connection ended before its answer is sent once more


class OrderServer:
    """Executes requests one after the other, each for the same time; `attempts` are the ids of all."""

    def __init__(self, service_time_s: float) -> None:
        self.attempts: list[bytes] = []
        self._loop = asyncio.get_running_loop()
        self._service_time_s = service_time_s
        self._busy_until = 0.0

    def execute(self, request_id: bytes, reply: Callable[[bytes], None]) -> None:
        """Reply with a value of the size at the end of the id, `...-SIZE`."""
        self.attempts.append(request_id)
        _, _, size = request_id.rpartition(b"-")
        value = success_reply(request_id.ljust(int(size), b"."))
        if not self._service_time_s:
            reply(value)
            return
        self._busy_until = max(self._loop.time(), self._busy_until) + self._service_time_s
        self._loop.call_at(self._busy_until, reply, value)


class OrderServerConnection(asyncio.Protocol):
    """A gateway's connection to an order server."""

    def __init__(self, server: OrderServer) -> None:
        self._server = server
        self._reader = hiredis.Reader()
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while words := self._reader.gets():
            if words[0] in (b"PING", b"INFO"):
                self._transport.write(b"+PONG\r\n")
                continue
            self._server.execute(words[2], self._reply)

    def _reply(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


class Commands:
    """Commands with ids of their own, which carry the size of the value that answers them."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = count()

    def value_command(self, value_bytes: int) -> bytes:
        return self.command(self.next_id(value_bytes))

    def body_command(self, body_bytes: int) -> bytes:
        return self.command(self.next_id(10), body=b"b" * body_bytes)

    def next_id(self, value_bytes: int = 10) -> bytes:
        return b"%s%x-%d" % (self._prefix.encode(), next(self._numbers), value_bytes)

    def command(
        self,
        request_id: bytes,
        body: bytes | None = None,
        customer: int = 1,
        cls: str = "",
        wait_s: float = WAIT_S,
    ) -> bytes:
        name = b"CALL.GET" if body is None else b"CALL.POST"
        cls = cls or ("look up" if body is None else "charge")
        pairs = f"c={cls},t=team,d={int(wait_s * 1000)},units=1,spread=1,first=0".encode()
        words = (name, b"%016x" % customer, request_id, pairs, *(() if body is None else (body,)))
        return cast(bytes, hiredis.pack_command(words))


@dataclass(slots=True)
class ClientResults:
    """What the well-behaved clients saw."""

    latencies_s: list[float] = field(default_factory=list)
    busy: int = 0
    failed: int = 0
    unanswered: int = 0
    closed_connections: int = 0

    @property
    def sent(self) -> int:
        return len(self.latencies_s) + self.unanswered

    @property
    def late(self) -> int:
        return sum(latency > WAIT_S + LATE_AFTER_S for latency in self.latencies_s)

    def __str__(self) -> str:
        longest = max(self.latencies_s, default=0.0)
        return (
            f"sent={self.sent} busy={self.busy} failed={self.failed} unanswered={self.unanswered} "
            f"late={self.late} longest_s={longest:.2f} closed={self.closed_connections}"
        )


class WellBehavedClients:
    """Clients that send a request each 0.1 s, and read every answer."""

    def __init__(self, port: int, body_bytes: int | None = None) -> None:
        self.results = ClientResults()
        self._port = port
        self._body_bytes = body_bytes
        self._commands = Commands("w")
        self._loop = asyncio.get_running_loop()
        self._stopped = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        self._tasks = [
            self._loop.create_task(self._run(FIRST_CUSTOMER + number)) for number in range(CLIENTS)
        ]

    async def stop(self) -> None:
        self._stopped = True
        await asyncio.gather(*self._tasks)

    async def _run(self, customer: int) -> None:
        connection = None
        while not self._stopped:
            began_at = self._loop.time()
            body = None if self._body_bytes is None else bytes(self._body_bytes)
            command = self._commands.command(self._commands.next_id(), body, customer)
            connection = await self._request(connection, command, began_at)
            await asyncio.sleep(max(0.0, began_at + REQUEST_INTERVAL_S - self._loop.time()))
        if connection is not None:
            connection[1].close()

    async def _request(
        self, connection: StreamPair | None, command: bytes, began_at: float
    ) -> StreamPair | None:
        """Send a request, once more on a new connection if the first ends; return its connection."""
        for _ in range(MAX_SENDS):
            try:
                async with asyncio.timeout_at(began_at + WAIT_S + 4 * LATE_AFTER_S):
                    connection = connection or await asyncio.open_connection(LOOPBACK, self._port)
                    reader, writer = connection
                    writer.write(command)
                    line = await reader.readline()
                    if line.startswith(b"$"):
                        await reader.readexactly(int(line[1:]) + 2)
            except (OSError, asyncio.IncompleteReadError):
                line = b""
            except TimeoutError:
                break
            if line:
                self._record(line, self._loop.time() - began_at)
                return connection
            self.results.closed_connections += 1
            connection = None
        self.results.unanswered += 1
        return None

    def _record(self, line: bytes, latency_s: float) -> None:
        self.results.latencies_s.append(latency_s)
        self.results.busy += line.startswith(b"-BUSY")
        self.results.failed += line.startswith(b"-") and not line.startswith(b"-BUSY")


@dataclass(slots=True)
class CrowdedGateway:
    """A gateway process and its order servers."""

    process: asyncio.subprocess.Process
    port: int
    servers: list[OrderServer]
    log: list[bytes] = field(default_factory=list)

    def _status_mib(self, name: str) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        match = re.search(rf"^{name}:\s+(\d+) kB$", status, re.MULTILINE)
        assert match is not None
        return int(match[1]) / KIBIBYTE

    @property
    def attempts(self) -> list[bytes]:
        """The ids of the requests that the order servers received, with repetitions."""
        return [request_id for server in self.servers for request_id in server.attempts]

    @property
    def peak_mib(self) -> float:
        """The largest resident memory that the process had, in MiB."""
        return self._status_mib("VmHWM")

    @property
    def resident_mib(self) -> float:
        return self._status_mib("VmRSS")


@asynccontextmanager
async def crowded_gateway(
    folder: Path,
    memory_mb: int = 32,
    descriptors: int = 1024,
    plan_rate_per_s: float = PLAN_RATE_PER_S,
    service_time_s: float = 0.0,
) -> AsyncIterator[CrowdedGateway]:
    """Run order servers and a gateway process with these limits in its settings."""
    servers = [OrderServer(service_time_s) for _ in range(ORDER_SERVERS)]
    listeners = [await _listen(server) for server in servers]
    ports = [listener.sockets[0].getsockname()[1] for listener in listeners]
    entries = [endpoint_entry(f"s-{number}", port) for number, port in enumerate(ports)]
    discovery = FakeDiscovery()
    discovery.first_update = endpoint_list(1, *entries)
    async with listening(discovery):
        config = _config(discovery.port, memory_mb, descriptors, plan_rate_per_s)
        async with _running(folder, config, servers) as gateway:
            yield gateway
    for listener in listeners:
        listener.close()


@asynccontextmanager
async def _running(
    folder: Path, config: dict[str, Any], servers: list[OrderServer]
) -> AsyncIterator[CrowdedGateway]:
    """Run a gateway process until the end of the test."""
    process = await _launch(folder, config)
    assert process.stderr is not None
    try:
        while b"listening on" not in (line := await with_timeout(process.stderr.readline())):
            assert line, "the process ended before it listened"
        gateway = CrowdedGateway(process, int(line.rsplit(b":", 1)[1]), servers)
        reading = asyncio.create_task(_read_log(process.stderr, gateway.log))
        yield gateway
        reading.cancel()
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def _listen(server: OrderServer) -> asyncio.Server:
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: OrderServerConnection(server), LOOPBACK, 0, backlog=BACKLOG)


async def _read_log(stderr: asyncio.StreamReader, lines: list[bytes]) -> None:
    while line := await stderr.readline():
        lines.append(line)


async def _launch(folder: Path, config: dict[str, Any]) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    return await asyncio.create_subprocess_exec(
        *COMMAND, stderr=asyncio.subprocess.PIPE, env={**os.environ, "ROUTER_CONFIG": str(path)}
    )


def _config(discovery_port: int, memory_mb: int, descriptors: int, plan_rate_per_s: float) -> dict[str, Any]:
    config = raw_config(discovery_port, replicasOfMe=1, limits__probes=False)
    config["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
    config["settings"]["packages"][0] |= {"quotaRate": plan_rate_per_s, "mostAtOnce": plan_rate_per_s}
    config["settings"]["limits"]["peerMessages"] = False
    config["settings"]["familyInfo"]["mailPerS"] = 0.0
    return config
