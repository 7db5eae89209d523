"""Incomplete large values: stalls, resets, disconnects and deadlines."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.endpoints import response_deadline, response_receiver
from qos_gateway.types import Outcome
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.resp_connection import Connection
from tests.support.scripted_engine import only_endpoint
from tests.support.values import value


def test_value_that_stalls_past_the_clients_deadline_ends_within_half_a_second_of_it() -> None:
    """A hung endpoint sends nothing more; half a second after its deadline a request counts as lost."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(wait_ms=300))
            sent_at = asyncio.get_running_loop().time()
            await harness.endpoint.start_reply_to_next_command(success_reply(value(100_000))[:80_000])
            assert len(await with_timeout(client.reader.read(1 << 20)))
            while await with_timeout(client.reader.read(1 << 20)):
                pass
            assert (
                asyncio.get_running_loop().time() - sent_at
                < response_receiver.LARGE_RESPONSE_STALL_TIMEOUT_S / 2
            )
            await wait_until(lambda: not harness.open_requests)
            assert harness.active_streams == 0

    run_on_loop(test)


async def send_slowly_until_closed(connection: Connection, client: Connection) -> bytes:
    """Send single bytes until the client's connection ends; return the data the client received."""
    reading = asyncio.ensure_future(client.reader.read())
    for _ in range(1000):
        connection.send(b"x")
        if reading.done():
            break
        await asyncio.sleep(0.02)
    return await with_timeout(reading)


def test_slow_value_is_aborted_after_the_clients_deadline() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(wait_ms=300))
            reply = success_reply(value(100_000))
            connection = await harness.endpoint.start_reply_to_next_command(reply[:50_000])
            assert len(await send_slowly_until_closed(connection, client)) < 60_000

    run_on_loop(test)


def test_streamed_value_ends_before_a_draining_process_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_deadline, "DEADLINE_GRACE_S", 10.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            deadlines = harness.gateway.deadlines
            client = await harness.connect_client()
            client.send(call_command(wait_ms=200))
            connection, _ = await harness.endpoint.next_command()
            deadlines.latest_deadline = deadlines.clock() + SECOND * 4 // 10
            connection.send(success_reply(value(100_000))[:50_000])
            await send_slowly_until_closed(connection, client)
            overtime_ns = deadlines.clock() - deadlines.latest_deadline
            assert 0 < overtime_ns < response_deadline.DEADLINE_GRACE_S * SECOND // 2

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "malformed", "stall"])
def test_incomplete_value_ends_its_clients_connection_without_a_retry(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.02)
    monkeypatch.setattr(response_receiver, "LARGE_RESPONSE_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with gateway_harness() as harness:
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=1))
            reply = success_reply(value(100_000))
            connection = await harness.endpoint.start_reply_to_next_command(reply[:80_000])
            await with_timeout(client.reader.readexactly(1000))
            if how == "reset":
                connection.abort()
            elif how == "malformed":
                connection.send(b"x" * 40_000)
            # The client detects the failure by the end of its connection.
            assert len(await with_timeout(client.reader.read())) < 100_011 - 1000
            assert harness.endpoint.commands.empty()
            assert harness.request_results() == [0, 0, 1]
            other.send(call_command(number=2))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await other.next_message() == b"v"
            assert harness.active_streams == 0
            assert not harness.gateway.dispatcher.engine.request_table.in_flight

    run_on_loop(test)


def test_client_disconnect_during_a_value_closes_the_endpoints_connection() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            await harness.endpoint.start_reply_to_next_command(success_reply(value(1 << 20))[:500_000])
            await with_timeout(client.reader.readexactly(1000))
            client.abort()
            await wait_until(lambda: harness.endpoint.closed_connections == 1 and not harness.open_requests)
            assert harness.active_streams == 0
            assert not harness.gateway.dispatcher.engine.request_table.in_flight
            assert harness.request_results() == [0, 0, 0]

    run_on_loop(test)


def test_slow_response_is_not_ended_while_bytes_arrive(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            reply, last_data_at = success_reply(b"v" * 30), 0.0
            for at in range(0, len(reply) - 9, 9):
                connection.send(reply[at : at + 9])
                (pooled,) = harness.gateway.endpoint_connections._pools[only_endpoint(harness)].connections
                deadline = pooled.deadline
                await wait_until(lambda deadline=deadline: deadline.last_data_at > 0.0)  # type: ignore[misc]
                last_data_at = deadline.last_data_at
                deadline.last_data_at = last_data_at - 59.0  # as if a chunk arrived about once a minute
                pooled._check_deadline()
                assert pooled.timer is not None
                assert pooled.attempt is not None
                deadline.last_data_at = 0.0
            deadline.last_data_at = last_data_at - 61.0
            pooled._check_deadline()
            assert harness.gateway.observability.activity.attempt_outcomes[Outcome.RESET] == 1

    run_on_loop(test)
