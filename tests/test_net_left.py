"""A request whose client left while it waited is not sent on, wherever it waited."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import pytest

from badgerspindle.interface import Action, Arrival, ClientLeft, Refuse, Send
from badgerspindle.net import clients
from badgerspindle.net.gateway import Node

from .fakes import Tally, call, listening, run, served, soon, until, world
from .test_net_clients import only_backend, script


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


def hold_door(node: Node) -> HeldDoor:
    held = HeldDoor(asyncio.get_running_loop())
    node.backends.loop = held  # type: ignore[assignment]
    return held


def test_attempt_that_still_connects_is_not_written_once_its_client_has_left() -> None:
    async def test() -> None:
        async with world() as w:
            held, gone, stays = hold_door(w.node), await w.client(), await w.client()
            gone.send(call(number=1))
            await soon(held.asked.wait())
            gone.abort()
            await until(lambda: w.node.clients.count() == 1)
            held.go.set()
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two"
            assert w.backend.commands.empty() and not w.node._requests
            assert w.node.module.out == 0 and w.node.backends.open == 1

    run(test)


@pytest.mark.parametrize("how", ["reset", "close", "end"])
def test_client_that_leaves_while_its_input_is_not_read_is_noticed_and_the_rest_never_taken(how: str) -> None:
    """It sends more than is worked on at once, so that what lies unread hides that it went."""

    async def test() -> None:
        async with world() as w:
            backend, taken = only_backend(w), list[int]()

            def hold(a: Arrival) -> list[Action]:
                taken.append(a.request)
                return []

            w.node.time_is_up = lambda number: None  # type: ignore[method-assign]  # leaving alone ends them
            s = script(w, *[hold] * clients.PIPELINE, *[lambda a: [Send(a.request, backend, 0)]] * 9)
            client = await w.client()
            client.send(b"".join(call(number=n) for n in range(clients.PIPELINE + 8)))
            await until(lambda: len(taken) == clients.PIPELINE and w.node.clients.held > 0)
            if how == "end":
                client.writer.write_eof()
            else:
                sock = client.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", how == "reset", 0))
                client.abort()
            await until(lambda: len(s.of(ClientLeft)) == clients.PIPELINE)
            assert w.node.clients.count() == 0 and w.node.clients.held == 0
            for request in taken:
                w.node._act(Refuse(request, 0))
            other = await w.client()
            other.send(call(number=99))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 99
            connection.send(served(b"v"))
            assert await other.next() == b"v" and w.backend.commands.empty()

    run(test)


def test_request_that_waits_for_the_counter_is_not_sent_on_once_its_client_has_left() -> None:
    async def test() -> None:
        tally = Tally()
        async with listening(tally), world(
            counter=f"127.0.0.1:{tally.port}", familyInfo__counter=True, limits__peerMessages=False,
            familyInfo__counterTimeout=15_000_000_000,
        ) as w:
            await until(lambda: len(tally.connections) > 0)
            gone, stays = await w.client(), await w.client()
            gone.send(call(number=1))
            ask = await tally.call()
            gone.abort()
            await until(lambda: w.node.clients.count() == 1)
            ask.answer(b"ok 1")
            await until(lambda: not w.node.module.held)
            assert w.node.module.out == 0 and not w.node._requests
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two" and w.backend.commands.empty()

    run(test)


def test_request_is_not_tried_again_once_its_client_has_left() -> None:
    async def test() -> None:
        async with world() as w:
            client, stays = await w.client(), await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            client.abort()
            await until(lambda: w.node.clients.count() == 1)
            connection.send(b"-BUSY\r\n")
            await until(lambda: not w.node._requests)
            stays.send(call(number=2))
            connection, words = await w.backend.command()
            assert words[2] == b"%016x" % 2
            connection.send(served(b"two"))
            assert await stays.next() == b"two" and w.backend.commands.empty()

    run(test)
