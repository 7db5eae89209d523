"""Clients that disconnect, and connections to endpoints that open only when a test allows it."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

from qos_gateway.server.wiring import GatewayParts
from tests.support.clients import call_command
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness
from tests.support.resp_connection import Connection


class DelayedConnects:
    """The event loop, except that connections open only when a test allows it."""

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


def delay_connects(gateway: GatewayParts) -> DelayedConnects:
    """Let no connection to an endpoint open until the test allows it."""
    delayed = DelayedConnects(asyncio.get_running_loop())
    gateway.endpoint_connections.context.loop = delayed  # type: ignore[assignment]
    return delayed


def ignore_deadlines(harness: GatewayHarness) -> None:
    """Let no deadline finish a request, so that only the disconnect of its client does."""

    def ignore(number: int) -> None:
        del number

    harness.gateway.deadlines.on_deadline = ignore  # type: ignore[method-assign]


def reset_on_close(sock: socket.socket, is_reset: bool) -> None:
    """Let the close of a socket reset the connection (RST), or end it in order (FIN)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_reset, 0))


async def assert_only_this_request_is_forwarded(
    harness: GatewayHarness, client: Connection, number: int
) -> None:
    """Send a request from this client, and assert that the endpoint receives it and no other."""
    client.send(call_command(number=number))
    words = await harness.endpoint.reply_to_next_command(success_reply(b"v"))
    assert words[2] == b"%016x" % number
    assert await client.next_message() == b"v"
    assert harness.endpoint.commands.empty()
