"""The event loop of a test, its timeouts, and servers on ephemeral loopback ports."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any, Protocol, TypeVar

import uvloop

HANG_TIMEOUT_S = 20.0  # only a hang reaches it, no verdict depends on it
LOOPBACK = "127.0.0.1"
T = TypeVar("T")


class ConnectionServer(Protocol):
    """Serves each connection to a port; port 0 is replaced by the one that was opened."""

    port: int

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None: ...


def run_on_loop(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test's coroutine on the loop that the gateway runs on."""
    uvloop.run(asyncio.wait_for(test(), 3 * HANG_TIMEOUT_S))


async def with_timeout(awaitable: Awaitable[T]) -> T:
    return await asyncio.wait_for(awaitable, HANG_TIMEOUT_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Give the loop turns until something holds."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


@asynccontextmanager
async def listening(server: ConnectionServer) -> AsyncIterator[None]:
    """Serve on a loopback port; at the end, close it and cancel what still serves."""
    tasks: set[asyncio.Task[None]] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await server.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            tasks.discard(task)

    listener = await asyncio.start_server(serve, LOOPBACK, server.port)
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield
    finally:
        listener.close()
        for task in list(tasks):
            task.cancel()
