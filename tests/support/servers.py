"""Small servers and clients on ephemeral loopback ports, driven by the tests event by event."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

import hiredis
import uvloop

from qos_gateway.server.config import Config, parse
from qos_gateway.server.gateway import GatewayProcess

HANG_TIMEOUT_S = 20.0  # only a hang reaches it, no verdict depends on it
LOOPBACK = "127.0.0.1"
CUSTOMER = b"00000000b4d65521"
T = TypeVar("T")


def run_on_loop(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine on the loop that the gateway runs on."""
    uvloop.run(asyncio.wait_for(test(), 3 * HANG_TIMEOUT_S))


async def with_timeout(awaitable: Awaitable[T]) -> T:
    return await asyncio.wait_for(awaitable, HANG_TIMEOUT_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Give the loop turns until something holds."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def nested_settings(**changes: Any) -> dict[str, Any]:
    """Settings in the nested form of a real configuration; hand-made."""

    def a_class(name: str, repeat: str, group: str) -> dict[str, Any]:
        return {
            "name": name,
            "aim": 800_000_000,
            "deadline": 2_000_000_000,
            "points": 3.0,
            "lateWorth": 0.0,
            "idempotency": repeat,
            "group": group,
            "window": 5_000_000_000,
        }

    plan = {
        "name": "team",
        "quotaRate": 1000.0,
        "mostAtOnce": 1000.0,
        "parallel": 0,
        "worthFactor": 1.0,
        "beyondEarns": 0.0,
        "excessCost": 1.0,
        "ceilingRate": 0.0,
        "hardBurst": 0.0,
        "ceilingSlack": 0.0,
    }
    made: dict[str, Any] = {
        "classes": [
            a_class("look up", "free", "all"),
            a_class("submit", "guarded", "cell"),
            a_class("charge", "single_shot", "all"),
        ],
        "packages": [plan],
        "zones": ["a", "b"],
        "kinds": ["m1", "m2"],
        "zone": 0,
        "position": 0,
        "replicasOfMe": 2,
        "report": {"how": "answers", "names": ["load_share", "concurrent"]},
        "limits": {
            "maxAttempts": 4,
            "secondCopies": True,
            "cancel": True,
            "probes": True,
            "peerMessages": True,
            "retryAfter": True,
            "maxRetryAfter": 1_000_000_000,
            "connectTimeout": 250_000_000,
            "connIdle": 30_000_000_000,
        },
        "familyInfo": {"counter": False, "usePeriod": 0, "largest": 1, "mailPerS": 40.0, "truedUp": False},
        "rules": {
            "askWithin": 10_000_000_000,
            "drainGrace": 1_000_000_000,
            "fall": 3_000_000_000,
            "fallMultiple": 3.0,
            "startCapacity": 0.23,
            "warmUp": 18_000_000_000,
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }
    for path, value in changes.items():
        part, _, key = path.partition("__")
        if key:
            made[part][key] = value
        else:
            made[part] = value
    return made


def endpoint_entry(
    name: str, port: int, health: str = "in_service", born_ms: int = 0, block: int = 0
) -> dict[str, Any]:
    return {
        "host": name,
        "dial": f"{LOOPBACK}:{port}",
        "site": "a",
        "class": "m2",
        "block": block,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def endpoint_list(seq: int, *hosts: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


def raw_config(discovery_port: int, known: dict[str, Any] | None = None, **changes: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{LOOPBACK}:0",
        "discovery": f"{LOOPBACK}:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "peers": [],
        "known": known,
        "settings": nested_settings(**changes),
    }


def make_config(
    discovery_port: int, known: dict[str, Any] | None = None, counter: str | None = None, **changes: Any
) -> Config:
    return parse({**raw_config(discovery_port, known, **changes), "counter": counter}, {})


class FakeDiscovery:
    """Discovery: remembers what was asked for, and writes what a test tells it to."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[bytes] = asyncio.Queue()
        self.writers: list[asyncio.StreamWriter] = []
        self.first_update: dict[str, Any] | None = None
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        if self.first_update is not None:
            self.send_update(self.first_update)
        self.requests.put_nowait(head.split(b"\r\n")[0])

    def send_update(self, update: dict[str, Any]) -> None:
        self.send_bytes(json.dumps(update).encode() + b"\n")

    def send_bytes(self, data: bytes) -> None:
        self.writers[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def abort(self) -> None:
        self.writers[-1].transport.abort()


class Connection:
    """One end of a RESP connection, for reading whole commands or replies."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._parser = hiredis.Reader(notEnoughData=self)

    async def next_message(self) -> Any:
        """One command or answer; None at the end of the connection."""
        while (got := self._parser.gets()) is self:
            try:
                data = await with_timeout(self.reader.read(1 << 16))
            except ConnectionError:
                return None
            if not data:
                return None
            self._parser.feed(data)
        return got

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    def abort(self) -> None:
        self.writer.transport.abort()


class FakeEndpoint:
    """Hands every command to the test as (connection, words)."""

    def __init__(self) -> None:
        self.commands: asyncio.Queue[tuple[Connection, list[bytes]]] = asyncio.Queue()
        self.connections: list[Connection] = []
        self.closed_connections = 0
        self.port = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.append(connection)
        while (words := await connection.next_message()) is not None:
            self.commands.put_nowait((connection, words))
        self.closed_connections += 1

    async def next_command(self) -> tuple[Connection, list[bytes]]:
        return await with_timeout(self.commands.get())


class CounterCall:
    """One call to the counter, for a test to answer."""

    def __init__(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        self._writer = writer
        verb, self.name, amount, life = line.split()
        assert verb == b"bump"
        self.amount, self.time_to_live = float(amount), int(life)

    def answer(self, line: bytes) -> None:
        self._writer.write(line + b"\r\n")


class FakeCounter:
    """The quota counter: hands every call to the test, and answers pings."""

    def __init__(self, port: int = 0) -> None:
        self.calls: asyncio.Queue[CounterCall] = asyncio.Queue()
        self.connections: list[asyncio.StreamWriter] = []
        self.port = port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        while line := await reader.readline():
            if line.strip() == b"ping":
                writer.write(b"pong\r\n")
            else:
                self.calls.put_nowait(CounterCall(writer, line))

    async def next_call(self) -> CounterCall:
        return await with_timeout(self.calls.get())


@asynccontextmanager
async def listening(server: FakeDiscovery | FakeEndpoint | FakeCounter) -> AsyncIterator[None]:
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await server.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)

    listener = await asyncio.start_server(serve, LOOPBACK, server.port)
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield
    finally:
        listener.close()
        for task in list(tasks):
            task.cancel()


class GatewayHarness:
    """A gateway with one endpoint and its discovery, and clients for it."""

    def __init__(self, process: GatewayProcess, discovery: FakeDiscovery, endpoint: FakeEndpoint) -> None:
        self.process = process
        self.gateway = process.parts
        self.discovery = discovery
        self.endpoint = endpoint

    async def connect_client(self) -> Connection:
        return Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, self.gateway.clients.port)))


@asynccontextmanager
async def gateway_harness(counter: str | None = None, **changes: Any) -> AsyncIterator[GatewayHarness]:
    discovery = FakeDiscovery()
    endpoint = FakeEndpoint()
    async with listening(discovery), listening(endpoint):
        discovery.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
        process = GatewayProcess(make_config(discovery.port, None, counter, **changes))
        gateway = process.parts
        await with_timeout(process.start())
        try:
            yield GatewayHarness(process, discovery, endpoint)
        finally:
            await gateway.discovery.close()
            gateway.endpoint_connections.close()
            gateway.peers.close()
            if gateway.counter is not None:
                gateway.counter.close()
            gateway.clients.abort()


def call_command(
    cls: str = "look up", number: int = 1, wait_ms: int = 5000, body: bytes | None = None, extra: str = ""
) -> bytes:
    """A command as a client sends it."""
    name = b"CALL.GET" if cls == "look up" else b"CALL.POST"
    key = ",k=5c0f6e1a2b3d4c59" if cls == "submit" else ""
    pairs = f"c={cls},t=team,d={wait_ms}{key},units=1,spread=2,first=0{extra}"
    words = (name, CUSTOMER, b"%016x" % number, pairs.encode()) + (() if body is None else (body,))
    return hiredis.pack_command(words)  # type: ignore[no-any-return,arg-type]


def bulk_string(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def success_reply(value: bytes, report: bytes | None = b"load_share=0.5,concurrent=3") -> bytes:
    """A endpoint's good answer."""
    return (
        b"*3\r\n" + bulk_string(value) + b"$-1\r\n" + (b"$-1\r\n" if report is None else bulk_string(report))
    )
