"""Gateways in processes of their own, on a configuration file and, where wanted, an inherited socket."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass
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
        self.log_read = b""  # lines of the log before the one that a test waited for last

    async def logged(self, words: bytes) -> bytes:
        """Read the log up to a line with these words, and return that line."""
        assert self.process.stderr is not None
        while words not in (line := await with_timeout(self.process.stderr.readline())):
            assert line, "ended before it said so"
            self.log_read += line
        return line

    async def client(self) -> Connection:
        return Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, self.port)))


@asynccontextmanager
async def inherited_socket() -> AsyncIterator[socket.socket]:
    """A listening socket as the platform holds it."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        sock.set_inheritable(True)
        yield sock


@asynccontextmanager
async def serving(
    folder: Path, agent: FakeDiscovery, endpoint: FakeEndpoint, sock: socket.socket
) -> AsyncIterator[Process]:
    """A gateway on a listening socket that the platform holds."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(agent.port)))
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


async def call_admin(p: Process, path: str, body: bytes = b"") -> int:
    """Return the status of a call to the admin API; a call with a body is a POST."""
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, p.admin_port))
    head = f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    response = await with_timeout(reader.read())
    writer.close()
    return int(response.split()[1])


@dataclass(frozen=True)
class InheritedSocketHost:
    """The platform's side of an upgrade: one listening socket for several processes, and their discovery."""

    folder: Path
    agent: FakeDiscovery
    endpoint: FakeEndpoint
    sock: socket.socket

    def serving(self) -> AbstractAsyncContextManager[Process]:
        """Start a process that takes over from the one before it, if there is one."""
        return serving(self.folder, self.agent, self.endpoint, self.sock)


@asynccontextmanager
async def inherited_socket_host(folder: Path, *more: FakeEndpoint) -> AsyncIterator[InheritedSocketHost]:
    """Yield a host with endpoint s-1; more endpoints, which already listen, are s-2 and so on."""
    agent, endpoint = FakeDiscovery(), FakeEndpoint()
    async with listening(agent), listening(endpoint), inherited_socket() as sock:
        entries = (endpoint_entry(f"s-{i}", each.port) for i, each in enumerate((endpoint, *more), 1))
        agent.first_update = endpoint_list(1, *entries)
        yield InheritedSocketHost(folder, agent, endpoint, sock)


@asynccontextmanager
async def launched(
    folder: Path, agent: FakeDiscovery, **more: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Start a gateway's process; it may not listen yet."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw_config(agent.port)))
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "ROUTER_CONFIG": str(path),
            "ROUTER_DISCOVERY": f"{LOOPBACK}:{agent.port}",
            **more,
        },
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running(folder: Path, **more: str) -> AsyncIterator[Process]:
    """Start a gateway with one endpoint, and wait until it listens."""
    agent, endpoint = FakeDiscovery(), FakeEndpoint()
    async with listening(agent), listening(endpoint):
        agent.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
        async with launched(folder, agent, **more) as process:
            assert process.stderr is not None
            while b"listening on" not in (line := await with_timeout(process.stderr.readline())):
                assert line, "ended before it listened"
            yield Process(process, int(line.rsplit(b":", 1)[1]), endpoint, folder / "config.json")
