"""Streaming of large values: content, order and backpressure."""

from __future__ import annotations

import asyncio
import socket

import pytest

from qos_gateway.server.networking.read_size import READ_BUFFER_BYTES
from qos_gateway.server.networking.resp import (
    MAX_BUFFERED_VALUE_BYTES,
    MAX_VALUE_BYTES,
    FrameError,
    ResponseFrames,
)
from qos_gateway.types import AttemptEnded, ClientDisconnected, Outcome, ResponseStarted, Send
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.resp_connection import Connection
from tests.support.scripted_engine import only_endpoint, pass_deadline, script_engine
from tests.support.values import value


@pytest.mark.parametrize(
    "size", [MAX_BUFFERED_VALUE_BYTES, MAX_BUFFERED_VALUE_BYTES + 1, 300_000, MAX_VALUE_BYTES]
)
@pytest.mark.parametrize("piece", [4099, 1 << 20])
def test_value_of_any_size_is_forwarded_unchanged_and_connections_are_reused(size: int, piece: int) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            for number in range(2):
                client.send(call_command(number=number))
                connection, _ = await harness.endpoint.next_command()
                reply = success_reply(value(size))
                for at in range(0, len(reply), piece):
                    connection.send(reply[at : at + piece])
                    await with_timeout(connection.writer.drain())
                assert await client.next_message() == value(size)
            client.send(call_command(number=2) + call_command(number=3))
            for number, connection in (await harness.endpoint.next_requests(2)).items():
                connection.send(success_reply(b"small %d" % number))
            assert [await client.next_message(), await client.next_message()] == [b"small 2", b"small 3"]
            assert harness.endpoint.closed_connections == 0
            assert harness.request_results() == [4, 0, 0]
            assert harness.active_streams == 0
            assert not harness.open_requests
            assert not harness.gateway.dispatcher.engine.request_table.in_flight

    run_on_loop(test)


def test_large_value_is_streamed_before_it_is_complete_and_past_the_clients_deadline() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, endpoint, SECOND // 50)])
            client = await harness.connect_client()
            client.send(call_command())
            reply = success_reply(value(200_000))
            connection = await harness.endpoint.start_reply_to_next_command(reply[:100_000])
            assert (await with_timeout(client.reader.readexactly(9_000)))[:9] == b"$200000\r\n"
            (started,) = engine.events_of(ResponseStarted)
            assert started.endpoint == endpoint
            assert started.attempt == 0
            pass_deadline(harness, engine)
            await asyncio.sleep(0.05)  # longer than the attempt's timeout
            connection.send(reply[100_000:])
            rest = await with_timeout(client.reader.readexactly(200_011 - 9_000))
            assert rest == (b"$200000\r\n" + value(200_000) + b"\r\n")[9_000:]
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            (end,) = engine.events_of(AttemptEnded)
            assert end.outcome is Outcome.OK
            assert end.request_finished
            assert end.load_report == (0.5, 3.0)
            assert end.elapsed == started.elapsed
            assert not engine.events_of(ClientDisconnected)

    run_on_loop(test)


def test_slow_client_applies_backpressure_to_the_endpoint_and_no_byte_is_lost() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 10)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (LOOPBACK, harness.gateway.clients.port))
            await loop.sock_sendall(sock, call_command(wait_ms=60_000))
            whole = value(MAX_VALUE_BYTES)
            await harness.endpoint.reply_to_next_command(success_reply(whole))
            (client,) = harness.gateway.clients._connections
            await wait_until(lambda: client.blocked)
            transport = client._transport
            assert transport is not None
            max_unsent_bytes = READ_BUFFER_BYTES
            received = bytearray()
            while len(received) < len(whole) + 12:
                assert transport.get_write_buffer_size() <= max_unsent_bytes
                received += await with_timeout(loop.sock_recv(sock, 1 << 16))
            assert received == b"$%d\r\n%b\r\n" % (len(whole), whole)
            sock.close()

    run_on_loop(test)


def test_large_value_behind_another_response_waits_for_its_turn() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            connections = await harness.endpoint.next_requests(2)
            connections[2].send(success_reply(value(1 << 20)))
            await wait_until(lambda: harness.buffers.buffered_bytes > 0)
            connections[1].send(success_reply(b"first"))
            assert await client.next_message() == b"first"
            assert await client.next_message() == value(1 << 20)

    run_on_loop(test)


def test_only_one_of_two_large_values_for_a_request_is_streamed() -> None:
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
            reply = success_reply(value(100_000))
            first.send(reply[:90_000])
            await wait_until(lambda: bool(engine.events_of(ResponseStarted)))
            second.send(reply)
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            assert engine.events_of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            first.send(reply[90_000:])
            assert await client.next_message() == value(100_000)
            assert len(engine.events_of(ResponseStarted)) == 1

    run_on_loop(test)


def test_frames_report_where_a_large_value_begins() -> None:
    frames, reply = ResponseFrames(), success_reply(value(70_000))
    head = reply.index(b"\r\n", 5) + 2
    assert frames.scan(reply[: head - 3], 0) == -1
    assert not frames.large_value_bytes
    assert frames.scan(reply[head - 3 : 5000], 0) == -1
    assert (frames.large_value_bytes, frames.large_value_start) == (70_000, 3)
    with pytest.raises(FrameError):
        ResponseFrames().scan(b"*3\r\n$%d\r\n" % (MAX_VALUE_BYTES + 1), 0)


@pytest.mark.parametrize("commands", [1, 2], ids=["streamed", "buffered"])
def test_small_value_of_another_attempt_does_not_mix_with_the_large_one(commands: int) -> None:
    """It was written into the middle of the large value, and its client took it for a part of that."""

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness,
                lambda a: [Send(a.request_id, endpoint, 0), Send(a.request_id, endpoint, 0)],
                lambda a: [Send(a.request_id, endpoint, 0)],
            )
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(1, commands + 1)))
            attempts: dict[int, list[Connection]] = {1: [], 2: []}
            for _ in range(1 + commands):
                connection, words = await harness.endpoint.next_command()
                attempts[int(words[2], 16)].append(connection)
            first, second = attempts[1]
            reply = success_reply(value(100_000))
            first.send(reply[:90_000])
            await wait_until(lambda: bool(engine.events_of(ResponseStarted)))
            second.send(success_reply(b"small"))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            first.send(reply[90_000:])
            assert await client.next_message() == value(100_000)
            for connection in attempts[2]:
                connection.send(success_reply(b"v"))
                assert await client.next_message() == b"v"
            await wait_until(lambda: not harness.open_requests)
            assert harness.buffers.buffered_bytes == 0
            assert harness.active_streams == 0

    run_on_loop(test)
