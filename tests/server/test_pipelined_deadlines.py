"""Deadlines of deferred commands, and of commands that wait in the socket."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from qos_gateway.server.clients.connection_input import MAX_PIPELINED
from qos_gateway.types import Arrival
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import (
    forward_to,
    leave_open,
    only_endpoint,
    reject_open_request,
    script_engine,
)
from tests.support.values import value

CLASS_DEADLINE_S = 2.0
STEP_S = 0.4
STEPS = 3


class AdjustableClock:
    """The event loop's clock with an offset that a test can increase."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self.offset_s = 0.0

    def time(self) -> float:
        return self._loop.time() + self.offset_s


def use_adjustable_clock(harness: GatewayHarness) -> AdjustableClock:
    """Replace the clock of connections that are opened from now on."""
    clock, clients = AdjustableClock(), harness.gateway.clients
    clients.context = replace(clients.context, time=clock.time)
    return clock


def time_left_s(harness: GatewayHarness, arrival: Arrival) -> float:
    return (arrival.deadline - harness.gateway.clock()) / SECOND


def test_deadline_of_a_deferred_command_includes_all_its_waiting_time() -> None:
    """Each reply starts one more command; its waiting time starts at its read, not at the previous reply."""

    async def test() -> None:
        async with gateway_harness() as harness:
            command_count = MAX_PIPELINED + STEPS
            engine = script_engine(harness, *[leave_open] * command_count)
            clock = use_adjustable_clock(harness)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(command_count)))
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
            for step in range(STEPS):
                clock.offset_s += STEP_S
                reject_open_request(harness, engine.arrivals[step])
                count = MAX_PIPELINED + step + 1
                await wait_until(lambda count=count: len(engine.arrivals) == count)  # type: ignore[misc]
                assert time_left_s(harness, engine.arrivals[-1]) <= CLASS_DEADLINE_S - clock.offset_s

    run_on_loop(test)


def test_deadline_of_a_command_received_after_deferred_ones_includes_its_waiting_time() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[leave_open] * (MAX_PIPELINED + 3))
            clock = use_adjustable_clock(harness)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED + 1)))
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
            deferred_bytes = harness.buffers.deferred_bytes
            client.send(call_command(number=MAX_PIPELINED + 1))  # while a command is deferred
            await wait_until(lambda: harness.buffers.deferred_bytes > deferred_bytes)
            clock.offset_s += STEP_S
            for arrival in engine.arrivals[:2]:
                reject_open_request(harness, arrival)
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED + 2)
            assert time_left_s(harness, engine.arrivals[-1]) <= CLASS_DEADLINE_S - clock.offset_s
            reject_open_request(harness, engine.arrivals[2])
            client.send(call_command(number=MAX_PIPELINED + 2))  # not deferred, so it has not waited
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED + 3)
            assert time_left_s(harness, engine.arrivals[-1]) > CLASS_DEADLINE_S - clock.offset_s

    run_on_loop(test)


def test_commands_beyond_the_pipeline_limit_are_read_without_delay() -> None:
    """Bytes that do not fit into the gateway's socket arrive late, and their waiting time is unknown."""

    async def test() -> None:
        async with gateway_harness() as harness:
            waiting_count = 2 * MAX_PIPELINED
            harness.buffers.limit_bytes = 64 << 20
            engine = script_engine(harness, *[leave_open] * (MAX_PIPELINED + waiting_count))
            clock = use_adjustable_clock(harness)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED)))
            await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
            commands = b"".join(
                call_command("submit", number=n, body=b"B" * 50_000)
                for n in range(MAX_PIPELINED, MAX_PIPELINED + waiting_count)
            )
            client.send(commands)
            await wait_until(lambda: harness.buffers.deferred_bytes >= len(commands))
            clock.offset_s += STEP_S
            rejected_count = 0
            while len(engine.arrivals) < MAX_PIPELINED + waiting_count:
                reject_open_request(harness, engine.arrivals[rejected_count])
                rejected_count += 1
                await wait_until(lambda: len(engine.arrivals) >= MAX_PIPELINED + rejected_count)  # noqa: B023
            for arrival in engine.arrivals[MAX_PIPELINED:]:
                assert time_left_s(harness, arrival) <= CLASS_DEADLINE_S - clock.offset_s
            assert harness.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_deadline_includes_the_time_in_the_socket_while_reading_was_paused() -> None:
    """Reading is paused while a large value is streamed."""

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, forward_to(endpoint), leave_open)
            clock = use_adjustable_clock(harness)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            server, _ = await harness.endpoint.next_command()
            reply = success_reply(value(300_000))
            server.send(reply[:150_000])
            await wait_until(lambda: harness.active_streams == 1)
            client.send(call_command(number=2))
            (connection,) = harness.gateway.clients.connections()
            await wait_until(connection.has_unread_bytes)
            clock.offset_s += STEP_S
            server.send(reply[150_000:])
            assert await client.next_message() == value(300_000)
            await wait_until(lambda: len(engine.arrivals) == 2)
            assert time_left_s(harness, engine.arrivals[-1]) <= CLASS_DEADLINE_S - clock.offset_s

    run_on_loop(test)
