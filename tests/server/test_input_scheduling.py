"""Clients that send many commands at once do not keep the gateway from its other connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from qos_gateway.server.clients.command_reader import CommandReader
from qos_gateway.server.clients.connection_input import MAX_PIPELINED
from qos_gateway.server.clients.input_scheduler import SLICE_TIME_S, TURN_TIME_S, InputScheduler
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.resp_connection import Connection
from tests.support.scripted_engine import leave_open, script_engine

COMMAND_TIME_S = SLICE_TIME_S / 4  # of each command, on the clock of the test
MAX_COMMANDS_PER_TURN = (TURN_TIME_S + SLICE_TIME_S) / COMMAND_TIME_S
UNKNOWN = b"*1\r\n$4\r\nNEWS\r\n"
INVALID_REQUEST = b"*4\r\n$8\r\nCALL.GET\r\n$1\r\n1\r\n$1\r\n2\r\n$3\r\nc=x\r\n"
FLOOD_COMMANDS = 20_000


class CountedTurns:
    """Counts the commands that are executed in each turn of the event loop, on a clock of its own."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._loop = asyncio.get_running_loop()
        self.turn = 0
        self.commands_by_turn: dict[int, int] = {}
        self._time_s = self._loop.time()
        next_command = CommandReader.next_command

        def counted(reader: CommandReader, data: bytes, start: int) -> list[bytes] | None:
            arguments = next_command(reader, data, start)
            if arguments is not None:
                self.commands_by_turn[self.turn] = self.commands_by_turn.get(self.turn, 0) + 1
                self._time_s += COMMAND_TIME_S
            return arguments

        monkeypatch.setattr(CommandReader, "next_command", counted)
        self._next_turn()

    def time(self) -> float:
        return self._time_s

    def _next_turn(self) -> None:
        self.turn += 1
        self._loop.call_soon(self._next_turn)


def count_turns(harness: GatewayHarness, monkeypatch: pytest.MonkeyPatch) -> CountedTurns:
    """Count from now on; clients that connect from now on are on the clock of the test."""
    turns = CountedTurns(monkeypatch)
    clients = harness.gateway.clients
    clients.context = replace(clients.context, time=turns.time)
    return turns


async def read_all(client: Connection) -> None:
    while await client.reader.read(1 << 20):
        pass


@pytest.mark.parametrize("command", [UNKNOWN, PING, INVALID_REQUEST], ids=["unknown", "ping", "invalid"])
@pytest.mark.parametrize("peers", [1, 20])
def test_flood_of_commands_is_executed_over_many_turns_and_other_clients_are_answered(
    command: bytes, peers: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All commands of one read ran in one turn: nobody else was read or answered for seconds."""

    async def test() -> None:
        async with gateway_harness() as harness:
            turns = count_turns(harness, monkeypatch)
            flooding = [await harness.connect_client() for _ in range(peers)]
            other = await harness.connect_client()
            for client in flooding:
                client.send(command * (FLOOD_COMMANDS // peers))
            reading = [asyncio.ensure_future(read_all(client)) for client in flooding]
            await wait_until(lambda: sum(turns.commands_by_turn.values()) > FLOOD_COMMANDS // 10)
            other.send(PING)
            assert await other.next_message() == b"PONG"
            executed_before_ping = sum(turns.commands_by_turn.values())
            assert executed_before_ping < FLOOD_COMMANDS // 2
            await wait_until(lambda: sum(turns.commands_by_turn.values()) == FLOOD_COMMANDS + 1)
            assert max(turns.commands_by_turn.values()) <= MAX_COMMANDS_PER_TURN
            for task in reading:
                task.cancel()

    run_on_loop(test)


@pytest.mark.parametrize("command", [UNKNOWN, call_command(number=1 << 20)], ids=["unknown", "request"])
def test_flood_behind_open_requests_is_rejected_over_many_turns(
    command: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Commands over the limit of deferred input were all rejected in the turn in which they were read."""

    async def test() -> None:
        async with gateway_harness() as harness:
            turns = count_turns(harness, monkeypatch)
            harness.buffers.limit_bytes = 0
            script_engine(harness, *[leave_open] * MAX_PIPELINED)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED)))
            await wait_until(lambda: len(harness.open_requests) == MAX_PIPELINED)
            client.send(command * 900)
            await wait_until(lambda: sum(turns.commands_by_turn.values()) == MAX_PIPELINED + 900)
            assert max(turns.commands_by_turn.values()) <= MAX_COMMANDS_PER_TURN
            assert harness.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_input_that_only_waits_for_its_turn_is_never_rejected_and_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            turns = count_turns(harness, monkeypatch)
            harness.buffers.limit_bytes = 1 << 20
            client = await harness.connect_client()
            client.send(UNKNOWN * FLOOD_COMMANDS * 10)
            reading = asyncio.ensure_future(read_all(client))
            most_bytes = 0
            while sum(turns.commands_by_turn.values()) < FLOOD_COMMANDS * 5:
                await asyncio.sleep(0)
                most_bytes = max(most_bytes, harness.buffers.deferred_bytes)
            assert 0 < most_bytes <= (1 << 20) / 8
            reading.cancel()

    run_on_loop(test)


class RecordingConnection:
    """Runs for one slice each time, and goes on until its commands are executed."""

    def __init__(
        self,
        scheduler: InputScheduler,
        name: str,
        slices: int,
        order: list[str],
        was_served: bool = False,
    ) -> None:
        self.was_served = was_served
        self._scheduler = scheduler
        self._name = name
        self._slices = slices
        self._order = order

    def resume_input(self) -> None:
        self._order.append(self._name)
        self._scheduler.record(SLICE_TIME_S)
        self._slices -= 1
        if self._slices:
            self._scheduler.add(self, has_used_slice=True)


def test_clients_take_turns_and_one_that_has_just_begun_to_wait_comes_first() -> None:
    scheduled: list[Callable[[], None]] = []
    scheduler = InputScheduler(scheduled.append)  # type: ignore[arg-type]
    order: list[str] = []
    for name in "ab":
        scheduler.add(RecordingConnection(scheduler, name, 6, order), has_used_slice=False)
    assert len(scheduled) == 1
    scheduled.pop()()
    assert "".join(order) == "ababa"
    assert not scheduler.has_time()
    scheduler.add(RecordingConnection(scheduler, "c", 1, order), has_used_slice=False)
    while scheduled:
        scheduled.pop()()
    assert "".join(order) == "ababacbababab"


def test_clients_that_were_served_before_come_before_new_ones() -> None:
    scheduled: list[Callable[[], None]] = []
    scheduler = InputScheduler(scheduled.append)  # type: ignore[arg-type]
    order: list[str] = []
    for name in "abc":
        scheduler.add(RecordingConnection(scheduler, name, 2, order), has_used_slice=False)
    scheduler.add(RecordingConnection(scheduler, "d", 1, order, was_served=True), has_used_slice=False)
    while scheduled:
        scheduled.pop()()
    assert "".join(order) == "dabcabc"
