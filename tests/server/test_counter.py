"""The client of the quota counter over loopback sockets: responses, lost connections and address changes."""

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
def long_response_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """Prevent response timeouts on a slow machine from failing a test."""
    monkeypatch.setattr(counter_connections, "RESPONSE_TIMEOUT_S", 3 * UNREACHED_TIMEOUT_S)


TIME_TO_LIVE_NS = 60_000_000_000
UNREACHED_TIMEOUT_S = 15.0  # longer than any test runs


class CounterCaller:
    """A counter client and the replies that it has reported."""

    def __init__(self, port: int, timeout: float) -> None:
        self.replies: list[CounterReplied] = []
        self.counter = CounterClient((LOOPBACK, port), timeout, UNREACHED_TIMEOUT_S, self.replies.append)

    def outcomes(self) -> list[tuple[int, Outcome, float]]:
        return [(event.key, event.outcome, event.total) for event in self.replies]

    async def wait_for(self, number: int) -> list[tuple[int, Outcome, float]]:
        await wait_until(lambda: len(self.replies) >= number)
        return self.outcomes()


@asynccontextmanager
async def counter_caller(
    timeout: float = UNREACHED_TIMEOUT_S,
) -> AsyncIterator[tuple[CounterCaller, FakeCounter]]:
    fake = FakeCounter()
    async with listening(fake):
        caller = CounterCaller(fake.port, timeout)
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
def test_increment_response_is_parsed(line: bytes, response: CounterResponse | None) -> None:
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
def test_increment_is_encoded(key: int, amount: float, time_to_live: int, line: bytes) -> None:
    assert encode_increment(key, amount, time_to_live) == line


def test_calls_of_one_key_are_pipelined_and_completed_in_order() -> None:
    async def test() -> None:
        async with counter_caller() as (caller, fake):
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            caller.counter.call(7, TIME_TO_LIVE_NS, -2.5)
            first, second = await fake.next_call(), await fake.next_call()
            assert (first.name, first.amount, first.time_to_live) == (b"7", 1.0, 60_000)
            assert (second.name, second.amount) == (b"7", -2.5)
            assert caller.replies == []
            first.answer(b"ok 1")
            second.answer(b"busy")
            assert await caller.wait_for(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OVERLOADED, 0.0)]

    run_on_loop(test)


def test_lost_response_delays_no_other_key_and_its_connection_is_abandoned() -> None:
    async def test() -> None:
        async with counter_caller() as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            await fake.next_call()
            called_at_s = caller.counter.time()
            await wait_until(lambda: caller.counter.time() > called_at_s)
            caller.counter.call(8, TIME_TO_LIVE_NS, 1.0)
            (await fake.next_call()).answer(b"ok 1")
            assert await caller.wait_for(1) == [(8, Outcome.OK, 1.0)]
            caller.counter._timeout_s = 0.0
            caller.counter._expire()
            assert caller.outcomes()[1:] == [(7, Outcome.RESET, 0.0)]
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)

    run_on_loop(test)


def test_late_response_of_a_timed_out_call_is_not_matched_with_the_next_call() -> None:
    async def test() -> None:
        async with counter_caller(0.05) as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            late = await fake.next_call()
            assert await caller.wait_for(1) == [(7, Outcome.TIMEOUT, 0.0)]
            caller.counter._timeout_s = UNREACHED_TIMEOUT_S
            late.answer(b"ok 41")
            caller.counter.call(9, TIME_TO_LIVE_NS, 1.0)
            (await fake.next_call()).answer(b"ok 3")
            assert (await caller.wait_for(2))[1] == (9, Outcome.OK, 3.0)

    run_on_loop(test)


def test_connection_with_an_invalid_response_is_abandoned_and_its_calls_are_reset() -> None:
    async def test() -> None:
        async with counter_caller() as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            (await fake.next_call()).answer(b"ok many")
            assert await caller.wait_for(2) == [(7, Outcome.RESET, 0.0), (7, Outcome.RESET, 0.0)]
            await fake.next_call()
            caller.counter.call(9, TIME_TO_LIVE_NS, 1.0)
            third = await fake.next_call()
            assert third.name == b"9"
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)
            third.answer(b"ok 1")
            assert (await caller.wait_for(3))[2] == (9, Outcome.OK, 1.0)

    run_on_loop(test)


def test_refused_connection_fails_the_call_and_the_client_reconnects() -> None:
    async def test() -> None:
        fake = FakeCounter()
        async with listening(fake):
            pass
        caller = CounterCaller(fake.port, UNREACHED_TIMEOUT_S)
        caller.counter.start()
        try:
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            assert await caller.wait_for(1) == [(7, Outcome.CONNECT_FAILED, 0.0)]
            back = FakeCounter(fake.port)
            async with listening(back):
                while not back.connections:
                    await asyncio.sleep(0.01)
                caller.counter.call(8, TIME_TO_LIVE_NS, 1.0)
                (await back.next_call()).answer(b"ok 1")
                assert (await caller.wait_for(2))[1] == (8, Outcome.OK, 1.0)
        finally:
            caller.counter.close()

    run_on_loop(test)


def test_silent_connection_is_given_up_for_a_new_one(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_connections, "RESPONSE_TIMEOUT_S", 0.05)

    async def test() -> None:
        async with counter_caller(0.05) as (caller, fake):
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT)
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            await fake.next_call()
            assert await caller.wait_for(1) == [(7, Outcome.TIMEOUT, 0.0)]
            await wait_until(lambda: len(fake.connections) == CONNECTION_COUNT + 1)

    run_on_loop(test)


def test_calls_after_an_address_change_wait_for_calls_of_the_same_key_in_flight_to_the_old_address() -> None:
    async def test() -> None:
        async with counter_caller() as (caller, old):
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
            first = await old.next_call()
            new = FakeCounter()
            async with listening(new):
                caller.counter.change_address((LOOPBACK, new.port))
                await wait_until(lambda: bool(new.connections))
                await wait_until(lambda: bool(caller.counter._connections._draining))
                caller.counter.call(7, TIME_TO_LIVE_NS, 2.0)
                assert new.calls.empty()
                first.answer(b"ok 1")
                (await new.next_call()).answer(b"ok 3")
                assert await caller.wait_for(2) == [(7, Outcome.OK, 1.0), (7, Outcome.OK, 3.0)]

    run_on_loop(test)


def test_gateway_waits_for_the_counter_response_before_it_forwards_the_request() -> None:
    async def test() -> None:
        fake = FakeCounter()
        async with (
            listening(fake),
            gateway_harness(
                counter=f"{LOOPBACK}:{fake.port}",
                familyInfo__counter=True,
                familyInfo__counterTimeout=TIME_TO_LIVE_NS,
                limits__peerMessages=False,
                packages=[{**nested_settings()["packages"][0], "parallel": 5}],
            ) as harness,
        ):
            client = await harness.connect_client()
            client.send(call_command(number=1))
            counter_call = await fake.next_call()
            assert counter_call.amount >= 1.0
            assert harness.endpoint.commands.empty()
            counter_call.answer(b"ok %d" % counter_call.amount)
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_counter_is_used_only_if_its_address_is_configured() -> None:
    family = {"familyInfo__counter": True, "familyInfo__counterTimeout": 80_000_000}
    with_address = parse({**raw_config(1, None, **family), "counter": "127.0.0.1:6400"}, {})
    assert with_address.settings.has_counter
    assert with_address.counter == ("127.0.0.1", 6400)
    assert with_address.counter_timeout == 80_000_000
    without_address = parse(raw_config(1, None, **family), {})
    assert not without_address.settings.has_counter
    assert without_address.counter is None


def test_reply_is_never_reported_before_the_call_returns() -> None:
    async def test() -> None:
        async with counter_caller() as (caller, fake):
            await wait_until(lambda: bool(fake.connections))
            caller.counter.call(7, TIME_TO_LIVE_NS, 1.0)
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
def test_log_text_of_the_reason_for_abandoning_a_connection(reason: AbandonReason, text: str) -> None:
    assert reason.log_text(b"{x}" + b"y" * 99) == text
