"""Graceful shutdown: each command taken before it gets its one reply, whatever happens meanwhile."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from pathlib import Path

import pytest

from qos_gateway.server.clients import accept_drain
from qos_gateway.server.clients.listener import Listener
from qos_gateway.types import Arrival, Send
from tests.support.clients import call_command
from tests.support.configurations import raw_config
from tests.support.event_loop import listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.processes import launched, running
from tests.support.scripted_engine import only_endpoint, script_engine

SECOND = 1_000_000_000
ROOT = Path(__file__).parent.parent.parent


@pytest.fixture
def listener_closes_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accept_drain, "ACCEPT_DRAIN_QUIET_S", 0.0)


@pytest.mark.usefixtures("listener_closes_at_once")
def test_request_is_answered_though_it_lasts_longer_than_stopping_was_to() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients._max_drain_s = -1.0
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            stopping = asyncio.create_task(harness.process.stop())
            await wait_until(lambda: harness.gateway.clients.context.drain.closes_idle)
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]
            stopping.cancel()

    run_on_loop(test)


@pytest.mark.usefixtures("listener_closes_at_once")
def test_connection_accepted_just_before_the_stop_is_served_however_late_its_protocol_knows_of_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Listener._connect

    async def connect_late(self: Listener, sock: socket.socket) -> None:
        await asyncio.sleep(0.2)
        await connect(self, sock)

    monkeypatch.setattr(Listener, "_connect", connect_late)

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            client = await harness.connect_client()
            client.send(call_command(number=1))
            listener = clients._listener
            assert listener is not None
            await wait_until(lambda: listener.connecting_count == 1)
            draining = asyncio.create_task(clients.drain())
            connection, _ = await harness.endpoint.next_command()
            assert not draining.done()
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]
            await with_timeout(draining)

    run_on_loop(test)


@pytest.mark.usefixtures("listener_closes_at_once")
def test_half_a_command_is_answered_and_not_reset_at_the_end() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients._max_drain_s = -1.0
            client = await harness.connect_client()
            client.send(call_command(number=1)[:-3])
            await wait_until(
                lambda: any(c.input.reader.partial_since_s for c in harness.gateway.clients._new_connections)
            )
            stopping = asyncio.create_task(harness.process.stop())
            assert str(await client.next_message()) == "BUSY"
            client.send(
                call_command(number=1)[-3:]
            )  # crosses the end: read and dropped, or it would be reset
            assert await client.next_message() is None
            client.writer.close()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)
            assert harness.endpoint.commands.empty()
            stopping.cancel()

    run_on_loop(test)


@pytest.mark.usefixtures("listener_closes_at_once")
def test_request_that_comes_while_stopping_ends_before_the_platform_kills(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a connection that never rests, a request may come late and have a long deadline."""
    monkeypatch.setattr("qos_gateway.server.gateway.MAX_KILL_DEADLINE_NS", SECOND // 2)

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, *[lambda a: [Send(a.request_id, endpoint, 0)]] * 2)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            first, _ = await harness.endpoint.next_command()
            stopping = asyncio.create_task(harness.process.stop())
            await wait_until(lambda: harness.gateway.clients.context.drain.closes_idle)
            killed = harness.gateway.clock() + SECOND // 2 + 7 * SECOND // 10
            client.send(call_command(number=2))
            second, _ = await harness.endpoint.next_command()
            assert [a.deadline < killed for a in engine.events_of(Arrival)] == [False, True]
            first.send(success_reply(b"1"))
            second.send(success_reply(b"2"))
            assert [await client.next_message() for _ in range(3)] == [b"1", b"2", None]
            stopping.cancel()

    run_on_loop(test)


def test_signals_twice_and_mixed_take_no_answer_along(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            client = await p.client()
            client.send(call_command(number=1))
            connection, _ = await p.endpoint.next_command()
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
                p.process.send_signal(number)
            await p.logged(b"stopping")
            p.process.send_signal(signal.SIGHUP)
            p.process.send_signal(signal.SIGTERM)
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_signals_while_starting_end_it_in_good_order(tmp_path: Path) -> None:
    """Discovery is silent, so the start waits for its first list; both signals come meanwhile."""

    async def test() -> None:
        agent = FakeDiscovery()
        endpoint = FakeEndpoint()
        async with listening(agent), listening(endpoint), launched(tmp_path, agent) as process:
            await with_timeout(agent.requests.get())
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0

    run_on_loop(test)


def test_sighup_before_its_handler_is_in_place_does_not_end_the_process(tmp_path: Path) -> None:
    """Until Python has loaded it the signal would have its default, which kills."""

    async def test() -> None:
        agent = FakeDiscovery()
        path = tmp_path / "config.json"
        async with listening(agent):
            path.write_text(json.dumps(raw_config(agent.port)))
            line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                line.replace(".venv/bin/python", sys.executable),
                cwd=ROOT,
                stderr=asyncio.subprocess.DEVNULL,
                env={**os.environ, "ROUTER_CONFIG": str(path)},
            )
            try:
                command_line = Path(f"/proc/{process.pid}/cmdline")
                await wait_until(lambda: command_line.read_bytes().startswith(sys.executable.encode()))
                process.send_signal(signal.SIGHUP)
                await with_timeout(agent.requests.get())
                process.send_signal(signal.SIGTERM)
                assert await with_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()

    run_on_loop(test)
