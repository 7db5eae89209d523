"""The quota counter over loopback sockets: what each answer means, and that the module's calls reach it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from qos_gateway.server import counter
from qos_gateway.server.config import parse
from qos_gateway.server.counter import CounterClient, read_answer
from qos_gateway.types import CounterReplied, Outcome
from tests.support.servers import (
    LOOPBACK,
    FakeCounter,
    call_command,
    gateway_harness,
    listening,
    nested_settings,
    raw_config,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """No verdict hangs on how soon this machine answers."""
    monkeypatch.setattr(counter, "RESPONSE_TIMEOUT_S", 3 * LONG)


LIFE = 60_000_000_000
LONG = 15.0  # s: a time-out that no test reaches


class Caller:
    """A counter client and what it was told."""

    def __init__(self, port: int, timeout: float) -> None:
        self.told: list[CounterReplied] = []
        self.counter = CounterClient((LOOPBACK, port), timeout, LONG, self.told.append)

    def ends(self) -> list[tuple[int, Outcome, float]]:
        return [(event.key, event.outcome, event.total) for event in self.told]

    async def have(self, number: int) -> list[tuple[int, Outcome, float]]:
        await wait_until(lambda: len(self.told) >= number)
        return self.ends()


@asynccontextmanager
async def calling(timeout: float = LONG) -> AsyncIterator[tuple[Caller, FakeCounter]]:
    tally = FakeCounter()
    async with listening(tally):
        caller = Caller(tally.port, timeout)
        caller.counter.start()
        try:
            yield caller, tally
        finally:
            caller.counter.close()


@pytest.mark.parametrize(
    ("line", "read"),
    [
        (b"ok 12", (Outcome.OK, 12.0)),
        (b"ok -2.5", (Outcome.OK, -2.5)),
        (b"ok 1.5e+04", (Outcome.OK, 15000.0)),
        (b"busy", (Outcome.OVERLOADED, 0.0)),
        (b"error", (Outcome.ERROR, 0.0)),
        (b"ok", None),
        (b"ok nan", None),
        (b"ok 1_0", None),
        (b"pong", None),
        (b"", None),
    ],
)
def test_answers(line: bytes, read: tuple[Outcome, float] | None) -> None:
    assert read_answer(line) == read


def test_calls_of_one_name_are_written_one_behind_another_and_told_in_order() -> None:
    async def test() -> None:
        async with calling() as (caller, tally):
            caller.counter.call(7, LIFE, 1.0)
            caller.counter.call(7, LIFE, -2.5)
            first, second = await tally.next_call(), await tally.next_call()
            assert (first.name, first.amount, first.time_to_live) == (b"7", 1.0, 60_000)
            assert (second.name, second.amount) == (b"7", -2.5)
            assert caller.told == []
            first.answer(b"ok 1")
            second.answer(b"busy")
            assert await caller.have(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OVERLOADED, 0.0)]

    run_on_loop(test)


def test_lost_answer_holds_up_no_other_name_and_its_connection_is_given_up() -> None:
    async def test() -> None:
        async with calling() as (caller, tally):
            await wait_until(lambda: len(tally.connections) == counter.CONNECTIONS)
            caller.counter.call(7, LIFE, 1.0)
            await tally.next_call()
            made = caller.counter.time()
            await wait_until(lambda: caller.counter.time() > made)
            caller.counter.call(8, LIFE, 1.0)
            (await tally.next_call()).answer(b"ok 1")
            assert await caller.have(1) == [(8, Outcome.OK, 1.0)]
            caller.counter._timeout = 0.0
            caller.counter._expire()
            assert caller.ends()[1:] == [(7, Outcome.RESET, 0.0)]
            await wait_until(lambda: len(tally.connections) == counter.CONNECTIONS + 1)

    run_on_loop(test)


def test_call_without_an_answer_times_out_and_its_late_answer_is_not_taken_for_the_next() -> None:
    async def test() -> None:
        async with calling(0.05) as (caller, tally):
            caller.counter.call(7, LIFE, 1.0)
            late = await tally.next_call()
            assert await caller.have(1) == [(7, Outcome.TIMEOUT, 0.0)]
            caller.counter._timeout = LONG
            late.answer(b"ok 41")
            caller.counter.call(9, LIFE, 1.0)
            (await tally.next_call()).answer(b"ok 3")
            assert (await caller.have(2))[1] == (9, Outcome.OK, 3.0)

    run_on_loop(test)


def test_answer_without_a_number_was_added_and_its_connection_is_left() -> None:
    async def test() -> None:
        async with calling() as (caller, tally):
            await wait_until(lambda: len(tally.connections) == counter.CONNECTIONS)
            caller.counter.call(7, LIFE, 1.0)
            caller.counter.call(7, LIFE, 1.0)
            (await tally.next_call()).answer(b"ok many")
            assert await caller.have(2) == [(7, Outcome.RESET, 0.0), (7, Outcome.RESET, 0.0)]
            await tally.next_call()
            caller.counter.call(9, LIFE, 1.0)
            again = await tally.next_call()
            assert again.name == b"9"
            await wait_until(lambda: len(tally.connections) == counter.CONNECTIONS + 1)
            again.answer(b"ok 1")
            assert (await caller.have(3))[2] == (9, Outcome.OK, 1.0)

    run_on_loop(test)


def test_refused_connection_adds_nothing_and_the_counter_is_found_again() -> None:
    async def test() -> None:
        tally = FakeCounter()
        async with listening(tally):
            pass
        caller = Caller(tally.port, LONG)
        caller.counter.start()
        try:
            caller.counter.call(7, LIFE, 1.0)
            assert await caller.have(1) == [(7, Outcome.CONNECT_FAILED, 0.0)]
            back = FakeCounter(tally.port)
            async with listening(back):
                while not back.connections:
                    await asyncio.sleep(0.01)
                caller.counter.call(8, LIFE, 1.0)
                (await back.next_call()).answer(b"ok 1")
                assert (await caller.have(2))[1] == (8, Outcome.OK, 1.0)
        finally:
            caller.counter.close()

    run_on_loop(test)


def test_silent_connection_is_given_up_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter, "RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with calling(0.05) as (caller, tally):
            caller.counter.call(7, LIFE, 1.0)
            await tally.next_call()
            assert await caller.have(1) == [(7, Outcome.TIMEOUT, 0.0)]
            await wait_until(lambda: len(tally.connections) == counter.CONNECTIONS + 1)

    run_on_loop(test)


def test_after_a_move_calls_go_to_the_new_address_behind_those_still_out_at_the_old() -> None:
    async def test() -> None:
        async with calling() as (caller, old):
            caller.counter.call(7, LIFE, 1.0)
            first = await old.next_call()
            new = FakeCounter()
            async with listening(new):
                caller.counter.change_address((LOOPBACK, new.port))
                await wait_until(lambda: bool(new.connections))
                await wait_until(lambda: bool(caller.counter._draining_connections))
                caller.counter.call(7, LIFE, 2.0)
                assert new.calls.empty()
                first.answer(b"ok 1")
                (await new.next_call()).answer(b"ok 3")
                assert await caller.have(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OK, 3.0)]

    run_on_loop(test)


def test_gateway_asks_the_counter_and_goes_by_its_answer() -> None:
    async def test() -> None:
        tally = FakeCounter()
        async with (
            listening(tally),
            gateway_harness(
                counter=f"{LOOPBACK}:{tally.port}",
                familyInfo__counter=True,
                familyInfo__counterTimeout=LIFE,
                limits__peerMessages=False,
                packages=[{**nested_settings()["packages"][0], "parallel": 5}],
            ) as harness,
        ):
            client = await harness.connect_client()
            client.send(call_command(number=1))
            asked = await tally.next_call()
            assert asked.amount >= 1.0
            assert harness.backend.commands.empty()
            asked.answer(b"ok %d" % asked.amount)
            connection, _ = await harness.backend.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_settings_follow_whether_there_is_a_counter_to_call() -> None:
    family = {"familyInfo__counter": True, "familyInfo__counterTimeout": 80_000_000}
    named = parse({**raw_config(1, None, **family), "counter": "127.0.0.1:6400"}, {})
    assert named.settings.has_counter
    assert named.counter == ("127.0.0.1", 6400)
    assert named.counter_timeout == 80_000_000
    unnamed = parse(raw_config(1, None, **family), {})
    assert not unnamed.settings.has_counter
    assert unnamed.counter is None


def test_told_word_is_never_given_within_the_call() -> None:
    async def test() -> None:
        async with calling() as (caller, tally):
            await wait_until(lambda: bool(tally.connections))
            caller.counter.call(7, LIFE, 1.0)
            assert caller.told == []
            (await with_timeout(tally.next_call())).answer(b"ok 1")
            await caller.have(1)

    run_on_loop(test)
