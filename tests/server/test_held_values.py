"""Large values that are buffered while other commands follow them, and those that are streamed."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from qos_gateway.server.clients.buffer_budgets import BufferBudget
from qos_gateway.server.endpoints import response_receiver
from qos_gateway.server.memory.budget import MemoryBudget
from qos_gateway.server.networking.resp import MAX_VALUE_BYTES
from qos_gateway.types import Outcome
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.resp_connection import Connection
from tests.support.values import value


@pytest.mark.parametrize("has_capacity", [True, False])
def test_buffered_value_that_stalls_fails_by_its_deadline_and_its_connection_is_reused(
    has_capacity: bool,
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            if not has_capacity:
                harness.buffers.limit_bytes = 10_000
            client = await harness.connect_client()
            client.send(call_command(number=1, wait_ms=5000) + call_command(number=2, wait_ms=300))
            connections = await harness.endpoint.next_requests(2)
            connections[2].send(success_reply(value(100_000))[:80_000])
            await asyncio.sleep(0.8)
            connections[1].send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert isinstance(await client.next_message(), hiredis.ReplyError)
            client.send(call_command(number=3))
            await harness.endpoint.reply_to_next_command(success_reply(b"w"))
            assert await client.next_message() == b"w"
            await wait_until(lambda: not harness.open_requests)
            assert harness.buffers.buffered_bytes == 0

    run_on_loop(test)


@pytest.mark.parametrize("order", ["large first", "large last", "partial command last"])
def test_incomplete_value_loses_no_reply_to_another_request_of_its_connection(order: str) -> None:
    """No reply can follow a partly written value, so a value is buffered while commands follow it."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            second_command = call_command(number=2)
            first_part = second_command[:30] if order == "partial command last" else second_command
            client.send(call_command(number=1) + first_part)
            connections = await harness.endpoint.next_requests(1 if order == "partial command last" else 2)
            large, small = (2, 1) if order == "large last" else (1, 2)
            connections[large].send(success_reply(value(100_000))[:80_000])
            await wait_until(lambda: any(r.streaming_attempt for r in harness.open_requests.values()))
            await asyncio.sleep(0.02)
            if order == "partial command last":
                client.send(second_command[30:])
                connections |= await harness.endpoint.next_requests(1)
            connections[large].abort()
            await wait_until(
                lambda: harness.gateway.observability.activity.attempt_outcomes[Outcome.RESET] == 1
            )
            connections[small].send(success_reply(b"small"))
            replies = [await client.next_message(), await client.next_message()]
            if order == "large last":
                replies.reverse()
            assert isinstance(replies[0], hiredis.ReplyError)
            assert replies[1] == b"small"
            assert harness.buffers.buffered_bytes == 0

    run_on_loop(test)


def test_command_behind_a_streamed_value_is_forwarded_only_after_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1))
            reply = success_reply(value(100_000))
            connection = await harness.endpoint.start_reply_to_next_command(reply[:80_000])
            head = await with_timeout(client.reader.readexactly(1000))
            client.send(call_command(number=2))
            await asyncio.sleep(0.05)
            assert harness.endpoint.commands.empty()
            connection.send(reply[80_000:])
            rest = await with_timeout(client.reader.readexactly(100_011 - 1000))
            assert head + rest == b"$100000\r\n" + value(100_000) + b"\r\n"
            arguments = await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert int(arguments[2], 16) == 2
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_buffered_values_are_limited_and_streamed_beyond_the_limit() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 150_000
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            connections = await harness.endpoint.next_requests(2)
            connections[1].send(success_reply(value(1 << 20)))
            connections[2].send(success_reply(b"v"))
            assert await client.next_message() == value(1 << 20)
            assert await client.next_message() == b"v"
            assert harness.buffers.buffered_bytes == 0

    run_on_loop(test)


VALUES_BEHIND = 4


async def break_off(how: str, connection: Connection) -> None:
    """End a response in the middle of its value; a stall or the client's deadline needs nothing more."""
    if how == "reset":
        connection.abort()
    elif how == "malformed":
        connection.send(b"x" * MAX_VALUE_BYTES)


def values_in_progress(harness: GatewayHarness) -> int:
    return sum(request.streaming_attempt is not None for request in harness.open_requests.values())


def violations(harness: GatewayHarness) -> int:
    return sum(harness.gateway.observability.invariants.violations.values())


@pytest.mark.parametrize("how", ["reset", "malformed", "stall", "deadline"])
@pytest.mark.parametrize("limit_bytes", [10 << 20, MAX_VALUE_BYTES, 10_000])
def test_first_value_that_breaks_off_loses_no_reply_where_others_have_used_the_memory(
    how: str, limit_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Values behind it had used the memory, so the first value was streamed and took all others with it."""
    if how == "stall":
        monkeypatch.setattr(response_receiver, "LARGE_RESPONSE_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = limit_bytes
            client = await harness.connect_client()
            wait_ms = 600 if how == "deadline" else 5000
            numbers = range(2, 2 + VALUES_BEHIND + 1)
            commands = [call_command(number=1, wait_ms=wait_ms), *(call_command(number=n) for n in numbers)]
            client.send(b"".join(commands))
            connections = await harness.endpoint.next_requests(len(commands))
            for number in numbers[:-1]:
                connections[number].send(success_reply(value(MAX_VALUE_BYTES - number)))
            connections[numbers[-1]].send(success_reply(b"small"))
            await wait_until(lambda: harness.request_results()[0] >= 1)
            connections[1].send(success_reply(value(MAX_VALUE_BYTES))[: MAX_VALUE_BYTES // 2])
            await asyncio.sleep(0.1)
            await break_off(how, connections[1])
            assert isinstance(await client.next_message(), hiredis.ReplyError)
            for number in numbers[:-1]:
                assert await client.next_message() == value(MAX_VALUE_BYTES - number)
            assert await client.next_message() == b"small"
            client.send(call_command(number=9))
            await harness.endpoint.reply_to_next_command(success_reply(b"next"))
            assert await client.next_message() == b"next"
            assert harness.buffers.buffered_bytes == 0
            assert violations(harness) == 0

    run_on_loop(test)


@pytest.mark.parametrize("has_room_in_time", [True, False])
def test_first_value_waits_for_the_memory_that_another_client_uses_and_fails_at_its_deadline(
    has_room_in_time: bool,
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 1 << 20
            client, other = await harness.connect_client(), await harness.connect_client()
            reply = success_reply(value(1 << 20))
            other.send(call_command(number=1) + call_command(number=2))
            connections = await harness.endpoint.next_requests(2)
            connections[1].send(reply[: 1 << 19])
            await wait_until(lambda: harness.buffers.buffered_bytes > 0)
            client.send(call_command(number=3, wait_ms=5000 if has_room_in_time else 400))
            client.send(call_command(number=4))
            connections |= await harness.endpoint.next_requests(2)
            connections[3].send(reply)
            connections[4].send(success_reply(b"behind"))
            await asyncio.sleep(0.1)
            assert harness.active_streams == 0
            if not has_room_in_time:
                assert isinstance(await client.next_message(), hiredis.ReplyError)
                assert await client.next_message() == b"behind"
            connections[1].send(reply[1 << 19 :])
            connections[2].send(success_reply(b"v"))
            assert [await other.next_message(), await other.next_message()] == [value(1 << 20), b"v"]
            if has_room_in_time:
                assert [await client.next_message(), await client.next_message()] == [
                    value(1 << 20),
                    b"behind",
                ]
            await wait_until(lambda: not harness.open_requests)
            assert harness.buffers.buffered_bytes == 0
            assert violations(harness) == 0

    run_on_loop(test)


def test_client_that_leaves_passes_on_its_memory_and_its_place() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.buffers.limit_bytes = 1 << 20
            reply = success_reply(value(1 << 20))
            clients: list[Connection] = []
            for number in (1, 3, 5):
                client = await harness.connect_client()
                client.send(call_command(number=number) + call_command(number=number + 1))
                connections = await harness.endpoint.next_requests(2)
                connections[number].send(reply if number == 5 else reply[: 1 << 19])
                connections[number + 1].send(success_reply(b"behind"))
                clients.append(client)
                await wait_until(lambda: len(clients) == values_in_progress(harness))
            clients[1].abort()
            clients[0].abort()
            assert await clients[2].next_message() == value(1 << 20)
            assert await clients[2].next_message() == b"behind"
            await wait_until(lambda: not harness.open_requests)
            assert harness.buffers.buffered_bytes == 0

    run_on_loop(test)


class RecordingValue:
    def __init__(self, length: int, granted: list[int]) -> None:
        self.length = length
        self._granted = granted

    def buffer(self) -> None:
        self._granted.append(self.length)


def test_memory_for_values_is_passed_on_in_order_and_kept_free_for_first_replies() -> None:
    buffers = BufferBudget(MemoryBudget(128 << 20, lambda function: function()))
    limit_bytes = buffers.limit_bytes
    assert buffers.reserve(limit_bytes - MAX_VALUE_BYTES)
    assert not buffers.reserve(1)
    assert buffers.reserve_first(MAX_VALUE_BYTES)
    assert not buffers.reserve_first(1)
    granted: list[int] = []
    left = RecordingValue(3, granted)
    for queued in (RecordingValue(1000, granted), left, RecordingValue(10, granted)):
        buffers.enqueue(queued)
    buffers.discard(left)
    buffers.release_buffered(100)
    assert granted == []
    assert not buffers.reserve_first(1)
    buffers.release_buffered(MAX_VALUE_BYTES)
    assert granted == [1000, 10]
    assert buffers.buffered_bytes == limit_bytes - 100 + 1010 - MAX_VALUE_BYTES
    buffers.release_buffered(buffers.buffered_bytes)
    assert buffers.reserve_first(2 * limit_bytes), "one value is buffered whatever the limit"
