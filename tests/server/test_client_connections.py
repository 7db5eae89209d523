"""Client connections: connection limit, eviction and timeouts."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.clients import timeouts as client_timeouts
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import forward_to, leave_open, only_endpoint, script_engine


def test_idle_connections_are_evicted_for_new_ones_beyond_the_limit() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, leave_open)
            harness.gateway.clients.max_connections = 3
            busy = await harness.connect_client()
            busy.send(call_command())
            await wait_until(lambda: len(engine.arrivals) == 1)
            idle_clients = [await harness.connect_client() for _ in range(5)]
            assert [await client.next_message() for client in idle_clients[:3]] == [None] * 3
            for client in idle_clients[3:]:
                client.send(PING)
                assert await client.next_message() == b"PONG"
            assert harness.gateway.clients.connection_count() == 3
            assert len(engine.arrivals) == 1

    run_on_loop(test)


def test_idle_connections_are_closed_early_only_near_the_connection_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_timeouts, "NEAR_LIMIT_IDLE_TIMEOUT_S", 0.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            idle_clients = [await harness.connect_client() for _ in range(4)]
            for client in idle_clients:
                client.send(PING)
                assert await client.next_message() == b"PONG"
            harness.gateway.clients.max_connections = 6
            harness.gateway.clients.timeout_checker.check()
            await asyncio.sleep(0)
            assert harness.gateway.clients.connection_count() == 4
            harness.gateway.clients.max_connections = 5
            harness.gateway.clients.timeout_checker.check()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_new_connection_beyond_the_limit_is_closed_when_no_other_is_idle() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.max_connections = 2
            engine = script_engine(harness, *[leave_open] * 2)
            busy = [await harness.connect_client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(call_command(number=number))
            await wait_until(lambda: len(engine.arrivals) == 2)
            assert await (await harness.connect_client()).next_message() is None
            assert harness.gateway.clients.connection_count() == 2

    run_on_loop(test)


def test_client_may_take_two_seconds_for_the_header_of_a_command() -> None:
    assert client_timeouts.COMMAND_TIMEOUT_S > 2.0
    assert client_timeouts.COMMAND_TIMEOUT_S + client_timeouts.CHECK_INTERVAL_S < 3.0


@pytest.mark.parametrize(
    "data", [b"", b"*", b"*4\r\n$8\r\nCALL.GET\r\n", b"*1\r\n$60000\r\n" + b"x" * 59_000]
)
def test_client_that_sends_no_complete_command_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert client_timeouts.COMMAND_TIMEOUT_S + client_timeouts.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client_timeouts, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(data)
            if data:
                assert "without end" in str(await client.next_message())
            assert await client.next_message() is None
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_client_that_does_not_read_is_closed_and_its_commands_are_deferred(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert client_timeouts.WRITE_STALL_TIMEOUT_S + client_timeouts.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "WRITE_STALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_timeouts, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            request_count = 600  # about 40 MB of replies, more than the buffers of the sockets hold
            engine = script_engine(harness, *[forward_to(only_endpoint(harness))] * request_count)

            async def reply_to_all() -> None:
                while True:
                    connection, _ = await harness.endpoint.commands.get()
                    connection.send(success_reply(b"v" * 65_000))

            replying = asyncio.create_task(reply_to_all())
            client = await harness.connect_client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(b"".join(call_command(number=number) for number in range(request_count)))
            await wait_until(
                lambda: bool(engine.arrivals) and harness.gateway.clients.connection_count() == 0
            )
            replying.cancel()
            assert len(engine.arrivals) < request_count
            assert harness.buffers.deferred_bytes == 0

    run_on_loop(test)
