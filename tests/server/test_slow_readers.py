"""Connections that end while their clients have not read all replies yet: none of these may be lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from math import inf

import pytest

from qos_gateway.server.clients import accept_drain, connection_closer
from qos_gateway.server.clients import timeouts as client_timeouts
from qos_gateway.server.clients.connection import ClientConnection
from qos_gateway.server.clients.connections import MIN_STOPPED_BEFORE_EVICTION_S
from qos_gateway.server.networking import lingering_close
from qos_gateway.server.observability.close_reasons import CloseReason
from qos_gateway.server.observability.invariants import Invariant
from tests.support.clients import PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import bulk_string, success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.slow_reader import SlowReader, slow_reader

REQUESTS = 6
VALUE = b"v" * 60_000
REPLIES = bulk_string(VALUE) * REQUESTS
CROSSING_COMMAND = call_command(number=REQUESTS)


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(accept_drain, "ACCEPT_QUIET_PERIOD_S", 0.0)
    monkeypatch.setattr(connection_closer, "CLOSE_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(client_timeouts, "CHECK_INTERVAL_S", 0.02)


async def leave_replies_unread(harness: GatewayHarness, client: SlowReader) -> ClientConnection:
    """Have all requests answered, and return the gateway's connection, which has written the replies."""
    await client.connect(harness.gateway.clients.port)
    await client.send(b"".join(call_command(number=number) for number in range(REQUESTS)))
    for connection in (await harness.endpoint.next_requests(REQUESTS)).values():
        connection.send(success_reply(VALUE))
    (served,) = harness.gateway.clients.connections()
    await wait_until(lambda: served.has_sent_command and not served.is_awaiting_replies())
    assert served.unacknowledged_bytes() > len(VALUE)
    return served


@contextmanager
def stopping(harness: GatewayHarness) -> Iterator[asyncio.Task[None]]:
    task = asyncio.create_task(harness.process.stop())
    try:
        yield task
    finally:
        task.cancel()


# Ends the connection, and returns what the client receives after the replies.
ConnectionEnd = Callable[[GatewayHarness, SlowReader, pytest.MonkeyPatch], Awaitable[bytes]]


async def drain(harness: GatewayHarness, _client: SlowReader, _patch: pytest.MonkeyPatch) -> bytes:
    asyncio.get_running_loop().create_task(harness.gateway.clients.drain(inf))
    return b""


async def idle_timeout(_harness: GatewayHarness, _client: SlowReader, patch: pytest.MonkeyPatch) -> bytes:
    patch.setattr(client_timeouts, "IDLE_TIMEOUT_S", 0.0)
    return b""


async def near_limit(harness: GatewayHarness, _client: SlowReader, patch: pytest.MonkeyPatch) -> bytes:
    patch.setattr(client_timeouts, "NEAR_LIMIT_IDLE_TIMEOUT_S", 0.0)
    harness.gateway.clients.max_connections = 1
    return b""


async def protocol_error(_harness: GatewayHarness, client: SlowReader, _patch: pytest.MonkeyPatch) -> bytes:
    await client.send(b"no command\r\n")
    return b"-ERR Protocol error: "


async def early_busy(harness: GatewayHarness, client: SlowReader, _patch: pytest.MonkeyPatch) -> bytes:
    await client.send(CROSSING_COMMAND[:-3])
    (served,) = harness.gateway.clients.connections()
    await wait_until(lambda: served.input.reader.has_partial_command)
    harness.gateway.clients._max_drain_s = -1.0
    asyncio.get_running_loop().create_task(harness.gateway.clients.drain(inf))
    return b"-BUSY\r\n"


async def aborted_value(harness: GatewayHarness, client: SlowReader, _patch: pytest.MonkeyPatch) -> bytes:
    await client.send(CROSSING_COMMAND)
    start = success_reply(b"w" * 300_000)[:100_000]
    connection = await harness.endpoint.start_reply_to_next_command(start)
    await wait_until(lambda: harness.active_streams == 1)
    connection.abort()
    return b"$300000\r\nw"


@pytest.mark.parametrize(
    ("end", "pause_s"),
    [
        (drain, 0.1),
        (idle_timeout, 0.1),
        (near_limit, 0.1),
        (aborted_value, 0.1),
        # Further input is or was discarded for a while after these.
        (protocol_error, 1.2),
        (early_busy, 1.2),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_ended_connection_delivers_all_replies_though_another_request_crosses_its_end(
    end: ConnectionEnd, pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A socket that is closed at once is reset by the next request, and replies on their way are lost."""
    monkeypatch.setattr(lingering_close, "DELIVERED_LINGER_S", 0.05)

    async def test() -> None:
        async with gateway_harness() as harness:
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                rest = await end(harness, client, monkeypatch)
                await wait_until(lambda: served.input.is_closed)
                await asyncio.sleep(pause_s)  # for as long as an earlier close needs
                await client.send(CROSSING_COMMAND)
                await asyncio.sleep(0.1)  # for as long as a reset needs
                received = await client.read_to_the_end()
                assert received.startswith(REPLIES + rest)
                assert harness.endpoint.commands.empty()  # the crossing request was not forwarded
                client.close()
                await wait_until(lambda: harness.gateway.clients.connection_count() == 0)
                violations = harness.gateway.observability.invariants.violations
                assert not violations[Invariant.CLOSE]

    run_on_loop(test)


def test_client_that_reads_its_replies_slowly_is_not_evicted_before_it_has_them() -> None:
    """An eviction closes the socket at once, so replies on their way would be lost with the next request."""

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                served.idle_since_s -= 1.0
                received = b""
                while not served.is_reading_replies(clients.time()):
                    received += await client.read_some()
                    await asyncio.sleep(2 * client_timeouts.CHECK_INTERVAL_S)
                assert served.unacknowledged_bytes()
                clients.max_connections = 1
                assert not clients._has_capacity()
                while len(received) < len(REPLIES):
                    received += await client.read_some()
                assert received == REPLIES
                await wait_until(served.is_delivered)
                assert clients._has_capacity()

    run_on_loop(test)


def test_client_that_stopped_half_way_keeps_its_unread_replies() -> None:
    """As for idle clients: an incomplete command makes a connection evictable, but not its replies lost."""

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                await client.send(CROSSING_COMMAND[:-3])
                await wait_until(lambda: served.input.reader.has_partial_command)
                while not served.is_reading_replies(clients.time()):
                    await client.read_some()
                    await asyncio.sleep(2 * client_timeouts.CHECK_INTERVAL_S)
                assert served.unacknowledged_bytes()
                await asyncio.sleep(2 * MIN_STOPPED_BEFORE_EVICTION_S)
                clients.max_connections = 1
                assert not clients._has_capacity()

    run_on_loop(test)


def test_client_that_never_reads_is_evicted() -> None:
    """Otherwise clients that read nothing would keep all others out."""

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                served.idle_since_s -= 1.0
                clients.max_connections = 1
                assert clients._has_capacity()
                closes = harness.gateway.observability.metrics.client_closes
                await wait_until(lambda: closes[CloseReason.WRITE_STALLED] == 1)

    run_on_loop(test)


def test_client_that_shuts_down_its_sending_side_gets_what_was_written_for_it() -> None:
    """Its open request is given up, and the commands that were not read yet would reset the connection."""

    async def test() -> None:
        async with gateway_harness() as harness:
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                await client.send(CROSSING_COMMAND)
                await harness.endpoint.next_command()
                served.set_reading(False)
                harness.gateway.clients.context.hangup_monitor.set_watched(served, True)
                await client.send(call_command(number=REQUESTS + 1))
                client.shut_down_sending()
                closes = harness.gateway.observability.metrics.client_closes
                await wait_until(lambda: not harness.open_requests)
                assert await client.read_to_the_end() == REPLIES
                client.close()
                await wait_until(lambda: closes[CloseReason.HANGUP_SEEN] == 1)
                assert harness.endpoint.commands.empty()

    run_on_loop(test)


def test_client_that_never_reads_is_given_up_at_the_deadline_of_the_drain() -> None:
    """Its connection would otherwise keep the process beyond the time at which the platform ends it."""

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            with slow_reader() as client:
                await leave_replies_unread(harness, client)
                await clients.drain(clients.time() + 0.2)
                closes = harness.gateway.observability.metrics.client_closes
                assert closes[CloseReason.WRITE_STALLED] == 1
                undelivered = harness.gateway.observability.metrics.undelivered_client_closes
                assert undelivered[CloseReason.WRITE_STALLED] == 1

    run_on_loop(test)


def test_drain_ends_long_before_its_deadline_if_all_clients_have_their_replies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Neither a client that closes nor one that rests on its connection may delay the end of the process."""
    monkeypatch.setattr(lingering_close, "DELIVERED_LINGER_S", 20.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            with slow_reader() as reading, slow_reader() as resting:
                await leave_replies_unread(harness, reading)
                await resting.connect(clients.port)
                await resting.send(PING)
                assert await resting.read_some() == b"+PONG\r\n"
                for client in clients.connections():
                    client.idle_since_s -= lingering_close.DELIVERED_LINGER_S
                draining = asyncio.create_task(clients.drain(inf))
                assert await reading.read_to_the_end() == REPLIES
                reading.close()
                await asyncio.wait_for(draining, lingering_close.DELIVERED_LINGER_S / 2)

    run_on_loop(test)


def test_client_that_shuts_down_its_sending_side_after_the_end_still_gets_all_replies() -> None:
    """A request that was left unread would reset the connection when the gateway closes it."""

    async def test() -> None:
        async with gateway_harness() as harness:
            with slow_reader() as client:
                served = await leave_replies_unread(harness, client)
                draining = asyncio.create_task(harness.gateway.clients.drain(inf))
                await wait_until(lambda: served.is_half_closed)
                await client.send(CROSSING_COMMAND)
                client.shut_down_sending()
                await draining
                assert await client.read_to_the_end() == REPLIES

    run_on_loop(test)


def test_client_that_always_has_requests_in_flight_is_refused_and_ended_during_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its connection would never become idle, and the platform would end the process over open requests."""
    monkeypatch.setattr(accept_drain, "PIPELINING_GRACE_S", 0.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1))
            first, _ = await harness.endpoint.next_command()
            with stopping(harness):
                await wait_until(lambda: harness.gateway.clients.context.drain.rejects_pipelined)
                client.send(call_command(number=2))
                (served,) = harness.gateway.clients.connections()
                await wait_until(lambda: len(served._replies.pending) == 2)
                first.send(success_reply(b"1"))
                assert await client.next_message() == b"1"
                assert str(await client.next_message()).startswith("BUSY")
                assert await client.next_message() is None
                assert harness.endpoint.commands.empty()

    run_on_loop(test)
