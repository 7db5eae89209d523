"""Clients with requests are served even if idle clients use up the descriptors."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import resource
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.server.clients import listener
from qos_gateway.server.clients.listener import Listener
from qos_gateway.server.clients.loop_stalls import LoopStallDetector
from tests.support.clients import PING, call_command
from tests.support.configurations import raw_config
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_counter import FakeCounter
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.processes import COMMAND
from tests.support.resp_connection import Connection

DESCRIPTOR_LIMIT = 256
PARTIAL_COMMAND = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000"


@asynccontextmanager
async def limited_gateway_process(folder: Path, raw: dict[str, Any], descriptors: int) -> AsyncIterator[int]:
    """Run a gateway process with a real descriptor limit; yield its port."""
    path = folder / "config.json"
    path.write_text(json.dumps(raw))

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        preexec_fn=limit,
    )
    assert process.stderr is not None
    while b"listening on" not in (line := await with_timeout(process.stderr.readline())):
        assert line, "the process ended before it listened"

    async def discard_stderr() -> None:
        while await process.stderr.readline():  # type: ignore[union-attr]
            pass

    discarding = asyncio.create_task(discard_stderr())
    try:
        yield int(line.rsplit(b":", 1)[1])
        assert process.returncode is None
        process.terminate()
        assert await with_timeout(process.wait()) == 0
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
        discarding.cancel()


async def idle_client(port: int, data: bytes, reconnects: bool) -> None:
    """Send the data and wait until the gateway closes the connection; then reconnect if `reconnects`."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(data)
            while await reader.read(1024):
                pass
            writer.close()
        except OSError:
            pass
        if not reconnects:
            return
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("data", "reconnects"),
    [(PING, False), (PING, True), (b"", True), (PARTIAL_COMMAND, True)],
    ids=["idle", "reconnecting", "no command", "partial command"],
)
def test_idle_clients_at_the_descriptor_limit_do_not_block_other_connections(
    data: bytes, reconnects: bool, tmp_path: Path
) -> None:
    """Idle clients fill the descriptors while discovery is down.

    Once discovery is back, the gateway must still connect to discovery, the counter and a new endpoint, and
    serve a new client on its first connection.
    """

    async def test() -> None:
        agent = FakeDiscovery()
        old_endpoint = FakeEndpoint()
        new_endpoint = FakeEndpoint()
        async with listening(old_endpoint), listening(new_endpoint):
            discovery = await asyncio.start_server(agent.serve, LOOPBACK, 0)
            agent.port = discovery.sockets[0].getsockname()[1]
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", old_endpoint.port))
            with socket.socket() as free:
                free.bind((LOOPBACK, 0))
                counter_port = free.getsockname()[1]
            raw = raw_config(
                agent.port,
                familyInfo__counter=True,
                familyInfo__counterTimeout=50_000_000,
                limits__peerMessages=False,
            )
            raw |= {"limits": {"sockets": DESCRIPTOR_LIMIT}, "counter": f"{LOOPBACK}:{counter_port}"}
            async with limited_gateway_process(tmp_path, raw, DESCRIPTOR_LIMIT) as port:
                discovery.close()
                agent.abort()
                idle_clients = [asyncio.create_task(idle_client(port, data, reconnects)) for _ in range(400)]
                await asyncio.sleep(0.5)
                while not agent.requests.empty():
                    agent.requests.get_nowait()
                agent.first_update = endpoint_list(2, endpoint_entry("s-2", new_endpoint.port))
                counter = FakeCounter(counter_port)
                async with listening(agent), listening(counter):
                    await with_timeout(agent.requests.get())
                    await wait_until(lambda: len(counter.connections) > 0)
                    new_client = Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, port)))
                    new_client.send(call_command(wait_ms=20_000))
                    connection, _ = await new_endpoint.next_command()
                    connection.send(success_reply(b"v"))
                    assert await new_client.next_message() == b"v"
                for task in idle_clients:
                    task.cancel()

    run_on_loop(test)


def test_process_recovers_after_accept_fails_at_the_descriptor_limit(tmp_path: Path) -> None:
    """The actual limit is lower than the configured one, so that `accept` fails."""

    async def test() -> None:
        agent, endpoint = FakeDiscovery(), FakeEndpoint()
        async with listening(agent), listening(endpoint):
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
            async with limited_gateway_process(tmp_path, raw_config(agent.port), 40) as port:
                idle_clients = [
                    Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, port)))
                    for _ in range(60)
                ]
                await asyncio.sleep(0.3)
                for idle in idle_clients:
                    idle.abort()
                client = Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, port)))
                client.send(call_command(wait_ms=20_000))
                connection, _ = await endpoint.next_command()
                connection.send(success_reply(b"v"))
                assert await client.next_message() == b"v"

    run_on_loop(test)


class FailingAcceptSocket(socket.socket):
    """A listening socket whose first calls of `accept` fail as if no descriptor were left."""

    failing_calls = 0
    calls = 0

    def accept(self) -> tuple[socket.socket, Any]:
        self.calls += 1
        if self.calls <= self.failing_calls:
            raise OSError(errno.EMFILE, "Too many open files")
        return super().accept()


class RecordingProtocol(asyncio.Protocol):
    """Appends itself to a list when connected."""

    def __init__(self, connected: list[RecordingProtocol]) -> None:
        self.connected = connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.connected.append(self)
        self.transport = transport


@pytest.mark.parametrize("has_capacity", [True, False])
def test_accepting_pauses_and_resumes_without_capacity_or_descriptors(
    has_capacity: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listener, "ACCEPT_RETRY_INTERVAL_S", 0.05)

    async def test() -> None:
        connected = list[RecordingProtocol]()
        capacity_checks = 0
        capacity_left = has_capacity

        def check_capacity() -> bool:
            nonlocal capacity_checks
            capacity_checks += 1
            return capacity_left

        with FailingAcceptSocket() as sock:
            sock.bind((LOOPBACK, 0))
            sock.failing_calls = 3 * has_capacity
            gateway_listener = Listener(
                sock,
                lambda _: RecordingProtocol(connected),
                check_capacity,
                LoopStallDetector(),
                lambda: None,
            )
            waiting = [
                await with_timeout(asyncio.open_connection(LOOPBACK, gateway_listener.port)) for _ in range(3)
            ]
            loop_turns = 0
            while capacity_checks < 3:
                loop_turns += 1
                await asyncio.sleep(0)
            assert not connected
            assert loop_turns > 20
            capacity_left = True
            await wait_until(lambda: len(connected) == 3 and gateway_listener.connecting_count == 0)
            gateway_listener.close()
            for _, writer in waiting:
                writer.close()
            for protocol in connected:
                protocol.transport.close()

    run_on_loop(test)


def test_connection_queued_too_long_without_capacity_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The deadlines of its requests would expire in the queue; its client can connect elsewhere."""
    monkeypatch.setattr(listener, "MAX_QUEUE_TIME_S", 0.03)

    async def test() -> None:
        with socket.create_server((LOOPBACK, 0)) as sock:
            closed_unread: list[None] = []
            gateway_listener = Listener(
                sock,
                lambda _: RecordingProtocol([]),
                lambda: False,
                LoopStallDetector(),
                lambda: closed_unread.append(None),
            )
            reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, gateway_listener.port))
            assert await with_timeout(reader.read()) == b""
            assert len(closed_unread) == 1
            gateway_listener.close()
            writer.close()

    run_on_loop(test)
