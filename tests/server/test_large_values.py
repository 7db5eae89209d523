"""Large values and slow peers: what passes through as it comes, and what a break looks like."""

from __future__ import annotations

import asyncio
import socket

import pytest

from qos_gateway.server.clients import timeouts
from qos_gateway.server.endpoints import connection as endpoint_connection
from qos_gateway.server.endpoints import response_deadline, response_receiver
from qos_gateway.server.networking.resp import (
    MAX_BUFFERED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    FrameError,
    ResponseFrames,
)
from qos_gateway.types import AttemptEnded, ClientDisconnected, Outcome, ResponseStarted, Send
from tests.support.builders import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import only_endpoint, pass_deadline, script_engine
from tests.support.values import value


def figures(harness: GatewayHarness) -> tuple[int, int, int]:
    return tuple(harness.gateway.observability.metrics.requests[0].values())  # type: ignore[return-value]


@pytest.mark.parametrize(
    "size", [MAX_BUFFERED_VALUE_BYTES, MAX_BUFFERED_VALUE_BYTES + 1, 300_000, MAX_VALUE_BYTES]
)
@pytest.mark.parametrize("piece", [4099, 1 << 20])
def test_value_of_any_size_passes_unchanged_and_the_connections_serve_on(size: int, piece: int) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            for number in range(2):
                client.send(call_command(number=number))
                connection, _ = await harness.endpoint.next_command()
                answer = success_reply(value(size))
                for at in range(0, len(answer), piece):
                    connection.send(answer[at : at + piece])
                    await with_timeout(connection.writer.drain())
                assert await client.next_message() == value(size)
            client.send(call_command(number=2) + call_command(number=3))
            for _ in range(2):  # on a connection each, so either may come first
                connection, words = await harness.endpoint.next_command()
                connection.send(success_reply(b"small %d" % int(words[2], 16)))
            assert [await client.next_message(), await client.next_message()] == [b"small 2", b"small 3"]
            assert harness.endpoint.closed_connections == 0
            assert figures(harness) == (4, 0, 0)
            assert harness.gateway.clients.context.streams.active_streams == 0
            assert not harness.gateway.requests._requests
            assert not harness.gateway.dispatcher.engine.request_table.in_flight

    run_on_loop(test)


def test_large_value_goes_out_before_its_last_byte_has_come_and_outlasts_the_clients_time() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, endpoint, SECOND // 50)])
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            answer = success_reply(value(200_000))
            connection.send(answer[:100_000])
            assert (await with_timeout(client.reader.readexactly(9_000)))[:9] == b"$200000\r\n"
            (begun,) = engine.events_of(ResponseStarted)
            assert begun.endpoint == endpoint
            assert begun.attempt == 0
            pass_deadline(harness, engine)
            await asyncio.sleep(0.05)  # the attempt's own time-out is over by then, too
            connection.send(answer[100_000:])
            rest = await with_timeout(client.reader.readexactly(200_011 - 9_000))
            assert rest == (b"$200000\r\n" + value(200_000) + b"\r\n")[9_000:]
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            (end,) = engine.events_of(AttemptEnded)
            assert end.outcome is Outcome.OK
            assert end.request_finished
            assert end.load_report == (0.5, 3.0)
            assert end.elapsed == begun.elapsed
            assert not engine.events_of(ClientDisconnected)

    run_on_loop(test)


def test_value_that_stalls_past_the_clients_time_ends_within_half_a_second_of_it() -> None:
    """Later than that the request counts as lost; nothing more may come of an order server that hangs."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(wait_ms=300))
            sent_at = asyncio.get_running_loop().time()
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(value(100_000))[:80_000])
            assert len(await with_timeout(client.reader.read(1 << 20)))
            while await with_timeout(client.reader.read(1 << 20)):
                pass
            assert (
                asyncio.get_running_loop().time() - sent_at
                < response_receiver.LARGE_RESPONSE_STALL_TIMEOUT_S / 2
            )
            await wait_until(lambda: not harness.gateway.requests._requests)
            assert harness.gateway.clients.context.streams.active_streams == 0

    run_on_loop(test)


def test_value_that_trickles_past_the_clients_time_ends_all_the_same() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(wait_ms=300))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(value(100_000))[:50_000])
            end = asyncio.ensure_future(client.reader.read())
            for _ in range(1000):
                connection.send(b"x")
                if end.done():
                    break
                await asyncio.sleep(0.02)
            assert len(await with_timeout(end)) < 60_000

    run_on_loop(test)


def test_value_in_flow_ends_before_a_stopping_process_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_deadline, "MAX_OVERTIME_S", 10.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            deadlines = harness.gateway.deadlines
            client = await harness.connect_client()
            client.send(call_command(wait_ms=200))
            connection, _ = await harness.endpoint.next_command()
            deadlines.latest_deadline = deadlines.clock() + SECOND * 4 // 10
            connection.send(success_reply(value(100_000))[:50_000])
            end = asyncio.ensure_future(client.reader.read())
            for _ in range(1000):
                connection.send(b"x")
                if end.done():
                    break
                await asyncio.sleep(0.02)
            await with_timeout(end)
            late = deadlines.clock() - deadlines.latest_deadline
            assert 0 < late < response_deadline.MAX_OVERTIME_S * SECOND // 2

    run_on_loop(test)


@pytest.mark.parametrize("how", ["break", "malformed", "stall"])
def test_value_that_breaks_off_ends_its_clients_connection_without_a_second_attempt(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.02)
    monkeypatch.setattr(response_receiver, "LARGE_RESPONSE_STALL_TIMEOUT_S", 0.1)

    async def test() -> None:
        async with gateway_harness() as harness:
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(value(100_000))[:80_000])
            await with_timeout(client.reader.readexactly(1000))
            if how == "break":
                connection.abort()
            elif how == "malformed":
                connection.send(b"x" * 40_000)
            assert (
                len(await with_timeout(client.reader.read())) < 100_011 - 1000
            )  # told by the end of the connection
            assert harness.endpoint.commands.empty()
            assert figures(harness) == (0, 0, 1)
            other.send(call_command(number=2))
            again, _ = await harness.endpoint.next_command()
            again.send(success_reply(b"v"))
            assert await other.next_message() == b"v"
            assert harness.gateway.clients.context.streams.active_streams == 0
            assert not harness.gateway.dispatcher.engine.request_table.in_flight

    run_on_loop(test)


def test_order_server_is_read_no_faster_than_the_client_takes_it_and_nothing_is_lost() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 10)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (LOOPBACK, harness.gateway.clients.port))
            await loop.sock_sendall(sock, call_command(wait_ms=60_000))
            connection, _ = await harness.endpoint.next_command()
            whole = value(MAX_VALUE_BYTES)
            connection.send(success_reply(whole))
            (client,) = harness.gateway.clients._connections
            await wait_until(lambda: client.blocked)
            transport = client._transport
            assert transport is not None
            most = (
                harness.gateway.clients.context.buffers.write_buffer_bytes
                + 4 * endpoint_connection.RECEIVE_BUFFER_BYTES
            )
            got = bytearray()
            while len(got) < len(whole) + 12:
                assert transport.get_write_buffer_size() <= most
                got += await with_timeout(loop.sock_recv(sock, 1 << 16))
            assert got == b"$%d\r\n%b\r\n" % (len(whole), whole)
            sock.close()

    run_on_loop(test)


def test_client_that_leaves_in_the_middle_of_a_value_frees_the_order_server() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(value(1 << 20))[:500_000])
            await with_timeout(client.reader.readexactly(1000))
            client.abort()
            await wait_until(
                lambda: harness.endpoint.closed_connections == 1 and not harness.gateway.requests._requests
            )
            assert harness.gateway.clients.context.streams.active_streams == 0
            assert not harness.gateway.dispatcher.engine.request_table.in_flight
            assert figures(harness) == (0, 0, 0)

    run_on_loop(test)


def test_large_value_behind_another_response_waits_for_its_turn() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            held = {}
            for _ in range(2):
                connection, words = await harness.endpoint.next_command()
                held[words[2]] = connection
            held[b"%016x" % 2].send(success_reply(value(1 << 20)))
            await wait_until(
                lambda: harness.gateway.clients.context.buffers.held_bytes > 0  # it may be held whole by then
            )
            held[b"%016x" % 1].send(success_reply(b"first"))
            assert await client.next_message() == b"first"
            assert await client.next_message() == value(1 << 20)

    run_on_loop(test)


def test_of_two_large_values_for_one_request_only_one_is_passed_on() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness, lambda a: [Send(a.request_id, endpoint, 0), Send(a.request_id, endpoint, 0)]
            )
            client = await harness.connect_client()
            client.send(call_command())
            first, _ = await harness.endpoint.next_command()
            second, _ = await harness.endpoint.next_command()
            answer = success_reply(value(100_000))
            first.send(answer[:90_000])
            await wait_until(lambda: bool(engine.events_of(ResponseStarted)))
            second.send(answer)
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            assert engine.events_of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            first.send(answer[90_000:])
            assert await client.next_message() == value(100_000)
            assert len(engine.events_of(ResponseStarted)) == 1

    run_on_loop(test)


def test_response_that_still_comes_is_not_cut_off_however_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 60.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            answer, last_data_at = success_reply(b"v" * 30), 0.0
            for at in range(0, len(answer) - 9, 9):
                connection.send(answer[at : at + 9])
                (pooled,) = harness.gateway.endpoint_connections._pools[only_endpoint(harness)].connections
                deadline = pooled.deadline
                await wait_until(lambda deadline=deadline: deadline.last_data_at > 0.0)  # type: ignore[misc]
                last_data_at = deadline.last_data_at
                deadline.last_data_at = last_data_at - 59.0  # a piece a minute, as it were
                pooled._check_deadline()
                assert pooled.timer is not None
                assert pooled.attempt is not None
                deadline.last_data_at = 0.0
            deadline.last_data_at = last_data_at - 61.0
            pooled._check_deadline()
            assert harness.gateway.observability.activity.attempt_outcomes[Outcome.RESET] == 1

    run_on_loop(test)


def test_client_may_spend_two_seconds_on_a_head() -> None:
    assert timeouts.COMMAND_TIMEOUT_S > 2.0
    assert timeouts.COMMAND_TIMEOUT_S + timeouts.CHECK_INTERVAL_S < 3.0


def test_frames_tell_where_a_large_value_begins() -> None:
    frames, answer = ResponseFrames(), success_reply(value(70_000))
    head = answer.index(b"\r\n", 5) + 2
    assert frames.scan(answer[: head - 3], 0) == -1
    assert not frames.large_value_bytes
    assert frames.scan(answer[head - 3 : 5000], 0) == -1
    assert (frames.large_value_bytes, frames.large_value_start) == (70_000, 3)
    with pytest.raises(FrameError):
        ResponseFrames().scan(b"*3\r\n$%d\r\n" % (MAX_VALUE_BYTES + 1), 0)
