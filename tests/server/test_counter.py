"""The quota counter over loopback sockets: what each answer means, and that the module's calls reach it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from qos_gateway.server.config import parse
from qos_gateway.server.counter import connections as counter_connections
from qos_gateway.server.counter.client import CounterClient
from qos_gateway.server.counter.connection import AbandonReason
from qos_gateway.server.counter.connections import CONNECTION_COUNT
from qos_gateway.server.counter.protocol import CounterResponse, encode_increment, parse_increment_response
from qos_gateway.types import CounterReplied, Outcome
from tests.support.clients import call_command
from tests.support.configurations import nested_settings, raw_config
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_counter import FakeCounter
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep a slow machine from failing a test: connections wait far longer for responses."""
    monkeypatch.setattr(counter_connections, "RESPONSE_TIMEOUT_S", 3 * LONG)


TIME_TO_LIVE = 60_000_000_000
LONG = 15.0  # s: a time-out that no test reaches


class Caller:
    """A counter client and the replies it reported."""

    def __init__(self, port: int, timeout: float) -> None:
        self.replies: list[CounterReplied] = []
        self.counter = CounterClient((LOOPBACK, port), timeout, LONG, self.replies.append)

    def ends(self) -> list[tuple[int, Outcome, float]]:
        return [(event.key, event.outcome, event.total) for event in self.replies]

    async def wait_for(self, number: int) -> list[tuple[int, Outcome, float]]:
        await wait_until(lambda: len(self.replies) >= number)
        return self.ends()


@asynccontextmanager
async def calling(timeout: float = LONG) -> AsyncIterator[tuple[Caller, FakeCounter]]:
    fake = FakeCounter()
    async with listening(fake):
        caller = Caller(fake.port, timeout)
        caller.counter.start()
        try:
            yield caller, fake
        finally:
            caller.counter.close()


@pytest.mark.parametrize(
    ("line", "response"),
    [
        (b"ok 12", CounterResponse(Outcome.OK, 12.0)),
        (b"ok -2.5", CounterResponse(Outcome.OK, -2.5)),
        (b"ok 1.5e+04", CounterResponse(Outcome.OK, 15000.0)),
        (b"busy", CounterResponse(Outcome.OVERLOADED, 0.0)),
        (b"error", CounterResponse(Outcome.ERROR, 0.0)),
        (b"ok", None),
        (b"ok nan", None),
        (b"ok 1_0", None),
        (b"pong", None),
        (b"", None),
    ],
)
def test_response_to_an_increment(line: bytes, response: CounterResponse | None) -> None:
    assert parse_increment_response(line) == response


@pytest.mark.parametrize(
    ("key", "amount", "time_to_live", "line"),
    [
        (7, 1.0, 60_000_000_000, b"bump 7 1.000000 60000\r\n"),
        (281474976710655, -2.5, 61_000_000_000, b"bump 281474976710655 -2.500000 60000\r\n"),
        (0, 1e-7, 999_999, b"bump 0 0.000000 1\r\n"),
        (12, 123456789.1234567, 2_999_999, b"bump 12 123456789.123457 2\r\n"),
    ],
)
def test_increment_on_the_wire(key: int, amount: float, time_to_live: int, line: bytes) -> None:
    assert encode_increment(key, amount, time_to_live) == line


def test_calls_of_one_key_are_written_one_behind_another_and_reported_in_order() -> None:
    async def test() -> None:
        async with calling() as (caller, fake):
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            caller.counter.call(7, TIME_TO_LIVE, -2.5)
            first, second = await fake.next_call(), await fake.next_call()
            assert (first.name, first.amount, first.time_to_live) == (b"7", 1.0, 60_000)
            assert (second.name, second.amount) == (b"7", -2.5)
            assert caller.replies == []
            first.answer(b"ok 1")
            second.answer(b"busy")
            assert await caller.wait_for(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OVERLOADED, 0.0)]

    run_on_loop(test)


def test_lost_answer_holds_up_no_other_key_and_its_connection_is_abandoned() -> None:
    async def test() -> None:
        async with calling() as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            await fake.next_call()
            made = caller.counter.time()
            await wait_until(lambda: caller.counter.time() > made)
            caller.counter.call(8, TIME_TO_LIVE, 1.0)
            (await fake.next_call()).answer(b"ok 1")
            assert await caller.wait_for(1) == [(8, Outcome.OK, 1.0)]
            caller.counter._timeout_s = 0.0
            caller.counter._expire()
            assert caller.ends()[1:] == [(7, Outcome.RESET, 0.0)]
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)

    run_on_loop(test)


def test_call_without_an_answer_times_out_and_its_late_answer_is_not_taken_for_the_next() -> None:
    async def test() -> None:
        async with calling(0.05) as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            late = await fake.next_call()
            assert await caller.wait_for(1) == [(7, Outcome.TIMEOUT, 0.0)]
            caller.counter._timeout_s = LONG
            late.answer(b"ok 41")
            caller.counter.call(9, TIME_TO_LIVE, 1.0)
            (await fake.next_call()).answer(b"ok 3")
            assert (await caller.wait_for(2))[1] == (9, Outcome.OK, 3.0)

    run_on_loop(test)


def test_answer_without_a_number_was_added_and_its_connection_is_abandoned() -> None:
    async def test() -> None:
        async with calling() as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            (await fake.next_call()).answer(b"ok many")
            assert await caller.wait_for(2) == [(7, Outcome.RESET, 0.0), (7, Outcome.RESET, 0.0)]
            await fake.next_call()
            caller.counter.call(9, TIME_TO_LIVE, 1.0)
            again = await fake.next_call()
            assert again.name == b"9"
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)
            again.answer(b"ok 1")
            assert (await caller.wait_for(3))[2] == (9, Outcome.OK, 1.0)

    run_on_loop(test)


def test_refused_connection_adds_nothing_and_the_counter_is_found_again() -> None:
    async def test() -> None:
        fake = FakeCounter()
        async with listening(fake):
            pass
        caller = Caller(fake.port, LONG)
        caller.counter.start()
        try:
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            assert await caller.wait_for(1) == [(7, Outcome.CONNECT_FAILED, 0.0)]
            back = FakeCounter(fake.port)
            async with listening(back):
                while not back.connections:
                    await asyncio.sleep(0.01)
                caller.counter.call(8, TIME_TO_LIVE, 1.0)
                (await back.next_call()).answer(b"ok 1")
                assert (await caller.wait_for(2))[1] == (8, Outcome.OK, 1.0)
        finally:
            caller.counter.close()

    run_on_loop(test)


def test_silent_connection_is_given_up_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_connections, "RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with calling(0.05) as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            await fake.next_call()
            assert await caller.wait_for(1) == [(7, Outcome.TIMEOUT, 0.0)]
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)

    run_on_loop(test)


def test_after_a_move_calls_go_to_the_new_address_behind_those_still_out_at_the_old() -> None:
    async def test() -> None:
        async with calling() as (caller, old):
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            first = await old.next_call()
            new = FakeCounter()
            async with listening(new):
                caller.counter.change_address((LOOPBACK, new.port))
                await wait_until(lambda: bool(new.connections))
                await wait_until(lambda: bool(caller.counter._connections._draining))
                caller.counter.call(7, TIME_TO_LIVE, 2.0)
                assert new.calls.empty()
                first.answer(b"ok 1")
                (await new.next_call()).answer(b"ok 3")
                assert await caller.wait_for(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OK, 3.0)]

    run_on_loop(test)


def test_gateway_asks_the_counter_and_goes_by_its_answer() -> None:
    async def test() -> None:
        fake = FakeCounter()
        async with (
            listening(fake),
            gateway_harness(
                counter=f"{LOOPBACK}:{fake.port}",
                familyInfo__counter=True,
                familyInfo__counterTimeout=TIME_TO_LIVE,
                limits__peerMessages=False,
                packages=[{**nested_settings()["packages"][0], "parallel": 5}],
            ) as harness,
        ):
            client = await harness.connect_client()
            client.send(call_command(number=1))
            asked = await fake.next_call()
            assert asked.amount >= 1.0
            assert harness.endpoint.commands.empty()
            asked.answer(b"ok %d" % asked.amount)
            connection, _ = await harness.endpoint.next_command()
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


def test_reply_is_never_reported_within_the_call() -> None:
    async def test() -> None:
        async with calling() as (caller, fake):
            await wait_until(lambda: bool(fake.connections))
            caller.counter.call(7, TIME_TO_LIVE, 1.0)
            assert caller.replies == []
            (await with_timeout(fake.next_call())).answer(b"ok 1")
            await caller.wait_for(1)

    run_on_loop(test)


@pytest.mark.parametrize(
    ("reason", "text"),
    [
        (AbandonReason.INVALID_RESPONSE, f"invalid_response line={b'{x}' + b'y' * 77!r}"),
        (AbandonReason.RESPONSE_MISSING, "response_missing"),
        (AbandonReason.RESPONSE_TIMEOUT, "response_timeout"),
        (AbandonReason.RESPONSE_TOO_LONG, "response_too_long"),
        (AbandonReason.UNSOLICITED_RESPONSE, "unsolicited_response"),
    ],
)
def test_reason_for_abandoning_a_connection_in_the_log(reason: AbandonReason, text: str) -> None:
    assert reason.log_text(b"{x}" + b"y" * 99) == text
