"""A request whose client left while it waited is not sent on, wherever it waited."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from qos_gateway.server import backends, clients
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.types import Action, Arrival, AttemptEnded, ClientDisconnected, Outcome, Reject, Send
from tests.server.test_clients import Script, only_backend, script
from tests.support.servers import Tally, World, call, listening, run, served, soon, until, world


class HeldDoor:
    """The loop, but for connections: each comes up when a test lets it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.asked, self.go = asyncio.Event(), asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *words: Any) -> Any:
        self.asked.set()
        await self.go.wait()
        return await self._loop.create_connection(*words)


async def only_another_is_written(w: World) -> None:
    """A client that comes now is served, and the order server got nothing else meanwhile."""
    other = await w.client()
    other.send(call(number=99))
    connection, words = await w.backend.command()
    assert words[2] == b"%016x" % 99
    connection.send(served(b"v"))
    assert await other.next() == b"v"
    assert w.backend.commands.empty()


def ignore_deadlines(w: World) -> None:
    """Have nothing but their client's end finish requests."""

    def ignore(number: int) -> None:
        del number

    w.gateway.requests.on_deadline = ignore  # type: ignore[method-assign]


def hold_door(gateway: GatewayProcess) -> HeldDoor:
    held = HeldDoor(asyncio.get_running_loop())
    gateway.backends.loop = held  # type: ignore[assignment]
    return held


def test_attempt_that_still_connects_is_not_written_once_its_client_has_left() -> None:
    async def test() -> None:
        async with world() as w:
            held, gone, stays = hold_door(w.gateway), await w.client(), await w.client()
            gone.send(call(number=1))
            await soon(held.asked.wait())
            gone.abort()
            await until(lambda: w.gateway.clients.count() == 1)
            held.go.set()
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two"
            assert w.backend.commands.empty()
            assert not w.gateway.requests._requests
            assert w.gateway.dispatcher.engine.in_flight == 0
            assert w.gateway.backends.open == 1

    run(test)


@pytest.mark.parametrize("how", ["reset", "close", "end"])
def test_client_that_leaves_while_its_input_is_not_read_is_noticed_and_the_rest_never_taken(how: str) -> None:
    """It sends more than is worked on at once, so that what lies unread hides that it went."""

    async def test() -> None:
        async with world() as w:
            backend, taken = only_backend(w), list[int]()

            def hold(a: Arrival) -> list[Action]:
                taken.append(a.request_id)
                return []

            ignore_deadlines(w)
            s = script(w, *[hold] * clients.PIPELINE, *[lambda a: [Send(a.request_id, backend, 0)]] * 9)
            client = await w.client()
            client.send(b"".join(call(number=n) for n in range(clients.PIPELINE + 8)))
            await until(lambda: len(taken) == clients.PIPELINE and w.gateway.clients.held > 0)
            if how == "end":
                client.writer.write_eof()
            else:
                sock = client.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
                client.abort()
            await until(lambda: len(s.of(ClientDisconnected)) == clients.PIPELINE)
            assert w.gateway.clients.count() == 0
            assert w.gateway.clients.held == 0
            for request in taken:
                w.gateway.executor.execute(Reject(request, 0))
            await only_another_is_written(w)

    run(test)


def test_request_that_waits_for_the_counter_is_not_sent_on_once_its_client_has_left() -> None:
    async def test() -> None:
        tally = Tally()
        async with (
            listening(tally),
            world(
                counter=f"127.0.0.1:{tally.port}",
                familyInfo__counter=True,
                limits__peerMessages=False,
                familyInfo__counterTimeout=15_000_000_000,
            ) as w,
        ):
            await until(lambda: len(tally.connections) > 0)
            gone, stays = await w.client(), await w.client()
            gone.send(call(number=1))
            ask = await tally.call()
            gone.abort()
            await until(lambda: w.gateway.clients.count() == 1)
            ask.answer(b"ok 1")
            await until(lambda: not w.gateway.dispatcher.engine.awaiting_reservation)
            assert w.gateway.dispatcher.engine.in_flight == 0
            assert not w.gateway.requests._requests
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two"
            assert w.backend.commands.empty()

    run(test)


def test_request_is_not_tried_again_once_its_client_has_left() -> None:
    async def test() -> None:
        async with world() as w:
            client, stays = await w.client(), await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            client.abort()
            await until(lambda: w.gateway.clients.count() == 1)
            connection.send(b"-BUSY\r\n")
            await until(lambda: not w.gateway.requests._requests)
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two"
            assert w.backend.commands.empty()

    run(test)


class Raw:
    """A client outside the loop: what it does is in the sockets at once, before the loop has turned."""

    def __init__(self, w: World) -> None:
        self.sock = socket.create_connection(("127.0.0.1", w.gateway.clients.port))

    def send(self, *numbers: int) -> None:
        self.sock.sendall(b"".join(call(number=n) for n in numbers))

    def leave(self, how: str) -> None:
        if how == "end":
            self.sock.shutdown(socket.SHUT_WR)
            return
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
        self.sock.close()


Moment = Callable[[World, Script, Raw, str], Awaitable[int]]


def hold(_a: Arrival) -> list[Action]:
    return []


async def held(w: World, s: Script, client: Raw, how: str) -> int:
    """A first attempt, once the counter's word has come."""
    s.plans[:] = [hold]
    client.send(1)
    await until(lambda: len(s.of(Arrival)) == 1)
    client.leave(how)
    w.gateway.executor.execute(Send(s.of(Arrival)[0].request_id, only_backend(w), 0))
    return 0


async def retry(w: World, s: Script, client: Raw, how: str) -> int:
    backend = only_backend(w)
    s.plans[:] = [lambda a: [Send(a.request_id, backend, 0)]]
    client.send(1)
    connection, _ = await w.backend.command()
    connection.send(b"-BUSY\r\n")
    await until(lambda: len(s.of(AttemptEnded)) == 1)
    client.leave(how)
    w.gateway.executor.execute(Send(s.of(Arrival)[0].request_id, backend, 0))
    return 1


async def second_copy(w: World, s: Script, client: Raw, how: str) -> int:
    backend = only_backend(w)
    s.plans[:] = [lambda a: [Send(a.request_id, backend, 0)]]
    client.send(1)
    await w.backend.command()
    client.leave(how)
    w.gateway.executor.execute(Send(s.of(Arrival)[0].request_id, backend, 0))
    return 1


async def connecting(w: World, s: Script, client: Raw, how: str) -> int:
    """Its connection comes up in the turn in which the client has gone."""
    backend, door = only_backend(w), hold_door(w.gateway)
    s.plans[:] = [lambda a: [Send(a.request_id, backend, 0)]]
    client.send(1)
    await soon(door.asked.wait())
    connected = w.gateway.backends._pools[backend].connected

    def leave_first(link: Any) -> None:
        w.gateway.backends._pools[backend].connected = connected  # type: ignore[method-assign]
        client.leave(how)
        connected(link)

    w.gateway.backends._pools[backend].connected = leave_first  # type: ignore[method-assign]
    door.go.set()
    return 0


async def queued(w: World, s: Script, client: Raw, how: str) -> int:
    """Behind as many commands as are worked on at once, in input that is not read: they are answered, and
    the rest would be taken up, in the turn in which the client has gone."""
    backend, most = only_backend(w), clients.PIPELINE
    s.plans[:] = [hold] * most + [lambda a: [Send(a.request_id, backend, 0)]] * 8
    client.send(*range(1, most + 9))
    await until(lambda: len(s.of(Arrival)) == most and w.gateway.clients.held > 0)
    client.leave(how)
    for arrival in s.of(Arrival)[:most]:
        w.gateway.executor.execute(Reject(arrival.request_id, 0))
    await until(lambda: w.gateway.clients.count() == 0 or len(s.of(Arrival)) > most)
    return 0


async def warm(w: World, s: Script) -> None:
    """Two connections to the order server at rest, so that an attempt is written in the turn of its start."""
    backend, others = only_backend(w), [await w.client() for _ in range(2)]
    s.plans[:] = [lambda a: [Send(a.request_id, backend, 0)]] * 2
    for number, other in enumerate(others):
        other.send(call(number=100 + number))
    for connection, _ in [await w.backend.command() for _ in others]:
        connection.send(served(b"v"))
    for other in others:
        assert await other.next() == b"v"
        other.abort()
    await until(lambda: w.gateway.backends.idle() == 2 and w.gateway.clients.count() == 0)
    await asyncio.sleep(2 * backends.SETTLE)
    s.events.clear()


@pytest.mark.parametrize("how", ["reset", "close", "end"])
@pytest.mark.parametrize("moment", [held, retry, second_copy, connecting, queued])
def test_no_attempt_begins_for_a_client_that_has_closed_though_the_loop_has_not_read_that(
    moment: Moment, how: str
) -> None:
    async def test() -> None:
        async with world() as w:
            s, backend = script(w), only_backend(w)
            ignore_deadlines(w)
            if moment is not connecting:
                await warm(w, s)
            client = Raw(w)
            tries = await moment(w, s, client, how)
            # Where its answer was written before its end could be read, a rest may have been taken up.
            await until(lambda: w.gateway.clients.count() == 0)
            assert all(e.outcome is Outcome.NOT_SENT for e in s.of(AttemptEnded) if e.attempt >= tries)
            s.plans.append(lambda a: [Send(a.request_id, backend, 0)])
            await only_another_is_written(w)
            client.sock.close()

    run(test)
