"""What a real gateway process adds to a request, and its time to ready (all that `added ready` runs)."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median, quantiles
from typing import Any, cast

import hiredis
import uvloop

from benchmarks.common import DESIGN, KINDS, ZONES, progress, rss_kb, timed
from benchmarks.stand_in import LOCAL
from tests.support.servers import nested_settings

RATE = 200.0  # requests a second
SECONDS = 15.0
TENANTS = 230  # of which requests come through one gateway at the design size, with sets of ten
WAIT = 30.0  # s: only a hang reaches it
REPEATS = 3


@dataclass
class Load:
    """Answers by their kind, and how long each served one took (s)."""

    spans: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0
    lag: list[float] = field(default_factory=list)  # s by which this client itself sent too late

    def quantile(self, part: int) -> float:
        """Milliseconds that so many in 100 took at most."""
        return 1000 * quantiles(self.spans, n=100)[part - 1]


class Client(asyncio.Protocol):
    """One connection, one request at a time."""

    def __init__(self, load: Load, free: list[Client]) -> None:
        self._load, self._free, self._reader, self._at = load, free, hiredis.Reader(), 0.0
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, command: bytes) -> None:
        self._at = time.perf_counter()
        cast(asyncio.Transport, self.transport).write(command)

    def data_received(self, data: bytes) -> None:
        self._reader.feed(data)
        while (answer := self._reader.gets()) is not False:
            if isinstance(answer, hiredis.ReplyError):
                self._load.refused += str(answer).startswith("BUSY")
                self._load.failed += not str(answer).startswith("BUSY")
            else:
                self._load.spans.append(time.perf_counter() - self._at)
            self._free.append(self)


def command(number: int, tenant: int, spread: int) -> bytes:
    pairs = f"c=lookup,t=team,d=2000,units=1,spread={spread},first=0"
    words = (b"CALL.GET", b"%016x" % (tenant + 1), b"%016x" % number, pairs.encode())
    return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]


async def offer(port: int, seconds: float, spread: int, seed: int = 1) -> Load:
    """Requests at random times, so many a second, of tenants at random."""
    loop, rng, load, free = asyncio.get_running_loop(), random.Random(seed), Load(), list[Client]()

    async def connect() -> Client:
        return (await loop.create_connection(lambda: Client(load, free), LOCAL, port))[1]

    free += [await connect() for _ in range(8)]
    made, due, end = 0, loop.time(), loop.time() + seconds
    while (due := due + rng.expovariate(RATE)) < end:
        await asyncio.sleep(due - loop.time())
        load.lag.append(loop.time() - due)
        client = free.pop(0) if free else await connect()
        made += 1
        client.ask(command(made, rng.randrange(TENANTS), spread))
    async with asyncio.timeout(WAIT):
        while len(load.spans) + load.refused + load.failed < made:
            await asyncio.sleep(0.01)
    for client in free:
        cast(asyncio.Transport, client.transport).close()
    return load


@asynccontextmanager
async def standing_in(n: int) -> AsyncIterator[dict[str, int]]:
    """The ports of a stand-in process that lists so many order servers; what it counted once it is over."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "benchmarks.stand_in",
        str(n),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None and process.stdin is not None
        ports = json.loads(await asyncio.wait_for(process.stdout.readline(), WAIT))
        yield ports
        process.stdin.close()
        ports |= json.loads(await asyncio.wait_for(process.stdout.readline(), WAIT))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def configuration(ports: dict[str, int], counter: bool, lease: int) -> dict[str, Any]:
    changes = {
        "zones": list(ZONES),
        "kinds": list(KINDS),
        "replicasOfMe": DESIGN.gateways,
        "limits__peerMessages": False,
        "limits__probes": False,
        "familyInfo__counter": counter,
        "familyInfo__counterTimeout": 80_000_000,
    }
    made = nested_settings(**changes)
    made["classes"][0]["name"] = "lookup"
    made["packages"][0] |= {"quotaRate": 14.2, "mostAtOnce": 57.0}
    return {
        "name": "n0",
        "listen": f"{LOCAL}:0",
        "discovery": f"{LOCAL}:{ports['agent']}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 4096, "memory_mb": 128},
        "peers": [],
        "settings": made,
        "counter": f"{LOCAL}:{ports['counter']}" if counter else None,
        "quota_lease_s": lease,
    }


@dataclass(frozen=True)
class Running:
    """A gateway process that answered `PING`."""

    pid: int
    port: int
    ready: float  # s from its start on

    def cpu(self) -> float:
        """Processor seconds so far."""
        return int(Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]) / 1e9


async def pong(port: int) -> None:
    reader, writer = await asyncio.open_connection(LOCAL, port)
    writer.write(b"*1\r\n$4\r\nPING\r\n")
    assert await reader.readline() == b"+PONG\r\n"
    writer.close()


@asynccontextmanager
async def gateway(ports: dict[str, int], counter: bool, lease: int = 0) -> AsyncIterator[Running]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(ports, counter, lease)))
        began = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "qos_gateway",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "ROUTER_CONFIG": str(path), "TMPDIR": folder},
        )
        drain = None
        try:
            assert process.stderr is not None
            told = process.stderr
            while b"listening on" not in (read := await asyncio.wait_for(told.readline(), WAIT)):
                assert read, "ended before it was ready"
            port = int(read.rsplit(b":", 1)[1])
            await asyncio.wait_for(pong(port), WAIT)
            drain = asyncio.create_task(told.read())  # or it would wait for room to log
            yield Running(process.pid, port, time.perf_counter() - began)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if drain is not None:
                await drain


@dataclass(frozen=True)
class Case:
    label: str
    order_servers: int
    counter: bool
    lease: int = 0  # s of a term


CASES = (
    Case("12 listed", 12, False),
    Case("7,100 listed", DESIGN.order_servers, False),
    Case("7,100 listed, counter", DESIGN.order_servers, True),
    Case("7,100 listed, leases of 50 s", DESIGN.order_servers, True, 50),
)


async def added(seconds: float, cases: Sequence[Case] = CASES) -> None:
    rows: list[list[object]] = []
    for case in cases:
        async with standing_in(case.order_servers) as ports:
            # Without a counter each tenant comes through this gateway alone, which keeps its store.
            spread = 10 if case.counter else 1
            progress(f"added: {case.label}: straight, then through a gateway, {seconds:g} s each")
            straight = await offer(ports["order_server"], seconds, spread)
            async with gateway(ports, case.counter, case.lease) as running:
                first = await offer(running.port, 3.0, spread, 2)  # its connections come up
                before = running.cpu()
                through = await offer(running.port, seconds, spread)
                spent = running.cpu() - before
                memory = rss_kb(running.pid) / 1024
        extra = [through.quantile(p) - straight.quantile(p) for p in (50, 90, 99)]
        n, asked = len(through.spans), len(through.lag) + len(first.lag)
        rows.append(
            [
                case.label,
                n,
                through.refused,
                through.failed,
                straight.quantile(50),
                straight.quantile(99),
                *extra,
                1000 * spent / max(1, len(through.lag)),
                100 * spent / seconds,
                memory,
                ports["connections"] - 8,
                ports["calls"] / asked,
                1000 * quantiles(through.lag, n=100)[98],
            ]
        )
    timed(
        f"A real gateway process at {RATE:.0f} requests/s",
        (
            "case",
            "served",
            "refused",
            "failed",
            "straight p50 (ms)",
            "straight p99 (ms)",
            "added p50 (ms)",
            "added p90 (ms)",
            "added p99 (ms)",
            "CPU a request (ms)",
            "CPU (% of a core)",
            "RSS (MB)",
            "connections opened",
            "counter calls/request",
            "client late p99 (ms)",
        ),
        rows,
    )


async def readiness(repeats: int = REPEATS) -> None:
    rows = []
    for n in (12, DESIGN.order_servers):
        async with standing_in(n) as ports:
            spans, memory = [], []
            for _ in range(repeats):
                progress(f"ready: {n:,} listed")
                async with gateway(ports, False) as running:
                    spans.append(running.ready)
                    memory.append(rss_kb(running.pid) / 1024)
            rows.append([n, median(spans), min(spans), max(spans), median(memory)])
    timed(
        "From the start of a process to its first PONG",
        (
            "order servers",
            "median (s)",
            "min (s)",
            "max (s)",
            "RSS then (MB)",
        ),
        rows,
    )


def main(words: Sequence[str] = ()) -> None:
    if "ready" not in words:
        uvloop.run(added(SECONDS, CASES[-2:] if "leases" in words else CASES))
    uvloop.run(readiness())


if __name__ == "__main__":
    main(sys.argv[1:])
