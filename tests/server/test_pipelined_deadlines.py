"""Deadlines of commands that wait unread behind others on their connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from qos_gateway.server.clients import connection_input as client_input
from qos_gateway.server.clients.socket_protocol import has_unread_bytes
from qos_gateway.types import Action, Arrival, Reject
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import script_engine

CLASS_DEADLINE_S = 2.0
STEP_S = 0.4
STEPS = 3


def holding(arrived: list[Arrival]) -> Callable[[Arrival], list[Action]]:
    """Return what an engine does that answers no request, and notes each in a list."""

    def hold(arrival: Arrival) -> list[Action]:
        arrived.append(arrival)
        return []

    return hold


def set_clock(harness: GatewayHarness, time: Callable[[], float]) -> None:
    """Set the clock of the client side; a connection keeps the one that it was opened with."""
    clients = harness.gateway.clients
    clients.context = replace(clients.context, time=time)


def test_command_behind_others_keeps_all_the_time_that_it_waited() -> None:
    """Each reply lets one more command in; those that wait on have waited all the while."""

    async def test() -> None:
        async with gateway_harness() as harness:
            arrived: list[Arrival] = []
            hold = holding(arrived)
            number = client_input.MAX_PIPELINED + STEPS
            script_engine(harness, *[hold] * number)
            loop = asyncio.get_running_loop()
            passed_s = 0.0
            set_clock(harness, lambda: loop.time() + passed_s)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(number)))
            await wait_until(lambda: len(arrived) == client_input.MAX_PIPELINED)
            for step in range(STEPS):
                passed_s += STEP_S
                harness.gateway.executor.execute(Reject(arrived[step].request_id, 0))
                wanted = client_input.MAX_PIPELINED + step + 1
                await wait_until(lambda wanted=wanted: len(arrived) == wanted)  # type: ignore[misc]
                time_left_s = (arrived[-1].deadline - harness.gateway.clock()) / SECOND
                assert time_left_s <= CLASS_DEADLINE_S - passed_s

    run_on_loop(test)


def test_bytes_that_lay_in_the_socket_while_reading_was_paused_have_waited_as_long() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            arrived: list[Arrival] = []
            hold = holding(arrived)
            most = client_input.MAX_PIPELINED
            script_engine(harness, *[hold] * (most + 3))
            loop = asyncio.get_running_loop()
            passed_s = 0.0
            set_clock(harness, lambda: loop.time() + passed_s)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(most + 1)))
            await wait_until(lambda: len(arrived) == most)
            client.send(call_command(number=most + 1))  # while the one before it waits, and nothing is read
            connection = harness.gateway.clients.connections()[0]
            await wait_until(lambda: has_unread_bytes(connection._transport))
            passed_s += STEP_S
            for request in arrived[:2]:
                harness.gateway.executor.execute(Reject(request.request_id, 0))
            await wait_until(lambda: len(arrived) == most + 2)
            assert (arrived[-1].deadline - harness.gateway.clock()) / SECOND <= CLASS_DEADLINE_S - passed_s
            harness.gateway.executor.execute(Reject(arrived[2].request_id, 0))
            client.send(call_command(number=most + 2))  # read as it comes: its time is whole
            await wait_until(lambda: len(arrived) == most + 3)
            time_left_s = (arrived[-1].deadline - harness.gateway.clock()) / SECOND
            assert time_left_s > CLASS_DEADLINE_S - passed_s

    run_on_loop(test)


def test_bytes_that_the_socket_had_no_room_for_have_waited_as_long() -> None:
    """They lie with the client's system, and come once reading goes on."""

    async def test() -> None:
        async with gateway_harness() as harness:
            arrived: list[Arrival] = []
            hold = holding(arrived)
            most = client_input.MAX_PIPELINED
            behind = 2 * most
            script_engine(harness, *[hold] * (most + behind))
            loop = asyncio.get_running_loop()
            passed_s = 0.0
            set_clock(harness, lambda: loop.time() + passed_s)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(most)))
            await wait_until(lambda: len(arrived) == most)
            (connection,) = harness.gateway.clients.connections()
            client.send(
                b"".join(
                    call_command("submit", number=n, body=b"B" * 50_000) for n in range(most, most + behind)
                )
            )
            await wait_until(lambda: has_unread_bytes(connection._transport))
            await asyncio.sleep(0.05)
            passed_s += STEP_S
            answered = 0
            while len(arrived) < most + behind:
                harness.gateway.executor.execute(Reject(arrived[answered].request_id, 0))
                answered += 1
                await wait_until(lambda: len(arrived) >= most + answered)  # noqa: B023
            for arrival in arrived[most:]:
                time_left_s = (arrival.deadline - harness.gateway.clock()) / SECOND
                assert time_left_s <= CLASS_DEADLINE_S - passed_s

    run_on_loop(test)
