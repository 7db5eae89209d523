"""Connections of clients: limits, time-outs, protocol errors, pipelining."""

from __future__ import annotations

import asyncio

import hiredis
import pytest

from qos_gateway.server.clients import connection_input as client_input
from qos_gateway.server.clients import timeouts as client_timeouts
from qos_gateway.types import (
    Action,
    Arrival,
    ClientDisconnected,
    Reject,
    RejectReason,
    Send,
)
from tests.support.clients import CUSTOMER, call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import only_endpoint, script_engine

MS, SECOND = 1_000_000, 1_000_000_000


def test_stopping_gateway_closes_a_busy_connection_with_its_answer() -> None:
    """A periodic check would hardly ever find a busy client between two requests."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            harness.gateway.clients.context.drain.closes_idle = True
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]

    run_on_loop(test)


def test_idle_clients_are_evicted_for_those_beyond_the_limit() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda _a: [])
            harness.gateway.clients.max_connections = 3
            busy = await harness.connect_client()
            busy.send(call_command())
            await wait_until(lambda: busy_requests(harness) == 1)
            resting = [await harness.connect_client() for _ in range(5)]
            assert [await client.next_message() for client in resting[:3]] == [None] * 3
            for client in resting[3:]:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next_message() == b"PONG"
            assert harness.gateway.clients.connection_count() == 3
            assert busy_requests(harness) == 1

    run_on_loop(test)


def busy_requests(harness: GatewayHarness) -> int:
    return len(harness.gateway.dispatcher.engine.events_of(Arrival))  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("words", "reason"),
    [
        ((b"CALL.GET", CUSTOMER, b"1"), "wrong number of arguments"),
        ((b"CALL.GET", b"zz", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", b"0000000200000000", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", CUSTOMER, b"", b"c=look up,t=team,d=5"), "bad request id"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=none,t=team,d=5"), "unknown class"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=none,d=5"), "unknown plan"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=charge,t=team,d=5"), "the class is not served by this command"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5"), "k missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team"), "d missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=-5"), "bad or missing d"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,d=6"), "a name stands twice"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,units=nan,spread=1,first=0"), "bad units"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=9,first=0"), "bad or missing spread"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=2"), "bad or missing first"),
        *[
            ((b"CALL.GET", customer, b"1", b"c=look up,t=team,d=5"), "bad customer")
            for customer in (
                b"0x000000b4d65521",
                b"+0000000b4d65521",
                b"00000000b4d6_521",
                b" 0000000b4d65521",
                b"b4d65521",
            )
        ],
        *[
            ((b"CALL.GET", CUSTOMER, id_, b"c=look up,t=team,d=5"), "bad request id")
            for id_ in (b"a b", b"\xff", b"c=look", b"x" * 65)
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=0,units=" + units),
                "bad units",
            )
            for units in (b"", b"0", b"-1", b"+1", b"1_0", b" 1", b"1e0", b"inf", b"2", b"9" * 11, b"0x1")
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,units=1,spread=1,first=0,d=" + d),
                "bad or missing d",
            )
            for d in (b"", b"1.5", b"+5", b"5_0", b"soon", b"99999999999999", "\u0665".encode())
        ],
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,odd"), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b""), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5", b"BODY"), "takes no value"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5,k=a b"), "k missing"),
        ((b"FLUSHALL",), "unknown command"),
    ],
)
def test_invalid_command_gets_a_plain_reason_and_the_connection_stays(
    words: tuple[bytes, ...], reason: str
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(hiredis.pack_command(words))  # type: ignore[arg-type]
            answer = await client.next_message()
            assert isinstance(answer, hiredis.ReplyError)
            assert reason in str(answer)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


@pytest.mark.parametrize("behind", [b"", call_command()])
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n:5\r\n",
        b"*x\r\n",
        b"$4\r\nPING\r\n",
        b"*1000000\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*" + b"1" * 4096,
        b"x" * 4096,
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3\r\nPING\r\n",
        b"*+1\r\n",
        b"*1\r\n$-9223372036854775808\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n_\r\n",
        b"PING\r\n",
        b"*2\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$65536\r\n",
        b"*2\r\n$4\r\nPING\r\n$60000000\r\n" + b"x" * 300_000,
    ],
)
def test_protocol_error_is_answered_and_closes_only_its_connection(data: bytes, behind: bytes) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda a: [Reject(a.request_id, 0)])
            other, client = await harness.connect_client(), await harness.connect_client()
            # Behind another command, and with its header in two pieces.
            client.send(behind + data[:2])
            await asyncio.sleep(0)
            client.send(data[2:])
            if behind:
                assert str(await client.next_message()) == "BUSY"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None
            other.send(b"*1\r\n$4\r\nPING\r\n")
            assert await other.next_message() == b"PONG"

    run_on_loop(test)


def test_close_with_bytes_unread_takes_no_answer_along() -> None:
    """Half-close: the client may go on sending for a while, and reads all its replies."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?" + b"x" * 200_000)
            connection, _ = await harness.endpoint.next_command()
            value = b"v" * 60_000
            connection.send(success_reply(value))
            await wait_until(lambda: harness.gateway.endpoint_connections.idle_count() == 1)
            for _ in range(20):
                client.send(b"x" * 10_000)
                await asyncio.sleep(0)
            assert await client.next_message() == value
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


@pytest.mark.parametrize(
    "data", [b"", b"*", b"*4\r\n$8\r\nCALL.GET\r\n", b"*1\r\n$60000\r\n" + b"x" * 59_000]
)
def test_client_that_sends_nothing_or_half_a_command_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert client_timeouts.COMMAND_TIMEOUT_S + client_timeouts.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client_timeouts, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(data)
            if data:
                assert "without end" in str(await client.next_message())
            assert await client.next_message() is None
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_client_that_does_not_read_is_closed_and_its_commands_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    assert client_timeouts.WRITE_STALL_TIMEOUT_S + client_timeouts.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "WRITE_STALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_timeouts, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            request_count = 600  # some 40 MB of replies, far over the sockets' buffers
            engine = script_engine(harness, *[lambda a: [Send(a.request_id, endpoint, 0)]] * request_count)

            async def answer() -> None:
                while True:
                    connection, _ = await harness.endpoint.commands.get()
                    connection.send(success_reply(b"v" * 65_000))

            answering = asyncio.create_task(answer())
            client = await harness.connect_client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(b"".join(call_command(number=number) for number in range(request_count)))
            await wait_until(
                lambda: bool(engine.events_of(Arrival)) and harness.gateway.clients.connection_count() == 0
            )
            answering.cancel()
            assert len(engine.events_of(Arrival)) < request_count
            assert harness.gateway.clients.context.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_commands_beyond_the_pipeline_wait_unread_and_are_all_answered_in_order() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            number = 3 * client_input.MAX_PIPELINED
            arrived: list[int] = []

            def hold(a: Arrival) -> list[Action]:
                arrived.append(a.request_id)
                return []

            script_engine(harness, *[hold] * number)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(number)))
            await wait_until(lambda: len(arrived) == client_input.MAX_PIPELINED)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            while len(arrived) < number:
                assert len(harness.gateway.requests._requests) <= client_input.MAX_PIPELINED
                before = len(arrived)
                harness.gateway.executor.execute(
                    Reject(arrived[before - 1], 7 * MS)
                )  # out of order: the last of them first
                for request in arrived[before - client_input.MAX_PIPELINED : before - 1]:
                    harness.gateway.executor.execute(Reject(request, 7 * MS))
                await wait_until(lambda before=before: len(arrived) > before)  # type: ignore[misc]
            for request in arrived[-client_input.MAX_PIPELINED :]:
                harness.gateway.executor.execute(Reject(request, 7 * MS))
            assert {str(await client.next_message()) for _ in range(number)} == {"BUSY 7"}
            assert await client.next_message() == b"PONG"
            assert harness.gateway.clients.context.buffers.deferred_bytes == 0

    run_on_loop(test)


def test_commands_that_wait_unread_are_bounded_over_all_clients_and_each_is_answered() -> None:
    """What was read is owed an answer: a connection closed under it would lose its requests."""

    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.context.buffers.limit_bytes = 10_000
            most = client_input.MAX_PIPELINED
            script_engine(harness, *[lambda _a: []] * (most + 1))
            client = await harness.connect_client()
            requests = harness.gateway.requests._requests
            client.send(b"".join(call_command(number=n, wait_ms=2000) for n in range(300)))
            await wait_until(lambda: len(requests) == most)
            client.send(call_command(number=300, wait_ms=2000))  # not read before there is room again
            answers = [str(await client.next_message()) for _ in range(300)]
            assert set(answers[:most]) == {"ERR out of time"}
            assert set(answers[most:]) == {"BUSY"}
            await wait_until(lambda: len(requests) == 1)
            assert harness.gateway.clients.context.buffers.deferred_bytes == 0
            assert harness.gateway.observability.metrics.rejections[RejectReason.LOAD_LIMIT] == 300 - most
            assert not harness.gateway.observability.invariants.violations
            assert str(await client.next_message()) == "ERR out of time"

    run_on_loop(test)


def test_protocol_error_behind_commands_without_room_is_answered_after_them() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.context.buffers.limit_bytes = 0
            most = client_input.MAX_PIPELINED
            script_engine(harness, *[lambda _a: []] * most)
            client = await harness.connect_client()
            commands = [call_command(number=n, wait_ms=60) for n in range(most + 2)]
            client.send(b"".join(commands) + b"PING\r\n")
            answers = [str(await client.next_message()) for _ in range(most + 3)]
            assert set(answers[:most]) == {"ERR out of time"}
            assert answers[most : most + 2] == ["BUSY", "BUSY"]
            assert "Protocol error" in answers[-1]
            assert await client.next_message() is None

    run_on_loop(test)


def test_id_of_an_open_request_is_rejected() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[lambda _a: []] * 3)
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=5))
            await wait_until(lambda: busy_requests(harness) == 1)
            other.send(call_command(number=5))
            assert "open" in str(await other.next_message())
            assert busy_requests(harness) == 1
            client.abort()
            await wait_until(lambda: len(engine.events_of(ClientDisconnected)) == 1)
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"

    run_on_loop(test)


def test_idle_clients_are_closed_early_only_where_connections_are_scarce(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_timeouts, "SCARCE_IDLE_TIMEOUT_S", 0.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            idle_clients = [await harness.connect_client() for _ in range(4)]
            for client in idle_clients:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next_message() == b"PONG"
            harness.gateway.clients.max_connections = 6
            harness.gateway.clients.timeout_checker.check()
            await asyncio.sleep(0)
            assert harness.gateway.clients.connection_count() == 4
            harness.gateway.clients.max_connections = 5
            harness.gateway.clients.timeout_checker.check()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_new_connection_is_closed_where_none_is_idle() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.max_connections = 2
            script_engine(harness, *[lambda _a: []] * 2)
            busy = [await harness.connect_client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(call_command(number=number))
            await wait_until(lambda: busy_requests(harness) == 2)
            assert await (await harness.connect_client()).next_message() is None
            assert harness.gateway.clients.connection_count() == 2

    run_on_loop(test)


def test_protocol_error_behind_a_request_does_not_lose_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?\r\n")
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


def test_command_in_pieces_is_read_whole() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda a: [Reject(a.request_id, 0)])
            client = await harness.connect_client()
            data = call_command("charge", body=b"y" * 2000)
            for at in range(0, len(data), 700):
                client.send(data[at : at + 700])
                await with_timeout(client.writer.drain())
                await asyncio.sleep(0)
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)
