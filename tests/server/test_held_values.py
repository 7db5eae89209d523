"""Large values that are buffered while other commands follow them, and those that are streamed."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from qos_gateway.types import Outcome
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
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
            if has_capacity:
                assert isinstance(await client.next_message(), hiredis.ReplyError)
                client.send(call_command(number=3))
                await harness.endpoint.reply_to_next_command(success_reply(b"w"))
                assert await client.next_message() == b"w"
            else:
                assert await client.next_message() is None  # its first bytes were already streamed
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
