"""A request whose client left while it waited is not sent on, wherever it waited."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from qos_gateway.server.clients import connection_input as client_input
from qos_gateway.server.endpoints.connection_pool import REUSE_DELAY_S
from qos_gateway.server.wiring import GatewayParts
from qos_gateway.types import Action, Arrival, AttemptEnded, ClientDisconnected, Outcome, Reject, Send
from tests.support.clients import call_command
from tests.support.event_loop import listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_counter import FakeCounter
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import ScriptedEngine, only_endpoint, script_engine


class DelayedConnects:
    """The event loop, but connections are made only when a test allows it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.requested = asyncio.Event()
        self.allowed = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *arguments: Any) -> Any:
        self.requested.set()
        await self.allowed.wait()
        return await self._loop.create_connection(*arguments)


async def only_another_is_written(harness: GatewayHarness) -> None:
    """A client that comes now is served, and the order server got nothing else meanwhile."""
    other = await harness.connect_client()
    other.send(call_command(number=99))
    connection, words = await harness.endpoint.next_command()
    assert words[2] == b"%016x" % 99
    connection.send(success_reply(b"v"))
    assert await other.next_message() == b"v"
    assert harness.endpoint.commands.empty()


def ignore_deadlines(harness: GatewayHarness) -> None:
    """Have nothing but their client's end finish requests."""

    def ignore(number: int) -> None:
        del number

    harness.gateway.deadlines.on_deadline = ignore  # type: ignore[method-assign]


def delay_connects(gateway: GatewayParts) -> DelayedConnects:
    delayed = DelayedConnects(asyncio.get_running_loop())
    gateway.endpoint_connections.context.loop = delayed  # type: ignore[assignment]
    return delayed


def test_attempt_that_still_connects_is_not_written_once_its_client_has_left() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            delayed = delay_connects(harness.gateway)
            leaving = await harness.connect_client()
            staying = await harness.connect_client()
            leaving.send(call_command(number=1))
            await with_timeout(delayed.requested.wait())
            leaving.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            delayed.allowed.set()
            staying.send(call_command(number=2))
            connection, words = await harness.endpoint.next_command()
            assert words[2] == b"%016x" % 2
            connection.send(success_reply(b"two"))
            assert await staying.next_message() == b"two"
            assert harness.endpoint.commands.empty()
            assert not harness.gateway.requests._requests
            assert harness.gateway.dispatcher.engine.request_table.in_flight == 0
            assert harness.gateway.endpoint_connections.open_connections == 1

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "close", "end"])
def test_disconnect_of_a_client_whose_input_is_paused_is_noticed_and_the_rest_never_run(how: str) -> None:
    """It sends more than is worked on at once, so that what lies unread hides that it went."""

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint, taken = only_endpoint(harness), list[int]()

            def leave_open(a: Arrival) -> list[Action]:
                taken.append(a.request_id)
                return []

            ignore_deadlines(harness)
            engine = script_engine(
                harness,
                *[leave_open] * client_input.MAX_PIPELINED,
                *[lambda a: [Send(a.request_id, endpoint, 0)]] * 9,
            )
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(client_input.MAX_PIPELINED + 8)))
            await wait_until(
                lambda: (
                    len(taken) == client_input.MAX_PIPELINED
                    and harness.gateway.clients.context.buffers.deferred_bytes > 0
                )
            )
            if how == "end":
                client.writer.write_eof()
            else:
                sock = client.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
                client.abort()
            await wait_until(lambda: len(engine.events_of(ClientDisconnected)) == client_input.MAX_PIPELINED)
            assert harness.gateway.clients.connection_count() == 0
            assert harness.gateway.clients.context.buffers.deferred_bytes == 0
            for request in taken:
                harness.gateway.executor.execute(Reject(request, 0))
            await only_another_is_written(harness)

    run_on_loop(test)


def test_request_that_waits_for_the_counter_is_not_sent_on_once_its_client_has_left() -> None:
    async def test() -> None:
        counter = FakeCounter()
        async with (
            listening(counter),
            gateway_harness(
                counter=f"127.0.0.1:{counter.port}",
                familyInfo__counter=True,
                limits__peerMessages=False,
                familyInfo__counterTimeout=15_000_000_000,
            ) as harness,
        ):
            await wait_until(lambda: len(counter.connections) > 0)
            leaving = await harness.connect_client()
            staying = await harness.connect_client()
            leaving.send(call_command(number=1))
            call = await counter.next_call()
            leaving.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            call.answer(b"ok 1")
            await wait_until(lambda: not harness.gateway.dispatcher.engine.admission.awaiting_reservation)
            assert harness.gateway.dispatcher.engine.request_table.in_flight == 0
            assert not harness.gateway.requests._requests
            staying.send(call_command(number=2))
            connection, words = await harness.endpoint.next_command()
            assert words[2] == b"%016x" % 2
            connection.send(success_reply(b"two"))
            assert await staying.next_message() == b"two"
            assert harness.endpoint.commands.empty()

    run_on_loop(test)


def test_request_is_not_tried_again_once_its_client_has_left() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            staying = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            client.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            connection.send(b"-BUSY\r\n")
            await wait_until(lambda: not harness.gateway.requests._requests)
            staying.send(call_command(number=2))
            connection, words = await harness.endpoint.next_command()
            assert words[2] == b"%016x" % 2
            connection.send(success_reply(b"two"))
            assert await staying.next_message() == b"two"
            assert harness.endpoint.commands.empty()

    run_on_loop(test)


class BlockingClient:
    """A client outside the event loop: what it does is in the sockets before the loop's next turn."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.sock = socket.create_connection(("127.0.0.1", harness.gateway.clients.port))

    def send(self, *numbers: int) -> None:
        self.sock.sendall(b"".join(call_command(number=n) for n in numbers))

    def leave(self, how: str) -> None:
        if how == "end":
            self.sock.shutdown(socket.SHUT_WR)
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
        self.sock.close()


Moment = Callable[[GatewayHarness, ScriptedEngine, BlockingClient, str], Awaitable[int]]


def leave_open(_a: Arrival) -> list[Action]:
    return []


async def delayed_by_counter(
    harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str
) -> int:
    """A first attempt, once the counter has answered."""
    engine.plans[:] = [leave_open]
    client.send(1)
    await wait_until(lambda: len(engine.events_of(Arrival)) == 1)
    client.leave(how)
    harness.gateway.executor.execute(Send(engine.events_of(Arrival)[0].request_id, only_endpoint(harness), 0))
    return 0


async def retry(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    endpoint = only_endpoint(harness)
    engine.plans[:] = [lambda a: [Send(a.request_id, endpoint, 0)]]
    client.send(1)
    connection, _ = await harness.endpoint.next_command()
    connection.send(b"-BUSY\r\n")
    await wait_until(lambda: len(engine.events_of(AttemptEnded)) == 1)
    client.leave(how)
    harness.gateway.executor.execute(Send(engine.events_of(Arrival)[0].request_id, endpoint, 0))
    return 1


async def hedged(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    endpoint = only_endpoint(harness)
    engine.plans[:] = [lambda a: [Send(a.request_id, endpoint, 0)]]
    client.send(1)
    await harness.endpoint.next_command()
    client.leave(how)
    harness.gateway.executor.execute(Send(engine.events_of(Arrival)[0].request_id, endpoint, 0))
    return 1


async def connecting(
    harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str
) -> int:
    """Its connection is made in the turn of the loop in which the client has left."""
    endpoint = only_endpoint(harness)
    delayed = delay_connects(harness.gateway)
    engine.plans[:] = [lambda a: [Send(a.request_id, endpoint, 0)]]
    client.send(1)
    await with_timeout(delayed.requested.wait())
    pool = harness.gateway.endpoint_connections._pools[endpoint]
    on_connected = pool.on_connected

    def leave_first(link: Any) -> None:
        pool.on_connected = on_connected  # type: ignore[method-assign]
        client.leave(how)
        on_connected(link)

    pool.on_connected = leave_first  # type: ignore[method-assign]
    delayed.allowed.set()
    return 0


async def queued(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    """Behind as many commands as are served at once, in deferred input: they are answered, and the deferred
    commands would be served, in the turn of the loop in which the client has left."""
    endpoint = only_endpoint(harness)
    max_pipelined = client_input.MAX_PIPELINED
    engine.plans[:] = [leave_open] * max_pipelined + [lambda a: [Send(a.request_id, endpoint, 0)]] * 8
    client.send(*range(1, max_pipelined + 9))
    await wait_until(
        lambda: (
            len(engine.events_of(Arrival)) == max_pipelined
            and harness.gateway.clients.context.buffers.deferred_bytes > 0
        )
    )
    client.leave(how)
    for arrival in engine.events_of(Arrival)[:max_pipelined]:
        harness.gateway.executor.execute(Reject(arrival.request_id, 0))
    await wait_until(
        lambda: (
            harness.gateway.clients.connection_count() == 0 or len(engine.events_of(Arrival)) > max_pipelined
        )
    )
    return 0


async def warm(harness: GatewayHarness, engine: ScriptedEngine) -> None:
    """Two connections to the order server at rest, so that an attempt is written in the turn of its start."""
    endpoint, others = only_endpoint(harness), [await harness.connect_client() for _ in range(2)]
    engine.plans[:] = [lambda a: [Send(a.request_id, endpoint, 0)]] * 2
    for number, other in enumerate(others):
        other.send(call_command(number=100 + number))
    for connection, _ in [await harness.endpoint.next_command() for _ in others]:
        connection.send(success_reply(b"v"))
    for other in others:
        assert await other.next_message() == b"v"
        other.abort()
    await wait_until(
        lambda: (
            harness.gateway.endpoint_connections.idle_count() == 2
            and harness.gateway.clients.connection_count() == 0
        )
    )
    await asyncio.sleep(2 * REUSE_DELAY_S)
    engine.events.clear()


@pytest.mark.parametrize("how", ["reset", "close", "end"])
@pytest.mark.parametrize("moment", [delayed_by_counter, retry, hedged, connecting, queued])
def test_no_attempt_begins_for_a_client_that_has_closed_though_the_loop_has_not_read_that(
    moment: Moment, how: str
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine, endpoint = script_engine(harness), only_endpoint(harness)
            ignore_deadlines(harness)
            if moment is not connecting:
                await warm(harness, engine)
            client = BlockingClient(harness)
            expected_attempts = await moment(harness, engine, client, how)
            # Where its answer was written before its end could be read, deferred ones may have been served.
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)
            assert all(
                e.outcome is Outcome.NOT_SENT
                for e in engine.events_of(AttemptEnded)
                if e.attempt >= expected_attempts
            )
            engine.plans.append(lambda a: [Send(a.request_id, endpoint, 0)])
            await only_another_is_written(harness)
            client.sock.close()

    run_on_loop(test)
