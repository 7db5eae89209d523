"""A request whose client left while it waited is not sent on, wherever it waited."""

from __future__ import annotations

import asyncio
from typing import Any

from badgerspindle.net.gateway import Node

from .fakes import call, run, served, soon, until, world


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
