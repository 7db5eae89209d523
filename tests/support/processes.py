"""Gateways in processes of their own, with a configuration file and, optionally, an inherited socket."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.support.configurations import raw_config
from tests.support.event_loop import LOOPBACK, listening, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.resp_connection import Connection

COMMAND = (sys.executable, "-m", "qos_gateway")


class Process:
    """A gateway in a process of its own."""

    def __init__(
        self, process: asyncio.subprocess.Process, port: int, endpoint: FakeEndpoint, path: Path
    ) -> None:
        self.process, self.port, self.endpoint, self.path = process, port, endpoint, path
        self.admin_port = 0
        self.read = b""  # the lines of the log that `logged` skipped

    async def logged(self, words: bytes) -> bytes:
        """Read the log up to a line that contains these words; return that line."""
        assert self.process.stderr is not None
        while words not in (line := await with_timeout(self.process.stderr.readline())):
            assert line, "the log ended without these words"
            self.read += line
        return line

    async def client(self) -> Connection:
        return Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, self.port)))


@asynccontextmanager
async def inherited_socket() -> AsyncIterator[socket.socket]:
    """Open a listening socket that processes can inherit, as the platform does."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        sock.set_inheritable(True)
        yield sock


@asynccontextmanager
async def serving(
    folder: Path, discovery: FakeDiscovery, endpoint: FakeEndpoint, sock: socket.socket
) -> AsyncIterator[Process]:
    """Run a gateway that inherits its listening socket; yield it when it accepts connections."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(discovery.port)))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=(sock.fileno(),),
        env={
            **os.environ,
            "ROUTER_CONFIG": str(path),
            "ROUTER_PASSED_SOCKET": str(sock.fileno()),
            "ROUTER_OPERATOR": f"{LOOPBACK}:0",
            "TMPDIR": str(folder),
        },
    )
    try:
        made = Process(process, sock.getsockname()[1], endpoint, path)
        made.admin_port = int((await made.logged(b"admin_started")).rsplit(b":", 1)[1])
        await made.logged(b"listening on")
        yield made
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def operate(p: Process, path: str, body: bytes = b"") -> int:
    """Call the admin API; return the status of the response."""
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, p.admin_port))
    head = f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    response = await with_timeout(reader.read())
    writer.close()
    return int(response.split()[1])


@asynccontextmanager
async def launched(
    folder: Path, discovery: FakeDiscovery, **environment: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a gateway; yield its process at once."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(discovery.port)))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "ROUTER_CONFIG": str(path),
            "ROUTER_DISCOVERY": f"{LOOPBACK}:{discovery.port}",
            **environment,
        },
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running(folder: Path, **environment: str) -> AsyncIterator[Process]:
    """Run a gateway with one endpoint; yield it when it accepts connections."""
    discovery, endpoint = FakeDiscovery(), FakeEndpoint()
    async with listening(discovery), listening(endpoint):
        discovery.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
        async with launched(folder, discovery, **environment) as process:
            assert process.stderr is not None
            while b"listening on" not in (line := await with_timeout(process.stderr.readline())):
                assert line, "the log ended before the gateway listened"
            yield Process(process, int(line.rsplit(b":", 1)[1]), endpoint, folder / "config.json")
