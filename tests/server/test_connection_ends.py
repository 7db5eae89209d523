"""Client connections that are closed or considered for eviction while data is in transit."""

from __future__ import annotations

import asyncio
import socket
from contextlib import closing

import pytest

from qos_gateway.server.clients import connection_closer
from qos_gateway.server.clients import connections as connections_module
from qos_gateway.server.networking import lingering_close
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness


def test_slow_client_receives_all_replies_before_the_close_after_a_protocol_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lingering_close, "DELIVERED_LINGER_S", 0.1)
    monkeypatch.setattr(connection_closer, "CLOSE_CHECK_INTERVAL_S", 0.02)
    value = b"v" * 60_000

    async def test() -> None:
        async with gateway_harness() as harness:
            loop = asyncio.get_running_loop()
            with closing(socket.socket()) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                sock.setblocking(False)
                await loop.sock_connect(sock, ("127.0.0.1", harness.gateway.clients.port))
                await loop.sock_sendall(sock, call_command())
                connection, _ = await harness.endpoint.next_command()
                (client,) = harness.gateway.clients.connections()
                client._transport.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                )
                await loop.sock_sendall(sock, b"no command\r\n")
                await wait_until(lambda: client.input.is_closed)
                connection.send(success_reply(value))
                # The client reads nothing meanwhile, but for less than the write stall timeout.
                await asyncio.sleep(0.5)
                received = b""
                while part := await with_timeout(loop.sock_recv(sock, 1 << 16)):
                    received += part
                assert received.startswith(b"$60000\r\n" + value + b"\r\n-ERR Protocol error")

    run_on_loop(test)


def test_client_that_stopped_half_way_makes_way_soon() -> None:
    """Clients with complete requests wait for as long as such clients keep their places."""

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            client = await harness.connect_client()
            client.send(call_command()[:-3])
            await wait_until(lambda: any(c.input.reader.has_partial_command for c in clients.connections()))
            clients.max_connections = 1
            await asyncio.sleep(2 * connections_module.MIN_STOPPED_BEFORE_EVICTION_S)
            assert clients._has_capacity()
            assert await client.next_message() is None

    run_on_loop(test)


def test_client_that_still_writes_its_command_keeps_its_place(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections_module, "MIN_STOPPED_BEFORE_EVICTION_S", 5.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            client = await harness.connect_client()
            client.send(call_command()[:-3])
            await wait_until(lambda: any(c.input.reader.has_partial_command for c in clients.connections()))
            (connected,) = clients.connections()
            connected.input.reader.partial_since_s -= 10.0  # its first bytes; the last ones came just now
            clients.max_connections = 1
            assert not clients._has_capacity()

    run_on_loop(test)


def test_connection_with_unread_remainder_of_a_command_is_not_evicted() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            clients = harness.gateway.clients
            command = call_command()
            with closing(socket.create_connection(("127.0.0.1", clients.port))) as sock:
                sock.sendall(command[:30])
                await wait_until(
                    lambda: any(c.input.reader.has_partial_command for c in clients.connections())
                )
                (client,) = clients.connections()
                client.input.reader.partial_since_s -= 1.0
                clients.max_connections = 1
                sock.sendall(command[30:])  # the event loop has not run since, so the bytes are unread
                assert not clients._has_capacity()
                connection, _ = await harness.endpoint.next_command()
                connection.send(success_reply(b"v"))
                assert await asyncio.to_thread(sock.recv, 100) == b"$1\r\nv\r\n"

    run_on_loop(test)
