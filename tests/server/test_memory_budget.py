"""The memory budget: who gets memory, who waits for it, and who pays when there is none."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Callable

import hiredis
import pytest

from qos_gateway.server.clients.timeouts import MEMORY_WAIT_TIMEOUT_S
from qos_gateway.server.memory.budget import MemoryBudget, MemoryReservation, Priority
from qos_gateway.server.memory.limits import MARGIN_BYTES, MIN_CAPACITY_BYTES, MemoryLimits
from qos_gateway.server.observability.close_reasons import CloseReason
from qos_gateway.server.observability.memory_uses import MemoryUse
from qos_gateway.types import Outcome, RejectReason
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.resp_connection import Connection
from tests.support.values import value

MEBIBYTE = 1 << 20
LARGE_BODY = b"b" * 60_000


def test_reservations_succeed_up_to_the_fraction_of_their_priority() -> None:
    budget = MemoryBudget(1000, lambda function: function())
    assert budget.reserve(MemoryUse.COMMANDS, 550, Priority.ADDITIONAL)
    assert not budget.reserve(MemoryUse.COMMANDS, 1, Priority.ADDITIONAL)
    assert budget.reserve(MemoryUse.RESPONSES, 250, Priority.FIRST)
    assert not budget.reserve(MemoryUse.RESPONSES, 1, Priority.FIRST)
    assert budget.reserve(MemoryUse.RESPONSES, 200, Priority.SMALL_OF_SERVED_CLIENT)
    assert not budget.reserve(MemoryUse.RESPONSES, 1, Priority.SMALL_OF_SERVED_CLIENT)
    budget.release(MemoryUse.COMMANDS, 550)
    assert budget.data_bytes == 450


def test_state_and_uncounted_memory_reduce_what_is_left_for_data() -> None:
    budget = MemoryBudget(1000, lambda function: function())
    budget.add(MemoryUse.CLIENT_CONNECTIONS, 300)
    budget.set(MemoryUse.UNCOUNTED, 200)
    assert budget.data_capacity_bytes == 500
    budget.set(MemoryUse.UNCOUNTED, 0)
    budget.release(MemoryUse.CLIENT_CONNECTIONS, 300)
    assert budget.data_capacity_bytes == 1000
    assert budget.data_bytes == 0


def test_no_limit_leaves_less_than_the_least_capacity() -> None:
    for limit_bytes in (0, 10 * MEBIBYTE, 27 * MEBIBYTE):
        limits = MemoryLimits(limit_bytes=limit_bytes, at_rest_bytes=27 * MEBIBYTE)
        assert limits.capacity_bytes == MIN_CAPACITY_BYTES
        assert min(limits.max_client_connections, limits.max_customers) > 0
    limits = MemoryLimits(limit_bytes=64 * MEBIBYTE, at_rest_bytes=27 * MEBIBYTE)
    assert limits.capacity_bytes == 37 * MEBIBYTE - MARGIN_BYTES


class Waiter:
    """Waits for memory, and records when it is granted."""

    memory_use = MemoryUse.RESPONSES

    def __init__(self, budget: MemoryBudget, size: int, priority: Priority, granted: list[int]) -> None:
        self._budget = budget
        self._granted = granted
        self.needed_bytes = size
        self.priority = priority

    def grant_memory(self) -> None:
        self._budget.add(self.memory_use, self.needed_bytes)
        self._granted.append(self.needed_bytes)


def waiters(*sizes: tuple[int, Priority]) -> tuple[MemoryBudget, list[Waiter], list[int]]:
    """Return a full budget of 1000 bytes, those that wait for it, and what they are granted."""
    budget = MemoryBudget(1000, lambda function: function())
    budget.add(MemoryUse.COMMANDS, 1000)
    granted: list[int] = []
    made = [Waiter(budget, size, priority, granted) for size, priority in sizes]
    for waiter in made:
        budget.enqueue(waiter)
    return budget, made, granted


def test_memory_is_granted_in_the_order_of_waiting_and_a_large_need_is_not_overtaken() -> None:
    budget, _, granted = waiters((500, Priority.FIRST), (10, Priority.FIRST), (20, Priority.FIRST))
    assert budget.waiting_bytes() == 530
    budget.release(MemoryUse.COMMANDS, 400)
    assert granted == []  # the first one does not fit, and keeps the others from taking its memory
    budget.release(MemoryUse.COMMANDS, 600)
    assert granted == [500, 10, 20]
    assert not budget.is_short


def test_higher_priority_overtakes_a_lower_one_that_does_not_fit() -> None:
    budget, _, granted = waiters((100, Priority.ADDITIONAL), (100, Priority.FIRST))
    budget.release(MemoryUse.COMMANDS, 350)
    assert granted == [100]
    assert budget.waiting_count() == 1


def test_waiter_that_needs_nothing_any_more_holds_up_no_other() -> None:
    budget, (first, _), granted = waiters((700, Priority.FIRST), (100, Priority.FIRST))
    budget.release(MemoryUse.COMMANDS, 400)
    assert granted == []
    budget.discard(first)
    assert granted == [100]


def test_reservation_that_cannot_grow_keeps_its_size() -> None:
    budget = MemoryBudget(1000, lambda function: function())
    reservation = MemoryReservation(budget, MemoryUse.REPLIES)
    assert reservation.resize(700, Priority.FIRST)
    assert not reservation.resize(900, Priority.FIRST)
    assert budget.held[MemoryUse.REPLIES] == reservation.size_bytes == 700
    reservation.release()
    assert budget.data_bytes == 0


MEASURE = """
from qos_gateway.server.memory.process_memory import ProcessMemory
memory = ProcessMemory()
before = memory.resident_bytes()
block = b"x" * (8 << 20)
assert memory.resident_bytes() - before >= 7 << 20
del block
pieces = [bytes(5000) for _ in range(2000)]
del pieces
memory.return_free_memory()
assert memory.resident_bytes() - before <= 1 << 20
memory.close()
"""


def test_measured_memory_follows_what_the_process_holds() -> None:
    subprocess.run([sys.executable, "-c", MEASURE], check=True)


# On a gateway.


def leave_bytes(harness: GatewayHarness, size: int) -> Callable[[], None]:
    """Leave only so much of the memory for data; return a function that frees the remainder."""
    budget = harness.gateway.memory
    taken = budget.data_capacity_bytes * Priority.COMMAND // 100 - size - budget.data_bytes
    budget.add(MemoryUse.REPLIES, taken)
    return lambda: budget.release(MemoryUse.REPLIES, taken)


def nothing_is_held(harness: GatewayHarness) -> bool:
    budget = harness.gateway.memory
    return not budget.data_bytes and not budget.is_short


async def closed_for_memory(harness: GatewayHarness) -> None:
    closes = harness.gateway.observability.metrics.client_closes
    await wait_until(lambda: closes[CloseReason.MEMORY] == 1)


def test_large_command_waits_for_memory_while_others_are_served() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            free = leave_bytes(harness, 30_000)
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command("charge", number=1, body=LARGE_BODY))
            await wait_until(lambda: harness.gateway.memory.is_short)
            other.send(call_command(number=2))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await other.next_message() == b"v"
            assert harness.endpoint.commands.empty()
            free()
            words = await harness.endpoint.reply_to_next_command(success_reply(b"w"))
            assert words[-1] == LARGE_BODY
            assert await client.next_message() == b"w"
            await wait_until(lambda: nothing_is_held(harness))

    run_on_loop(test)


def test_large_command_that_gets_no_memory_is_rejected_and_its_connection_serves_on() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            free = leave_bytes(harness, 30_000)
            client = await harness.connect_client()
            started_at = asyncio.get_running_loop().time()
            client.send(PING + call_command("charge", number=1, body=LARGE_BODY) + PING)
            assert await client.next_message() == b"PONG"
            assert str(await client.next_message()) == "BUSY"
            assert asyncio.get_running_loop().time() - started_at < 3 * MEMORY_WAIT_TIMEOUT_S
            assert await client.next_message() == b"PONG"
            assert harness.endpoint.commands.empty()
            free()
            assert nothing_is_held(harness)
            client.send(call_command("charge", number=2, body=LARGE_BODY))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert not harness.gateway.observability.invariants.violations

    run_on_loop(test)


def test_incomplete_command_is_rejected_when_another_one_needs_its_memory() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            free = leave_bytes(harness, 100_000)
            idle, client = await harness.connect_client(), await harness.connect_client()
            command = call_command("charge", number=1, body=LARGE_BODY)
            idle.send(command[:30_000])
            await wait_until(lambda: harness.gateway.memory.held[MemoryUse.COMMANDS] > 60_000)
            client.send(call_command("charge", number=2, body=LARGE_BODY))
            words = await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert int(words[2], 16) == 2
            assert await client.next_message() == b"v"
            idle.send(command[30_000:] + PING)
            assert str(await idle.next_message()) == "BUSY"
            assert await idle.next_message() == b"PONG"
            assert harness.endpoint.commands.empty()
            free()
            await wait_until(lambda: nothing_is_held(harness))

    run_on_loop(test)


def test_client_that_reads_no_reply_is_closed_when_another_one_needs_its_memory() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            idle, client = await harness.connect_client(), await harness.connect_client()
            idle.writer.transport.pause_reading()  # type: ignore[attr-defined]
            number = 0
            while not blocked_clients(harness):
                number += 1
                idle.send(call_command(number=number))
                await harness.endpoint.reply_to_next_command(success_reply(value(60_000)))
                await wait_until(lambda: not harness.open_requests)
            free = leave_bytes(harness, 10_000)
            client.send(call_command("charge", number=1 << 20, body=LARGE_BODY))
            await closed_for_memory(harness)
            free()
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"
            await wait_until(lambda: nothing_is_held(harness))

    run_on_loop(test)


def blocked_clients(harness: GatewayHarness) -> int:
    return sum(client.blocked for client in harness.gateway.clients.connections())


async def waiting_response(harness: GatewayHarness, client: Connection, command: bytes) -> Callable[[], None]:
    """Have the response to a command wait for memory; return a function that frees some."""
    client.send(command)
    connection, _ = await harness.endpoint.next_command()
    free = leave_bytes(harness, -100_000_000)
    connection.send(success_reply(value(50_000)))
    return free


@pytest.mark.parametrize(("cls", "reply"), [("look up", "BUSY"), ("charge", "ERR")])
def test_response_waits_for_memory_and_its_endpoint_is_not_at_fault(cls: str, reply: str) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            body = None if cls == "look up" else b"b"
            free = await waiting_response(harness, client, call_command(cls, number=1, body=body))
            await wait_until(lambda: harness.gateway.memory.is_short)
            free()
            assert await client.next_message() == value(50_000)
            command = call_command(cls, number=2, wait_ms=300, body=body)
            free = await waiting_response(harness, client, command)
            assert str(await client.next_message()).startswith(reply)
            assert not harness.gateway.observability.invariants.violations
            outcomes = harness.gateway.observability.activity.attempt_outcomes
            assert (outcomes[Outcome.CANCELLED], outcomes[Outcome.TIMEOUT]) == (1, 0)
            free()
            await wait_until(lambda: nothing_is_held(harness))

    run_on_loop(test)


@pytest.mark.parametrize(("cls", "reply"), [("look up", "BUSY"), ("charge", "ERR failed")])
def test_response_that_may_not_wait_ends_its_request_at_once(
    cls: str, reply: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MemoryBudget, "may_wait_for_response", lambda _: False)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            body = None if cls == "look up" else b"b"
            free = await waiting_response(harness, client, call_command(cls, number=1, body=body))
            answer = await client.next_message()
            assert isinstance(answer, hiredis.ReplyError)
            assert str(answer) == reply
            free()
            await wait_until(lambda: nothing_is_held(harness))
            client.send(call_command(number=2))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_request_without_memory_is_rejected_and_counted() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            free = leave_bytes(harness, -100_000_000)
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "BUSY"
            metrics = harness.gateway.observability.metrics
            assert metrics.rejections[RejectReason.MEMORY_LIMIT] == 1
            free()
            client.send(call_command(number=2))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_client_that_leaves_while_it_waits_holds_nothing() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client, other = await harness.connect_client(), await harness.connect_client()
            free = leave_bytes(harness, 30_000)
            client.send(call_command("charge", number=1, body=LARGE_BODY))
            await wait_until(lambda: harness.gateway.memory.is_short)
            client.abort()
            await wait_until(lambda: not harness.gateway.memory.is_short)
            free()
            assert nothing_is_held(harness)
            other.send(PING)
            assert await other.next_message() == b"PONG"

    run_on_loop(test)
