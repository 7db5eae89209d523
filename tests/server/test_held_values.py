"""Large values that are held, as other commands wait behind them, and those that flow."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from qos_gateway.types import Outcome
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.resp_connection import Connection
from tests.support.values import value


async def forwarded(harness: GatewayHarness, number: int) -> dict[int, Connection]:
    """Wait until so many requests are forwarded; return the endpoint's connection of each, by its number."""
    connections = {}
    for _ in range(number):
        connection, words = await harness.endpoint.next_command()
        connections[int(words[2], 16)] = connection
    return connections


@pytest.mark.parametrize("room", [True, False])
def test_held_value_that_stalls_fails_in_time_and_its_connection_serves_on(room: bool) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            if not room:
                harness.gateway.clients.context.buffers.limit_bytes = 10_000
            client = await harness.connect_client()
            client.send(call_command(number=1, wait_ms=5000) + call_command(number=2, wait_ms=300))
            held = await forwarded(harness, 2)
            held[2].send(success_reply(value(100_000))[:80_000])
            await asyncio.sleep(0.8)
            held[1].send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            if room:
                assert isinstance(await client.next_message(), hiredis.ReplyError)
                client.send(call_command(number=3))
                connection, _ = await harness.endpoint.next_command()
                connection.send(success_reply(b"w"))
                assert await client.next_message() == b"w"
            else:
                assert await client.next_message() is None  # it had begun to flow
            await wait_until(lambda: not harness.gateway.requests._requests)
            assert harness.gateway.clients.context.buffers.held_bytes == 0

    run_on_loop(test)


@pytest.mark.parametrize("order", ["large first", "large last", "half a command behind"])
def test_value_that_breaks_off_costs_no_other_request_of_its_connection_the_answer(order: str) -> None:
    """Nothing can follow a value that was passed on in part, so it is held while others wait behind it."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            behind = call_command(number=2)
            first_part = behind[:30] if order == "half a command behind" else behind
            client.send(call_command(number=1) + first_part)
            held = await forwarded(harness, 1 if order == "half a command behind" else 2)
            large, small = (2, 1) if order == "large last" else (1, 2)
            held[large].send(success_reply(value(100_000))[:80_000])
            await wait_until(
                lambda: any(r.streaming_attempt for r in harness.gateway.requests._requests.values())
            )
            await asyncio.sleep(0.02)
            if order == "half a command behind":
                client.send(behind[30:])
                connection, _ = await harness.endpoint.next_command()
                held[2] = connection
            held[large].abort()
            await wait_until(
                lambda: harness.gateway.observability.activity.attempt_outcomes[Outcome.RESET] == 1
            )
            held[small].send(success_reply(b"small"))
            answers = [await client.next_message(), await client.next_message()]
            if order == "large last":
                answers.reverse()
            assert isinstance(answers[0], hiredis.ReplyError)
            assert answers[1] == b"small"
            assert harness.gateway.clients.context.buffers.held_bytes == 0

    run_on_loop(test)


def test_command_behind_a_value_in_flow_is_taken_only_after_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            answer = success_reply(value(100_000))
            connection.send(answer[:80_000])
            head = await with_timeout(client.reader.readexactly(1000))
            client.send(call_command(number=2))
            await asyncio.sleep(0.05)
            assert harness.endpoint.commands.empty()
            connection.send(answer[80_000:])
            rest = await with_timeout(client.reader.readexactly(100_011 - 1000))
            assert head + rest == b"$100000\r\n" + value(100_000) + b"\r\n"
            connection, words = await harness.endpoint.next_command()
            assert int(words[2], 16) == 2
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_values_that_are_held_are_bounded_and_flow_where_there_is_no_room() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.context.buffers.limit_bytes = 150_000
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            held = await forwarded(harness, 2)
            held[1].send(success_reply(value(1 << 20)))
            held[2].send(success_reply(b"v"))
            assert await client.next_message() == value(1 << 20)
            assert await client.next_message() == b"v"
            assert harness.gateway.clients.context.buffers.held_bytes == 0

    run_on_loop(test)
