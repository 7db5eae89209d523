"""Pipelined commands: limits on concurrent and on deferred commands."""

from __future__ import annotations

import asyncio

from qos_gateway.server.clients.buffer_budgets import CONNECTION_DEFERRED_FRACTION
from qos_gateway.server.clients.connection_input import MAX_PENDING_REPLIES, MAX_PIPELINED
from qos_gateway.server.clients.timeouts import COMMAND_TIMEOUT_S, enforce_timeouts
from qos_gateway.types import RejectReason
from qos_gateway.units import MILLISECOND
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import leave_open, reject_open_request, script_engine


def test_commands_beyond_the_pipeline_limit_are_deferred_and_answered_in_order() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            command_count = 3 * MAX_PIPELINED
            engine = script_engine(harness, *[leave_open] * command_count)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(command_count)))
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
            client.send(PING)
            while len(arrivals := engine.arrivals) < command_count:
                assert len(harness.open_requests) <= MAX_PIPELINED
                # Out of order: the last one first.
                reject_open_request(harness, arrivals[-1], 7 * MILLISECOND)
                for arrival in arrivals[-MAX_PIPELINED:-1]:
                    reject_open_request(harness, arrival, 7 * MILLISECOND)
                await wait_until(lambda: len(engine.arrivals) > len(arrivals))
            for arrival in engine.arrivals[-MAX_PIPELINED:]:
                reject_open_request(harness, arrival, 7 * MILLISECOND)
            assert {str(await client.next_message()) for _ in range(command_count)} == {"BUSY 7"}
            assert await client.next_message() == b"PONG"
            assert harness.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_deferred_commands_are_bounded_over_all_clients_and_each_is_answered() -> None:
    """Each command that was read gets a reply; closing the connection would lose requests."""

    async def test() -> None:
        async with gateway_harness() as harness:
            limit_bytes = harness.buffers.limit_bytes = 10_000
            script_engine(harness, *[leave_open] * 301)
            client = await harness.connect_client()
            command = call_command(number=1, wait_ms=1000)
            client.send(b"".join(call_command(number=n, wait_ms=1000) for n in range(300)))
            await wait_until(lambda: len(harness.open_requests) == MAX_PIPELINED)
            rejections = harness.gateway.observability.metrics.rejections
            least = 300 - MAX_PIPELINED - limit_bytes // len(command)
            await wait_until(lambda: rejections[RejectReason.LOAD_LIMIT] >= least)
            await wait_until(lambda: harness.buffers.deferred_bytes <= limit_bytes)
            client.send(call_command(number=300, wait_ms=2000))
            replies = [str(await client.next_message()) for _ in range(300)]
            rejected = rejections[RejectReason.LOAD_LIMIT]
            assert set(replies[:MAX_PIPELINED]) == {"ERR out of time"}
            assert set(replies[MAX_PIPELINED : MAX_PIPELINED + rejected]) == {"BUSY"}  # the oldest ones
            assert set(replies[MAX_PIPELINED + rejected :]) <= {"ERR out of time"}
            await wait_until(lambda: len(harness.open_requests) == 1)
            assert harness.buffers.deferred_bytes == 0
            assert rejections[RejectReason.LOAD_LIMIT] == rejected
            assert not harness.gateway.observability.invariants.violations
            assert str(await client.next_message()) == "ERR out of time"

    run_on_loop(test)


def test_protocol_error_behind_rejected_commands_is_answered_after_them() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 0
            script_engine(harness, *[leave_open] * MAX_PIPELINED)
            client = await harness.connect_client()
            commands = [call_command(number=n, wait_ms=60) for n in range(MAX_PIPELINED + 2)]
            client.send(b"".join(commands) + b"PING\r\n")
            replies = [str(await client.next_message()) for _ in range(MAX_PIPELINED + 3)]
            assert set(replies[:MAX_PIPELINED]) == {"ERR out of time"}
            assert replies[MAX_PIPELINED : MAX_PIPELINED + 2] == ["BUSY", "BUSY"]
            assert "Protocol error" in replies[-1]
            assert await client.next_message() is None

    run_on_loop(test)


def test_one_client_defers_only_a_fraction_of_the_budget_and_its_oldest_commands_are_rejected() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 1 << 20
            script_engine(harness, *[leave_open] * 100)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED)))
            await wait_until(lambda: len(harness.open_requests) == MAX_PIPELINED)
            limit_bytes = harness.buffers.limit_bytes * CONNECTION_DEFERRED_FRACTION
            for number in range(MAX_PIPELINED, 100):
                client.send(call_command("submit", number=number, body=b"B" * 20_000))
                await asyncio.sleep(0.001)
                assert harness.buffers.deferred_bytes <= limit_bytes
            replies = [str(await client.next_message()) for _ in range(100)]
            rejected = [n for n, reply in enumerate(replies) if reply == "BUSY"]
            assert rejected[0] == MAX_PIPELINED
            assert 50 <= len(rejected) <= 100 - MAX_PIPELINED - 8
            assert rejected[-1] < 98
            assert harness.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_replies_to_rejected_commands_are_bounded_and_all_are_written() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 0
            script_engine(harness, *[leave_open] * 8000)
            client = await harness.connect_client()
            command_count = 4 * MAX_PENDING_REPLIES
            client.send(b"".join(call_command(number=n, wait_ms=300) for n in range(command_count)))
            await wait_until(lambda: len(harness.open_requests) == MAX_PIPELINED)
            (connection,) = harness.gateway.clients.connections()
            await wait_until(connection.has_unread_bytes)
            replies = [str(await client.next_message()) for _ in range(command_count)]
            assert set(replies) == {"ERR out of time", "BUSY"}
            client.send(PING)
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


def test_incomplete_command_behind_deferred_ones_does_not_time_out() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[leave_open] * (MAX_PIPELINED + 1))
            client = await harness.connect_client()
            last = call_command(number=MAX_PIPELINED)
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED)) + last[:20])
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
            client.send(last[20:])
            await wait_until(lambda: harness.buffers.deferred_bytes > 0)
            (connection,) = harness.gateway.clients.connections()
            now_s = asyncio.get_running_loop().time()
            enforce_timeouts(connection, now_s + 2 * COMMAND_TIMEOUT_S, is_near_limit=False)
            reject_open_request(harness, engine.arrivals[0])
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED + 1)

    run_on_loop(test)
