"""The program as the platform runs it: configuration, start, signals, end."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.server.clients.accept_drain import ACCEPT_QUIET_PERIOD_S
from tests.support.clients import PING, call_command
from tests.support.configurations import nested_settings, raw_config
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.processes import COMMAND, running
from tests.support.resp_connection import Connection


def test_after_sigterm_accepted_and_queued_requests_are_answered_before_exit_0(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            taken, idle = await p.client(), await p.client()
            idle.send(PING)
            assert await idle.next_message() == b"PONG"
            taken.send(call_command(number=1))
            first, _ = await p.endpoint.next_command()
            # Suspended, so that all of this waits in socket and accept queue at the gateway's SIGTERM.
            p.process.send_signal(signal.SIGSTOP)
            late = await p.client()
            late.send(call_command(number=2))
            idle.send(call_command(number=3))
            await with_timeout(asyncio.gather(late.writer.drain(), idle.writer.drain()))
            p.process.send_signal(signal.SIGTERM)
            p.process.send_signal(signal.SIGCONT)
            held: dict[bytes, Connection] = {}
            for _ in range(2):
                connection, words = await p.endpoint.next_command()
                held[words[2]] = connection
            held[b"%016x" % 3].send(success_reply(b"3"))
            held[b"%016x" % 2].send(success_reply(b"2"))
            first.send(success_reply(b"1"))
            assert [await client.next_message() for client in (taken, late, idle)] == [b"1", b"2", b"3"]
            assert [await client.next_message() for client in (taken, late, idle)] == [None, None, None]
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_connection_in_the_accept_queue_is_served_by_a_stopping_gateway_that_was_suspended(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            assert p.process.stderr is not None
            while b"stopping" not in (line := await with_timeout(p.process.stderr.readline())):
                assert line
            p.process.send_signal(signal.SIGSTOP)
            late = await p.client()
            late.send(call_command())
            await with_timeout(late.writer.drain())
            await asyncio.sleep(ACCEPT_QUIET_PERIOD_S + 0.1)  # after which it would close its listener
            p.process.send_signal(signal.SIGCONT)
            connection, _ = await p.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await late.next_message() == b"v"
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_stopping_gateway_closes_its_listener_though_new_connections_keep_coming(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")

            async def connect_repeatedly() -> None:
                while True:  # until the listener is closed; each connection stays open, without a command
                    kept.append(await p.client())
                    await asyncio.sleep(0.02)

            kept: list[Connection] = []
            with pytest.raises(ConnectionRefusedError):
                await with_timeout(connect_repeatedly())
            assert len(kept) > 1
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_sighup_moves_discovery_and_keeps_the_rest_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        agent, second = FakeDiscovery(), FakeEndpoint()
        async with listening(agent), listening(second), running(tmp_path) as p:
            agent.first_update = endpoint_list(2, endpoint_entry("s-2", second.port), whole=False)
            client = await p.client()
            client.send(call_command(number=1))
            before, _ = await p.endpoint.next_command()
            valid = json.dumps(raw_config(agent.port) | {"name": "other"})
            for bad in (valid[:-9], json.dumps({"discovery": f"{LOOPBACK}:{agent.port}"})):
                p.path.write_text(bad)
                p.process.send_signal(signal.SIGHUP)
                await p.logged(b"configuration_invalid")
            assert agent.requests.empty()
            p.path.write_text(valid)
            for _ in range(3):
                p.process.send_signal(signal.SIGHUP)
            await p.logged(b"configuration_needs_restart settings=name")
            assert b"index=1 " in await with_timeout(agent.requests.get())
            before.send(success_reply(b"one"))
            assert await client.next_message() == b"one"
            # The list in use stays, and the updates of the new agent are applied to it.
            agent.send_update(
                endpoint_list(3, endpoint_entry("s-1", p.endpoint.port, "terminating"), whole=False)
            )
            # The drain closes its idle connection.
            await wait_until(lambda: p.endpoint.closed_connections == 1)
            client.send(call_command(number=2))
            connection, _ = await second.next_command()
            connection.send(success_reply(b"two"))
            assert await client.next_message() == b"two"
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")
            for _ in range(3):
                p.process.send_signal(signal.SIGHUP)
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


@pytest.mark.parametrize("repeated", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signals_up_to_its_end_do_not_kill_a_process_that_stops(
    tmp_path: Path, repeated: signal.Signals
) -> None:
    # A signal after the loop had removed its handlers ended the process with status -15.
    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")
            while p.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    p.process.send_signal(repeated)
                await asyncio.sleep(0.0005)
            assert p.process.returncode == 0

    run_on_loop(test)


def test_restart_after_a_kill_serves_without_any_state(tmp_path: Path) -> None:
    async def test() -> None:
        for number in (1, 2):
            async with running(tmp_path) as p:
                client = await p.client()
                client.send(call_command(number=number))
                connection, words = await p.endpoint.next_command()
                assert words[2] == b"%016x" % number
                connection.send(success_reply(b"v"))
                assert await client.next_message() == b"v"

    run_on_loop(test)


async def failed_start(path: Path) -> tuple[bytes, bytes]:
    """Start a gateway whose configuration ends it with exit 2; return its standard output and error."""
    process = await asyncio.create_subprocess_exec(
        *COMMAND,
        env={**os.environ, "ROUTER_CONFIG": str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await with_timeout(process.communicate())
    assert process.returncode == 2
    return out, err


def _without(key: str) -> dict[str, Any]:
    raw = raw_config(1)
    del raw[key]
    return raw


@pytest.mark.parametrize(
    ("raw", "words"),
    [
        (None, "ROUTER_CONFIG"),
        ("no json", "ROUTER_CONFIG"),
        ([], "not a JSON object"),
        (_without("settings"), "settings"),
        (_without("listen"), "listen"),
        (raw_config(1) | {"seed": "zz"}, "seed"),
        (raw_config(1) | {"peers": ["nowhere"]}, "peers"),
        (raw_config(1) | {"settings": nested_settings(zones=None)}, "settings.zones"),
        (raw_config(1) | {"settings": nested_settings(limits__maxAttempts=0)}, "limits.maxAttempts"),
    ],
)
def test_bad_configuration_ends_with_one_plain_line_and_exit_2(tmp_path: Path, raw: Any, words: str) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if raw is not None:
            path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
        out, err = await failed_start(path)
        assert out == b""
        (line,) = err.decode().splitlines()
        assert line.startswith("qos_gateway: ")
        assert words in line

    run_on_loop(test)


def test_address_in_use_ends_with_one_plain_line_and_exit_2(tmp_path: Path) -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        agent.first_update = endpoint_list(1, endpoint_entry("s-1", 1))
        async with listening(agent):
            path = tmp_path / "config.json"
            path.write_text(json.dumps(raw_config(agent.port) | {"listen": f"{LOOPBACK}:{agent.port}"}))
            _, err = await failed_start(path)
            assert err.decode().splitlines()[-1].startswith("qos_gateway: cannot listen: ")
            assert b"Traceback" not in err

    run_on_loop(test)
