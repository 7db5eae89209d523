"""Requests that waited before they were read: their deadlines start when the clients sent them."""

from __future__ import annotations

import asyncio
import socket
import time
from concurrent.futures import ThreadPoolExecutor
from typing import cast

import pytest

from qos_gateway.server.clients import loop_stalls
from qos_gateway.server.clients.connection import ClientConnection
from qos_gateway.server.clients.connection_input import MAX_PIPELINED
from qos_gateway.server.clients.loop_stalls import LoopStallDetector
from qos_gateway.server.clients.receive_times import ReceiveTimes, estimate_receive_times
from qos_gateway.server.clients.socket_protocol import SocketAges, socket_ages
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import leave_open, script_engine

CLASS_DEADLINE_S = 2.0
WAIT_S = 0.2


def send_and_wait(harness: GatewayHarness, sock: socket.socket, numbers: list[int]) -> list[int]:
    """Send commands evenly spread over `WAIT_S`; return the times in ns at which they were sent."""
    sent_at = []
    for number in numbers:
        sent_at.append(harness.gateway.clock())
        sock.sendall(call_command(number=number))
        time.sleep(WAIT_S / len(numbers))
    return sent_at


def send_all(harness: GatewayHarness, sock: socket.socket, data: bytes) -> int:
    """Send data; return the time in ns at which the client's system had accepted all of it."""
    sock.sendall(data)
    return harness.gateway.clock()


async def blocking_client(harness: GatewayHarness) -> socket.socket:
    """Return a connected blocking socket, which does not need the event loop."""
    address = (LOOPBACK, harness.gateway.clients.port)
    return await asyncio.to_thread(socket.create_connection, address)


def test_deadline_includes_the_wait_in_the_accept_queue() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, leave_open)
            clients = harness.gateway.clients
            clients.max_connections = 0
            with await blocking_client(harness) as client:
                (sent_at,) = await asyncio.to_thread(send_and_wait, harness, client, [1])
                clients.max_connections = 10
                await wait_until(lambda: len(engine.arrivals) == 1)
                assert engine.arrivals[0].deadline <= sent_at + CLASS_DEADLINE_S * SECOND

    run_on_loop(test)


def test_deadline_of_a_request_sent_after_the_accept_is_not_shortened() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, leave_open, leave_open)
            clients = harness.gateway.clients
            clients.max_connections = 0
            with await blocking_client(harness) as client:
                await asyncio.sleep(WAIT_S / 2)
                clients.max_connections = 10
                await wait_until(lambda: clients.connection_count() == 1)
                sent_at = harness.gateway.clock()
                client.sendall(call_command(number=1) + call_command(number=2))
                await wait_until(lambda: len(engine.arrivals) == 2)
                for arrival in engine.arrivals:
                    assert arrival.deadline > sent_at + (CLASS_DEADLINE_S - WAIT_S / 4) * SECOND

    run_on_loop(test)


@pytest.mark.parametrize("count", [1, 2])
def test_deadline_includes_an_event_loop_stall(count: int) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[leave_open] * count)
            with await blocking_client(harness) as client, ThreadPoolExecutor() as pool:
                await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
                sending = pool.submit(send_and_wait, harness, client, list(range(count)))
                time.sleep(2 * WAIT_S)  # blocks the loop on purpose
                await wait_until(lambda: len(engine.arrivals) == count)
                for sent_at, arrival in zip(sending.result(), engine.arrivals, strict=True):
                    assert arrival.deadline <= sent_at + CLASS_DEADLINE_S * SECOND

    run_on_loop(test)


def test_deadline_includes_a_stall_when_the_commands_exceed_the_socket_buffer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Bytes that do not fit into the socket are read later, when the stall is no longer reported."""
    monkeypatch.setattr(loop_stalls, "STALL_RECOVERY_S", 0.0)
    monkeypatch.setattr(ClientConnection, "unread_bytes", lambda _: 0)  # each read empties the socket
    count = 40
    commands = b"".join(call_command("submit", number=n, body=b"B" * 4_000) for n in range(count))

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[leave_open] * count)
            with await blocking_client(harness) as client, ThreadPoolExecutor() as pool:
                await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
                sending = pool.submit(send_all, harness, client, commands)
                time.sleep(2 * WAIT_S)  # blocks the loop on purpose
                await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED)
                sent_at = await asyncio.to_thread(sending.result)
                for arrival in engine.arrivals:
                    assert arrival.deadline <= sent_at + CLASS_DEADLINE_S * SECOND

    run_on_loop(test)


def test_stall_is_detected_before_and_after_the_late_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(loop_stalls, "CHECK_INTERVAL_S", 0.05)

    async def test() -> None:
        stalls = LoopStallDetector()
        stalls.start()
        await asyncio.sleep(0.2)
        assert stalls.stalled_since_s(time.monotonic()) is None
        stalled_at_s = time.monotonic()
        time.sleep(0.3)  # blocks the loop on purpose
        before = stalls.stalled_since_s(time.monotonic())
        await wait_until(lambda: stalls._stall_detected_at_s > stalled_at_s)
        after = stalls.stalled_since_s(time.monotonic())
        assert before is not None
        assert before <= stalled_at_s
        assert after == before
        stalls.close()

    run_on_loop(test)


def test_last_byte_of_a_delayed_read_gets_its_own_time_and_the_others_the_earliest() -> None:
    ages = SocketAges(last_received_s=0.1, last_sent_s=5.0)
    assert estimate_receive_times(10.0, 9.5, ages) == ReceiveTimes(9.5, 9.9)
    assert estimate_receive_times(10.0, 9.95, ages) == ReceiveTimes(9.95, 9.95)
    assert estimate_receive_times(10.0, 9.5, None) == ReceiveTimes(9.5, 9.5)


def test_socket_ages_report_the_age_of_a_connection_and_of_its_last_bytes() -> None:
    async def test() -> None:
        connected: asyncio.Future[asyncio.Transport] = asyncio.get_running_loop().create_future()

        class Paused(asyncio.Protocol):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                paused = cast(asyncio.Transport, transport)
                paused.pause_reading()
                connected.set_result(paused)

        server = await asyncio.get_running_loop().create_server(Paused, LOOPBACK, 0)
        with await asyncio.to_thread(socket.create_connection, server.sockets[0].getsockname()) as client:
            transport = await connected
            await asyncio.sleep(WAIT_S)
            client.sendall(b"x")
            await asyncio.sleep(WAIT_S)
            ages = socket_ages(transport)
            assert ages is not None
            assert WAIT_S / 2 < ages.last_received_s < ages.last_sent_s - WAIT_S / 2
            transport.abort()
        server.close()

    run_on_loop(test)
