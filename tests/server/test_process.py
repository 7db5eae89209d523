"""The program as the platform runs it: configuration, start, SIGTERM."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.server.clients import ACCEPT_DRAIN_QUIET_S
from qos_gateway.server.config import ConfigError, flatten, load, needs_restart, parse, reload
from tests.support.servers import (
    LOOPBACK,
    Connection,
    FakeBackend,
    FakeDiscovery,
    call_command,
    endpoint_entry,
    endpoint_list,
    listening,
    nested_settings,
    raw_config,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)

COMMAND = (sys.executable, "-m", "qos_gateway")


class Process:
    """A gateway in a process of its own."""

    def __init__(
        self, process: asyncio.subprocess.Process, port: int, backend: FakeBackend, path: Path
    ) -> None:
        self.process, self.port, self.backend, self.path = process, port, backend, path
        self.door = 0
        self.read = b""  # of the log: what was read past on the way to lines asked for

    async def logged(self, words: bytes) -> bytes:
        """Reads the log up to a line that holds these words."""
        assert self.process.stderr is not None
        while words not in (line := await with_timeout(self.process.stderr.readline())):
            assert line, "ended before it said so"
            self.read += line
        return line

    async def client(self) -> Connection:
        return Connection(*await with_timeout(asyncio.open_connection(LOOPBACK, self.port)))


@asynccontextmanager
async def passing() -> AsyncIterator[socket.socket]:
    """A listening socket as the platform holds it."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        sock.set_inheritable(True)
        yield sock


@asynccontextmanager
async def serving(
    folder: Path, agent: FakeDiscovery, backend: FakeBackend, sock: socket.socket
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
        made = Process(process, sock.getsockname()[1], backend, path)
        made.door = int((await made.logged(b"admin_started")).rsplit(b":", 1)[1])
        await made.logged(b"listening on")
        yield made
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_upgrade_on_an_inherited_socket_answers_all_and_leaves_new_ones_to_the_next(tmp_path: Path) -> None:
    async def test() -> None:
        agent, backend = FakeDiscovery(), FakeBackend()
        async with listening(agent), listening(backend), passing() as sock:
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
            async with serving(tmp_path, agent, backend, sock) as old:
                taken, idle = await old.client(), await old.client()
                idle.send(b"*1\r\n$4\r\nPING\r\n")
                assert await idle.next_message() == b"PONG"
                taken.send(call_command(number=1))
                first, _ = await backend.next_command()
                async with serving(tmp_path, agent, backend, sock) as new:
                    old.process.send_signal(signal.SIGTERM)
                    await old.logged(b"stopping")
                    assert await idle.next_message() is None
                    for number in range(2, 12):  # the old accepts no more
                        client = await new.client()
                        client.send(call_command(number=number))
                        connection, words = await backend.next_command()
                        assert words[2] == b"%016x" % number
                        connection.send(success_reply(b"new"))
                        assert await client.next_message() == b"new"
                    assert old.process.returncode is None
                    first.send(success_reply(b"old"))
                    assert await taken.next_message() == b"old"
                    assert await taken.next_message() is None
                    assert await with_timeout(old.process.wait()) == 0
                    client = await new.client()
                    client.send(call_command(number=20))
                    connection, _ = await backend.next_command()
                    connection.send(success_reply(b"still"))
                    assert await client.next_message() == b"still"

    run_on_loop(test)


async def operate(p: Process, path: str, body: bytes = b"") -> int:
    """Status of an operator's call."""
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, p.door))
    head = f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    answer = await with_timeout(reader.read())
    writer.close()
    return int(answer.split()[1])


def test_disabled_endpoint_stays_so_over_an_upgrade_and_either_process_takes_the_call(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        agent, one, two = FakeDiscovery(), FakeBackend(), FakeBackend()
        async with listening(agent), listening(one), listening(two), passing() as sock:
            agent.first_update = endpoint_list(
                1, endpoint_entry("s-1", one.port), endpoint_entry("s-2", two.port)
            )
            async with serving(tmp_path, agent, one, sock) as old:
                kept = await old.client()
                kept.send(call_command(number=1, wait_ms=9000))
                await wait_until(lambda: one.commands.qsize() + two.commands.qsize() == 1)
                held = (one if one.commands.qsize() else two).commands.get_nowait()[0]
                assert await operate(old, "/ops/order-servers/down", b"s-1") == 200
                async with serving(tmp_path, agent, one, sock) as new:
                    assert b"handover_completed endpoints_disabled=1" in new.read
                    assert await operate(new, "/ops/readiness") == 200
                    # During the overlap the old door reaches the new process, and the other way round.
                    assert await operate(new, "/ops/order-servers/up", b"s-1") == 200
                    assert await operate(old, "/ops/order-servers/down", b"s-2") == 200
                    old.process.send_signal(signal.SIGTERM)
                    await old.logged(b"stopping")
                    assert await operate(old, "/ops/readiness") == 503
                    await asyncio.sleep(0)
                    for number in range(2, 12):
                        client = await new.client()
                        client.send(call_command(number=number))
                        answered = asyncio.ensure_future(client.next_message())
                        while not answered.done():
                            assert two.commands.empty()  # left out: nothing may go there
                            if not one.commands.empty():
                                one.commands.get_nowait()[0].send(success_reply(b"v"))
                            await asyncio.sleep(0.001)
                    held.send(success_reply(b"old"))
                    assert await kept.next_message() == b"old"
                    assert await with_timeout(old.process.wait()) == 0
                    await new.logged(b"handover_other_process_ended")
                    assert await operate(new, "/ops/order-servers/up", b"s-2") == 200
                    assert await operate(new, "/ops/order-servers/up", b"s-3") == 404

    run_on_loop(test)


def test_old_process_gets_its_shares_back_when_the_new_one_dies(tmp_path: Path) -> None:
    async def test() -> None:
        agent, backend = FakeDiscovery(), FakeBackend()
        async with listening(agent), listening(backend), passing() as sock:
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
            async with serving(tmp_path, agent, backend, sock) as old:
                async with serving(tmp_path, agent, backend, sock) as new:
                    new.process.kill()
                    await new.process.wait()
                await old.logged(b"handover_other_process_ended")
                assert await operate(old, "/ops/order-servers/down", b"s-1") == 200
                assert await operate(old, "/ops/order-servers/up", b"s-1") == 200
                assert await operate(old, "/ops/readiness") == 200
                old.process.send_signal(signal.SIGTERM)
                assert old.process.stderr is not None
                assert b"handover_other_process_ended" not in await with_timeout(old.process.stderr.read())
                assert await with_timeout(old.process.wait()) == 0

    run_on_loop(test)


@pytest.mark.parametrize(
    "said",
    [
        None,
        b"",
        b"{",
        b"\xff\n",
        b'{"v":2,"state":{}}\n',
        b'{"v":1,"state":{}}\n',
        b'{"v":1,"state":7}\n',
        b'{"v":1,"state":{"list":null,"clients":1,"backends":1,"decisions":{"accounts":[[1]]}}}\n',
    ],
)
def test_silent_or_malformed_process_before_delays_the_start_by_a_bounded_time(
    tmp_path: Path, said: bytes | None
) -> None:
    async def test() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append(await reader.readline())
            if said is not None:
                writer.write(said)
                if not said.endswith(b"\n"):
                    writer.close()

        asked: list[bytes] = []
        server = await asyncio.start_unix_server(answer, tmp_path / "upgrade-n0.sock")
        agent, backend = FakeDiscovery(), FakeBackend()
        async with listening(agent), listening(backend), passing() as sock:
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
            async with serving(tmp_path, agent, backend, sock) as p:
                assert json.loads(asked[0]) == {"v": 1, "want": "state"}
                client = await p.client()
                client.send(call_command())
                connection, _ = await backend.next_command()
                connection.send(success_reply(b"v"))
                assert await client.next_message() == b"v"
        server.close()

    run_on_loop(test)


def test_socket_of_a_killed_process_is_replaced_in_a_folder_with_a_long_path(tmp_path: Path) -> None:
    async def test() -> None:
        folder = tmp_path / ("long" * 30)
        folder.mkdir()
        agent, backend = FakeDiscovery(), FakeBackend()
        async with listening(agent), listening(backend), passing() as sock:
            agent.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
            async with serving(folder, agent, backend, sock) as killed:
                killed.process.kill()
                await killed.process.wait()
            async with serving(folder, agent, backend, sock) as p:  # finds the name, and nobody there
                assert await operate(p, "/ops/order-servers/down", b"s-1") == 200
                async with serving(folder, agent, backend, sock) as new:
                    assert b"handover_completed endpoints_disabled=1" in new.read

    run_on_loop(test)


@pytest.mark.parametrize("descriptor", ["0", "999"])
def test_descriptor_that_is_no_listening_socket_is_passed_over(tmp_path: Path, descriptor: str) -> None:
    async def test() -> None:
        async with running(tmp_path, ROUTER_PASSED_SOCKET=descriptor) as p:
            client = await p.client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


@asynccontextmanager
async def launched(
    folder: Path, agent: FakeDiscovery, **more: str
) -> AsyncIterator[asyncio.subprocess.Process]:
    """A gateway's process, from its first moment."""
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
    agent, backend = FakeDiscovery(), FakeBackend()
    async with listening(agent), listening(backend):
        agent.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
        async with launched(folder, agent, **more) as process:
            assert process.stderr is not None
            while b"listening on" not in (line := await with_timeout(process.stderr.readline())):
                assert line, "ended before it listened"
            yield Process(process, int(line.rsplit(b":", 1)[1]), backend, folder / "config.json")


def test_sigterm_answers_all_that_was_taken_and_what_still_comes_then_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            taken, idle = await p.client(), await p.client()
            idle.send(b"*1\r\n$4\r\nPING\r\n")
            assert await idle.next_message() == b"PONG"
            taken.send(call_command(number=1))
            first, _ = await p.backend.next_command()
            # Held still, so that all of this waits in socket and accept queue at the gateway's SIGTERM.
            p.process.send_signal(signal.SIGSTOP)
            late = await p.client()
            late.send(call_command(number=2))
            idle.send(call_command(number=3))
            await with_timeout(asyncio.gather(late.writer.drain(), idle.writer.drain()))
            p.process.send_signal(signal.SIGTERM)
            p.process.send_signal(signal.SIGCONT)
            held: dict[bytes, Connection] = {}
            for _ in range(2):
                connection, words = await p.backend.next_command()
                held[words[2]] = connection
            held[b"%016x" % 3].send(success_reply(b"3"))
            held[b"%016x" % 2].send(success_reply(b"2"))
            first.send(success_reply(b"1"))
            assert [await client.next_message() for client in (taken, late, idle)] == [b"1", b"2", b"3"]
            assert [await client.next_message() for client in (taken, late, idle)] == [None, None, None]
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_connection_in_the_accept_queue_is_taken_though_the_stopping_gateway_lagged(tmp_path: Path) -> None:
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
            await asyncio.sleep(ACCEPT_DRAIN_QUIET_S + 0.1)  # its time to close the door passes meanwhile
            p.process.send_signal(signal.SIGCONT)
            connection, _ = await p.backend.next_command()
            connection.send(success_reply(b"v"))
            assert await late.next_message() == b"v"
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_stopping_gateway_closes_its_listener_though_new_connections_keep_coming(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path) as p:
            p.process.send_signal(signal.SIGTERM)
            await p.logged(b"stopping")

            async def knock() -> None:
                while True:  # ends when the door is closed; each stays open and says nothing
                    kept.append(await p.client())
                    await asyncio.sleep(0.02)

            kept: list[Connection] = []
            with pytest.raises(ConnectionRefusedError):
                await with_timeout(knock())
            assert len(kept) > 1
            assert await with_timeout(p.process.wait()) == 0

    run_on_loop(test)


def test_sighup_moves_discovery_and_keeps_the_rest_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        agent, second = FakeDiscovery(), FakeBackend()
        async with listening(agent), listening(second), running(tmp_path) as p:
            agent.first_update = endpoint_list(2, endpoint_entry("s-2", second.port), whole=False)
            client = await p.client()
            client.send(call_command(number=1))
            before, _ = await p.backend.next_command()
            whole = json.dumps(raw_config(agent.port) | {"name": "other"})
            for bad in (whole[:-9], json.dumps({"discovery": f"{LOOPBACK}:{agent.port}"})):
                p.path.write_text(bad)
                p.process.send_signal(signal.SIGHUP)
                await p.logged(b"configuration_invalid")
            assert agent.requests.empty()
            p.path.write_text(whole)
            for _ in range(3):
                p.process.send_signal(signal.SIGHUP)
            await p.logged(b"configuration_needs_restart settings=name")
            assert b"index=1 " in await with_timeout(agent.requests.get())
            before.send(success_reply(b"one"))
            assert await client.next_message() == b"one"
            # The list in use stays, and what the new agent tells is added to it.
            agent.send_update(
                endpoint_list(3, endpoint_entry("s-1", p.backend.port, "terminating"), whole=False)
            )
            await wait_until(
                lambda: p.backend.closed_connections == 1
            )  # its connection at rest goes with the drain
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


def test_restart_after_a_kill_serves_without_any_state(tmp_path: Path) -> None:
    async def test() -> None:
        for number in (1, 2):
            async with running(tmp_path) as p:
                client = await p.client()
                client.send(call_command(number=number))
                connection, words = await p.backend.next_command()
                assert words[2] == b"%016x" % number
                connection.send(success_reply(b"v"))
                assert await client.next_message() == b"v"

    run_on_loop(test)


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
        process = await asyncio.create_subprocess_exec(
            *COMMAND,
            env={**os.environ, "ROUTER_CONFIG": str(path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await with_timeout(process.communicate())
        assert process.returncode == 2
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
            process = await asyncio.create_subprocess_exec(
                *COMMAND, env={**os.environ, "ROUTER_CONFIG": str(path)}, stderr=asyncio.subprocess.PIPE
            )
            _, err = await with_timeout(process.communicate())
            assert process.returncode == 2
            assert err.decode().splitlines()[-1].startswith("qos_gateway: cannot listen: ")
            assert b"Traceback" not in err

    run_on_loop(test)


def test_environment_comes_before_the_file(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    config = load(
        {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": "n7",
            "ROUTER_LISTEN": "127.0.0.9:1",
            "ROUTER_DISCOVERY": "127.0.0.8:2",
        }
    )
    assert (config.name, config.listen, config.discovery) == ("n7", ("127.0.0.9", 1), ("127.0.0.8", 2))
    assert config.seed == 0x8C1F30D27A5BE964
    with pytest.raises(ConfigError):
        load({})


def test_reload_goes_by_the_file_where_discovery_is(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    environment = {"ROUTER_CONFIG": str(path), "ROUTER_DISCOVERY": "127.0.0.8:2", "ROUTER_NAME": "n7"}
    old = load(environment)
    path.write_text(
        json.dumps(raw_config(3, endpoint_list(4), zones=["c"]) | {"seed": "1", "name": "ignored"})
    )
    new = reload(environment)
    assert new.discovery == (LOOPBACK, 3)
    assert needs_restart(old, new) == ["zones"]
    assert needs_restart(old, old) == []


def test_nested_settings_become_the_start_messages_lines() -> None:
    nested = {"a": [{"name": "look up, twice", "on": True}], "b": {"c": [1, 2.5], "d": []}, "e": 10**12}
    assert list(flatten(nested)) == [
        "a.count=1",
        "a.0.name=look_up__twice",
        "a.0.on=true",
        "b.c=1,2.5",
        "b.d=",
        "e=1000000000000",
    ]


def test_names_on_the_wire_are_those_of_the_settings_as_written() -> None:
    config = parse(raw_config(1), {})
    assert config.classes == (b"look up", b"submit", b"charge")
    assert config.plans == (b"team",)
    assert config.settings.classes[0].name == "look_up"
