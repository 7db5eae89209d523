"""Graceful shutdown: each command accepted before it gets exactly one reply."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tomllib
from math import inf
from pathlib import Path

import pytest

from qos_gateway.server.clients import accept_drain
from qos_gateway.server.clients.listener import Listener
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.configurations import raw_config
from tests.support.event_loop import listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.processes import launched, running
from tests.support.scripted_engine import forward_to, only_endpoint, script_engine

ROOT = Path(__file__).parent.parent.parent


@pytest.fixture
def no_quiet_period(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accept_drain, "ACCEPT_QUIET_PERIOD_S", 0.0)


def test_draining_gateway_closes_a_busy_connection_after_its_response() -> None:
    """A periodic check would rarely find a busy client between two requests."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            harness.gateway.clients.context.drain.closes_idle = True
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]

    run_on_loop(test)


@pytest.mark.usefixtures("no_quiet_period")
def test_request_that_outlasts_the_drain_is_answered() -> None:
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


@pytest.mark.usefixtures("no_quiet_period")
def test_connection_accepted_just_before_the_drain_is_served_even_if_its_protocol_connects_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = Listener._connect

    async def connect_late(self: Listener, sock: socket.socket, queued_since_s: float | None) -> None:
        await asyncio.sleep(0.2)
        await connect(self, sock, queued_since_s)

    monkeypatch.setattr(Listener, "_connect", connect_late)

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            client = await harness.connect_client()
            client.send(call_command(number=1))
            listener = clients._listener
            assert listener is not None
            await wait_until(lambda: listener.connecting_count == 1)
            draining = asyncio.create_task(clients.drain(inf))
            connection, _ = await harness.endpoint.next_command()
            assert not draining.done()
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]
            await with_timeout(draining)

    run_on_loop(test)


@pytest.mark.usefixtures("no_quiet_period")
def test_incomplete_command_is_answered_and_not_reset_at_the_end() -> None:
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
            # Closing with unread bytes would reset the connection, so the gateway reads and discards them.
            client.send(call_command(number=1)[-3:])
            assert await client.next_message() is None
            client.writer.close()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)
            assert harness.endpoint.commands.empty()
            stopping.cancel()

    run_on_loop(test)


@pytest.mark.usefixtures("no_quiet_period")
def test_request_that_arrives_during_the_drain_ends_before_the_kill_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a connection that is never idle, a request with a long deadline may arrive late in the drain."""
    monkeypatch.setattr("qos_gateway.server.gateway.MAX_KILL_DEADLINE_NS", SECOND // 2)

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[forward_to(only_endpoint(harness))] * 2)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            first, _ = await harness.endpoint.next_command()
            stopping = asyncio.create_task(harness.process.stop())
            await wait_until(lambda: harness.gateway.clients.context.drain.closes_idle)
            killed = harness.gateway.clock() + SECOND // 2 + 7 * SECOND // 10
            client.send(call_command(number=2))
            second, _ = await harness.endpoint.next_command()
            assert [a.deadline < killed for a in engine.arrivals] == [False, True]
            first.send(success_reply(b"1"))
            second.send(success_reply(b"2"))
            assert [await client.next_message() for _ in range(3)] == [b"1", b"2", None]
            stopping.cancel()

    run_on_loop(test)


def test_repeated_and_mixed_signals_lose_no_reply(tmp_path: Path) -> None:
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


def test_signals_during_the_start_end_the_process_with_status_zero(tmp_path: Path) -> None:
    """Discovery does not respond, so the signals arrive while startup waits for the first endpoint list."""

    async def test() -> None:
        discovery = FakeDiscovery()
        endpoint = FakeEndpoint()
        async with listening(discovery), listening(endpoint), launched(tmp_path, discovery) as process:
            await with_timeout(discovery.requests.get())
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert await with_timeout(process.wait()) == 0

    run_on_loop(test)


def test_sighup_before_its_handler_is_in_place_does_not_end_the_process(tmp_path: Path) -> None:
    """The default action of SIGHUP would terminate the process before its handler is installed."""

    async def test() -> None:
        discovery = FakeDiscovery()
        path = tmp_path / "config.json"
        async with listening(discovery):
            path.write_text(json.dumps(raw_config(discovery.port)))
            run_command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run_command.replace(".venv/bin/python", sys.executable),
                cwd=ROOT,
                stderr=asyncio.subprocess.DEVNULL,
                env={**os.environ, "ROUTER_CONFIG": str(path)},
            )
            try:
                command_line = Path(f"/proc/{process.pid}/cmdline")
                await wait_until(lambda: command_line.read_bytes().startswith(sys.executable.encode()))
                process.send_signal(signal.SIGHUP)
                await with_timeout(discovery.requests.get())
                process.send_signal(signal.SIGTERM)
                assert await with_timeout(process.wait()) == 0
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()

    run_on_loop(test)
