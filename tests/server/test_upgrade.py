"""Upgrades: a new process starts while the old one serves, and takes over its state and socket."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from tests.support.clients import PING, call_command
from tests.support.event_loop import listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.processes import call_admin, inherited_socket_host, running


def test_upgrade_on_an_inherited_socket_answers_all_and_leaves_new_connections_to_the_next_process(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with inherited_socket_host(tmp_path) as host, host.serving() as old:
            busy, idle = await old.client(), await old.client()
            idle.send(PING)
            assert await idle.next_message() == b"PONG"
            busy.send(call_command(number=1))
            first, _ = await host.endpoint.next_command()
            async with host.serving() as new:
                old.process.send_signal(signal.SIGTERM)
                await old.logged(b"stopping")
                assert await idle.next_message() is None
                for number in range(2, 12):  # the old process no longer accepts clients
                    client = await new.client()
                    client.send(call_command(number=number))
                    connection, words = await host.endpoint.next_command()
                    assert words[2] == b"%016x" % number
                    connection.send(success_reply(b"new"))
                    assert await client.next_message() == b"new"
                assert old.process.returncode is None
                first.send(success_reply(b"old"))
                assert await busy.next_message() == b"old"
                assert await busy.next_message() is None
                assert await with_timeout(old.process.wait()) == 0
                client = await new.client()
                client.send(call_command(number=20))
                connection, _ = await host.endpoint.next_command()
                connection.send(success_reply(b"still"))
                assert await client.next_message() == b"still"

    run_on_loop(test)


def test_disabled_endpoint_stays_disabled_over_an_upgrade_and_both_processes_apply_admin_calls(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        second = FakeEndpoint()
        async with listening(second), inherited_socket_host(tmp_path, second) as host:
            first = host.endpoint
            async with host.serving() as old:
                old_client = await old.client()
                old_client.send(call_command(number=1, wait_ms=9000))
                await wait_until(lambda: first.commands.qsize() + second.commands.qsize() == 1)
                unanswered = (first if first.commands.qsize() else second).commands.get_nowait()[0]
                assert await call_admin(old, "/ops/order-servers/down", b"s-1") == 200
                async with host.serving() as new:
                    assert b"handover_completed endpoints_disabled=1" in new.log_read
                    assert await call_admin(new, "/ops/readiness") == 200
                    # During the overlap each process applies the calls that the other one receives.
                    assert await call_admin(new, "/ops/order-servers/up", b"s-1") == 200
                    assert await call_admin(old, "/ops/order-servers/down", b"s-2") == 200
                    old.process.send_signal(signal.SIGTERM)
                    await old.logged(b"stopping")
                    assert await call_admin(old, "/ops/readiness") == 503
                    await asyncio.sleep(0)
                    for number in range(2, 12):
                        client = await new.client()
                        client.send(call_command(number=number))
                        answered = asyncio.ensure_future(client.next_message())
                        while not answered.done():
                            assert second.commands.empty()  # a disabled endpoint receives no requests
                            if not first.commands.empty():
                                first.commands.get_nowait()[0].send(success_reply(b"v"))
                            await asyncio.sleep(0.001)
                    unanswered.send(success_reply(b"old"))
                    assert await old_client.next_message() == b"old"
                    assert await with_timeout(old.process.wait()) == 0
                    await new.logged(b"handover_other_process_ended")
                    assert await call_admin(new, "/ops/order-servers/up", b"s-2") == 200
                    assert await call_admin(new, "/ops/order-servers/up", b"s-3") == 404

    run_on_loop(test)


def test_old_process_regains_its_full_limits_when_the_new_one_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with inherited_socket_host(tmp_path) as host, host.serving() as old:
            async with host.serving() as new:
                new.process.kill()
                await new.process.wait()
            await old.logged(b"handover_other_process_ended")
            assert await call_admin(old, "/ops/order-servers/down", b"s-1") == 200
            assert await call_admin(old, "/ops/order-servers/up", b"s-1") == 200
            assert await call_admin(old, "/ops/readiness") == 200
            old.process.send_signal(signal.SIGTERM)
            assert old.process.stderr is not None
            assert b"handover_other_process_ended" not in await with_timeout(old.process.stderr.read())
            assert await with_timeout(old.process.wait()) == 0

    run_on_loop(test)


@pytest.mark.parametrize(
    "reply",
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
def test_silent_or_malformed_previous_process_delays_the_start_by_a_bounded_time(
    tmp_path: Path, reply: bytes | None
) -> None:
    async def test() -> None:
        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append(await reader.readline())
            if reply is not None:
                writer.write(reply)
                if not reply.endswith(b"\n"):
                    writer.close()

        requests: list[bytes] = []
        server = await asyncio.start_unix_server(answer, tmp_path / "upgrade-n0.sock")
        async with inherited_socket_host(tmp_path) as host, host.serving() as p:
            assert json.loads(requests[0]) == {"v": 1, "want": "state"}
            client = await p.client()
            client.send(call_command())
            connection, _ = await host.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
        server.close()

    run_on_loop(test)


def test_socket_of_a_killed_process_is_replaced_in_a_folder_with_a_long_path(tmp_path: Path) -> None:
    async def test() -> None:
        folder = tmp_path / ("long" * 30)
        folder.mkdir()
        async with inherited_socket_host(folder) as host:
            async with host.serving() as killed:
                killed.process.kill()
                await killed.process.wait()
            async with host.serving() as p:  # finds the socket file of the killed process
                assert await call_admin(p, "/ops/order-servers/down", b"s-1") == 200
                async with host.serving() as new:
                    assert b"handover_completed endpoints_disabled=1" in new.log_read

    run_on_loop(test)


@pytest.mark.parametrize("descriptor", ["0", "999"])
def test_inherited_descriptor_without_a_listening_socket_is_ignored(tmp_path: Path, descriptor: str) -> None:
    async def test() -> None:
        async with running(tmp_path, ROUTER_PASSED_SOCKET=descriptor) as p:
            client = await p.client()
            client.send(PING)
            assert await client.next_message() == b"PONG"

    run_on_loop(test)
