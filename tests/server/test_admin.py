"""Tests of the admin API over TCP connections."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.admin import connection as connection_module
from qos_gateway.server.admin import server as server_module
from qos_gateway.server.admin.server import AdminServer
from tests.support.admin import FakeAdminHandler, admin_server, get_request, post_request
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout


async def send_request(port: int, *pieces: bytes) -> tuple[int, bytes]:
    """Send a request in pieces; return the status and body of the response, or status 0 if there is none."""
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, port))
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    try:
        response = await with_timeout(reader.read())
    except ConnectionError:
        response = b""
    writer.close()
    head, _, body = response.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), body


def test_readiness_is_200_only_while_clients_are_accepted() -> None:
    async def test() -> None:
        handler = FakeAdminHandler()
        async with admin_server(handler) as server:
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 200
            handler.is_accepting = False
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 503

    run_on_loop(test)


def test_requests_that_arrive_byte_by_byte_are_answered() -> None:
    async def test() -> None:
        handler = FakeAdminHandler()
        async with admin_server(handler) as server:
            request_bytes = post_request("/ops/order-servers/down", b"s-1\n")
            status, _ = await send_request(
                server.port, *(request_bytes[i : i + 1] for i in range(len(request_bytes)))
            )
            assert status == 200
            assert handler.calls == [("s-1", True)]
            assert (await send_request(server.port, post_request("/ops/order-servers/up", b"s-1")))[0] == 200
            assert handler.calls[1:] == [("s-1", False)]
            assert (await send_request(server.port, post_request("/ops/order-servers/up", b"s-9")))[0] == 404
            status, _ = await send_request(server.port, post_request("/ops/order-servers/up", b"fault"))
            assert status == 500
            assert await send_request(server.port, get_request("/ops/stats")) == (200, b"a:1|c\n")

    run_on_loop(test)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"junk\r\n\r\n", 400),
        (get_request("/ops/other"), 404),
        (get_request("/ops/order-servers/down"), 405),
        (post_request("/ops/stats", b""), 405),
        (b"HEAD /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"GET /ops/stats HTTP/1.1\r\n\r\n", 400),  # without the Host header
        (post_request("/ops/order-servers/down", b""), 400),
        (post_request("/ops/order-servers/down", b"\xff\xfe"), 400),
        (post_request("/ops/order-servers/down", b"s" * 300), 413),
        (b"GET /ops/stats HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000, 431),
    ],
)
def test_invalid_requests_are_rejected_with_a_status(request_bytes: bytes, status: int) -> None:
    async def test() -> None:
        handler = FakeAdminHandler()
        async with admin_server(handler) as server:
            assert (await send_request(server.port, request_bytes))[0] == status
            assert handler.calls == []
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 200

    run_on_loop(test)


def test_incomplete_request_times_out_with_408(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(connection_module, "REQUEST_TIMEOUT_S", 0.02)
        async with admin_server(FakeAdminHandler()) as server:
            assert (await send_request(server.port, get_request("/ops/stats")[:20]))[0] == 408
            without_last_byte = post_request("/ops/order-servers/down", b"s-1")[:-1]
            assert (await send_request(server.port, without_last_byte))[0] == 408

    run_on_loop(test)


def test_incomplete_requests_do_not_starve_the_api() -> None:
    async def test() -> None:
        async with admin_server(FakeAdminHandler()) as server:
            incomplete = [
                await with_timeout(asyncio.open_connection(LOOPBACK, server.port))
                for _ in range(3 * server_module.MAX_CONNECTIONS)
            ]
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 200
            await wait_until(lambda: len(server._connections) <= server_module.MAX_CONNECTIONS)
            for _, writer in incomplete:
                writer.close()

    run_on_loop(test)


def test_bind_is_retried_while_the_address_is_in_use(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(server_module, "BIND_RETRY_INTERVAL_S", 0.005)
        async with admin_server(FakeAdminHandler()) as first:
            second = AdminServer((LOOPBACK, first.port), FakeAdminHandler())
            await second.start()
            first.close()
            await wait_until(lambda: second.port == first.port)
            assert (await send_request(second.port, get_request("/ops/readiness")))[0] == 200
            second.close()

    run_on_loop(test)
