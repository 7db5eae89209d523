"""Responses of the admin API that are still due or on their way when their connection ends."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.admin import connection as connection_module
from qos_gateway.server.admin import server as server_module
from qos_gateway.server.admin.server import AdminServer
from tests.support.admin import FakeAdminHandler, admin_server, get_request, post_request
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout
from tests.support.slow_reader import slow_reader

DISABLE = post_request("/ops/order-servers/down", b"s-1")
METRICS = b"a:1|c\n" * 1_000_000  # more than the buffers of the sockets hold


class SlowAdminHandler(FakeAdminHandler):
    """Completes a call when the test says so; its metrics are large."""

    def __init__(self) -> None:
        super().__init__()
        self.may_complete = asyncio.Event()

    def render_metrics(self) -> bytes:
        return METRICS

    async def set_endpoint_disabled(self, name: str, disabled: bool) -> bool:
        result = await super().set_endpoint_disabled(name, disabled)
        await self.may_complete.wait()
        return result


async def begin_call(
    server: AdminServer, handler: FakeAdminHandler
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, server.port))
    calls = len(handler.calls)
    writer.write(DISABLE)
    await wait_until(lambda: len(handler.calls) > calls)
    return reader, writer


def test_client_that_shuts_down_its_sending_side_gets_the_response_to_its_call() -> None:
    """The end of its stream, while the call was in progress, closed the connection without a response."""

    async def test() -> None:
        handler = SlowAdminHandler()
        async with admin_server(handler) as server:
            reader, writer = await begin_call(server, handler)
            writer.write_eof()
            await asyncio.sleep(0.05)  # for as long as the gateway needs to read that
            handler.may_complete.set()
            assert (await with_timeout(reader.read())).startswith(b"HTTP/1.1 200")
            await wait_until(lambda: not server._connections)

    run_on_loop(test)


def test_call_in_progress_is_answered_when_the_server_stops() -> None:
    """The end of the process cancelled it, although the change had been made."""

    async def test() -> None:
        handler = SlowAdminHandler()
        async with admin_server(handler) as server:
            reader, writer = await begin_call(server, handler)
            stopping = asyncio.create_task(server.stop())
            await asyncio.sleep(0)
            handler.may_complete.set()
            assert (await with_timeout(reader.read())).startswith(b"HTTP/1.1 200")
            await with_timeout(stopping)
            writer.close()

    run_on_loop(test)


def test_stop_waits_only_so_long_for_a_call_that_does_not_complete(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(server_module, "STOP_TIMEOUT_S", 0.05)

    async def test() -> None:
        handler = SlowAdminHandler()
        async with admin_server(handler) as server:
            _, writer = await begin_call(server, handler)
            await with_timeout(server.stop())
            await wait_until(lambda: not server._connections)
            writer.close()

    run_on_loop(test)


def test_client_that_reads_a_large_response_slowly_gets_all_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection was closed 0.5 s after the response was written, wherever its bytes were."""
    monkeypatch.setattr(connection_module, "CLOSE_CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with admin_server(SlowAdminHandler()) as server:
            with slow_reader() as client:
                await client.connect(server.port)
                await client.send(get_request("/ops/stats"))
                await asyncio.sleep(0.7)
                await client.send(b"more")  # unread bytes would reset the connection
                response = await client.read_to_the_end()
                assert response.endswith(METRICS)

    run_on_loop(test)


def test_call_in_progress_is_not_closed_for_a_new_connection_while_others_need_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The oldest connection was closed, although the response to its call was still due."""
    monkeypatch.setattr(server_module, "MAX_CONNECTIONS", 2)

    async def test() -> None:
        handler = SlowAdminHandler()
        async with admin_server(handler) as server:
            reader, writer = await begin_call(server, handler)
            answered_reader, answered_writer = await with_timeout(
                asyncio.open_connection(LOOPBACK, server.port)
            )
            answered_writer.write(get_request("/ops/readiness"))
            assert (await with_timeout(answered_reader.read())).startswith(b"HTTP/1.1 200")
            await wait_until(lambda: any(each.is_delivered() for each in server._connections))
            third_reader, third_writer = await with_timeout(asyncio.open_connection(LOOPBACK, server.port))
            third_writer.write(get_request("/ops/readiness"))
            assert (await with_timeout(third_reader.read())).startswith(b"HTTP/1.1 200")
            handler.may_complete.set()
            assert (await with_timeout(reader.read())).startswith(b"HTTP/1.1 200")
            for each in (writer, answered_writer, third_writer):
                each.close()

    run_on_loop(test)
