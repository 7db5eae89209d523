"""A real gateway process in front of the stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.design import DESIGN, ENDPOINT_TYPES, ZONES
from benchmarks.stand_in_process import PROCESS_TIMEOUT_S
from benchmarks.stand_ins import LOCALHOST, StandInPorts
from qos_gateway.units import MILLISECOND
from tests.support.configurations import nested_settings

COUNTER_TIMEOUT_NS = 80 * MILLISECOND
SECRET_SEED = "8c1f30d27a5be964"
QUOTA_RATE = 14.2  # requests per second: the mean of the design size's customers
QUOTA_BURST = 57.0
SOCKET_LIMIT = 4096
MEMORY_LIMIT_MB = 128


def _settings(has_counter: bool) -> dict[str, Any]:
    """Return the gateway's settings at the design size."""
    changes = {
        "zones": list(ZONES),
        "kinds": list(ENDPOINT_TYPES),
        "replicasOfMe": DESIGN.gateways,
        "limits__peerMessages": False,
        "limits__probes": False,
        "familyInfo__counter": has_counter,
        "familyInfo__counterTimeout": COUNTER_TIMEOUT_NS,
    }
    settings = nested_settings(**changes)
    settings["classes"][0]["name"] = "lookup"
    settings["packages"][0] |= {"quotaRate": QUOTA_RATE, "mostAtOnce": QUOTA_BURST}
    return settings


def configuration(ports: StandInPorts, has_counter: bool, lease_term_s: int) -> dict[str, Any]:
    """Return a configuration file's content; a lease term of 0 counts each request."""
    return {
        "name": "n0",
        "listen": f"{LOCALHOST}:0",
        "discovery": f"{LOCALHOST}:{ports.discovery}",
        "seed": SECRET_SEED,
        "limits": {"sockets": SOCKET_LIMIT, "memory_mb": MEMORY_LIMIT_MB},
        "peers": [],
        "settings": _settings(has_counter),
        "counter": f"{LOCALHOST}:{ports.counter}" if has_counter else None,
        "quota_lease_s": lease_term_s,
    }


@dataclass(frozen=True)
class GatewayProcess:
    """A gateway process that has answered `PING`."""

    pid: int
    port: int
    time_to_ready_s: float

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has taken so far."""
        run_time_ns = Path(f"/proc/{self.pid}/schedstat").read_text().split()[0]
        return int(run_time_ns) / 1e9


async def _ping(port: int) -> None:
    """Wait for the gateway's answer to `PING`."""
    reader, writer = await asyncio.open_connection(LOCALHOST, port)
    writer.write(b"*1\r\n$4\r\nPING\r\n")
    assert await reader.readline() == b"+PONG\r\n"
    writer.close()


async def _read_port(log: asyncio.StreamReader) -> int:
    """Return the port that the gateway logs once it listens."""
    while True:
        line = await asyncio.wait_for(log.readline(), PROCESS_TIMEOUT_S)
        assert line, "the gateway ended before it was ready"
        if b"listening on" in line:
            return int(line.rsplit(b":", 1)[1])


@asynccontextmanager
async def run_gateway(
    ports: StandInPorts, has_counter: bool, lease_term_s: int = 0
) -> AsyncIterator[GatewayProcess]:
    """Start a gateway and wait until it is ready; kill it at the end."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(ports, has_counter, lease_term_s)))
        started = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "qos_gateway",
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "ROUTER_CONFIG": str(path), "TMPDIR": folder},
        )
        log_reader: asyncio.Task[bytes] | None = None
        try:
            assert process.stderr is not None
            port = await _read_port(process.stderr)
            await asyncio.wait_for(_ping(port), PROCESS_TIMEOUT_S)
            log_reader = asyncio.create_task(process.stderr.read())  # a full pipe would block the gateway
            yield GatewayProcess(process.pid, port, time.perf_counter() - started)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            if log_reader is not None:
                await log_reader
