"""The operators' API as its clients see it, and the metrics that it renders."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from qos_gateway.server.admin import connection as admin_connection
from qos_gateway.server.admin import server as admin
from qos_gateway.server.admin.server import AdminServer
from qos_gateway.server.observability.close_reasons import CloseReason
from qos_gateway.server.observability.invariants import Invariant, InvariantMonitor
from qos_gateway.server.observability.metrics import Gauges, Metrics, RequestResult, render
from qos_gateway.server.observability.retry_causes import RetryCause
from qos_gateway.types import RejectReason
from tests.support.clients import call_command
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness


class FakeAdminHandler:
    """Stands in for the gateway."""

    def __init__(self) -> None:
        self.is_accepting = True
        self.calls: list[tuple[str, bool]] = []

    def accepts_clients(self) -> bool:
        return self.is_accepting

    def render_metrics(self) -> bytes:
        return b"a:1|c\n"

    async def set_endpoint_disabled(self, name: str, disabled: bool) -> bool:
        self.calls.append((name, disabled))
        if name == "fault":
            raise RuntimeError("broken")
        return name == "s-1"


@asynccontextmanager
async def admin_server(handler: FakeAdminHandler) -> AsyncIterator[AdminServer]:
    server = AdminServer((LOOPBACK, 0), handler)
    await server.start()
    try:
        yield server
    finally:
        server.close()


async def send_request(port: int, *pieces: bytes) -> tuple[int, bytes]:
    """Return status and body of the response, read to the end of the connection; 0 without one."""
    reader, writer = await with_timeout(asyncio.open_connection(LOOPBACK, port))
    for piece in pieces:
        writer.write(piece)
        await asyncio.sleep(0)
    try:
        answer = await with_timeout(reader.read())
    except ConnectionError:
        answer = b""
    writer.close()
    head, _, body = answer.partition(b"\r\n\r\n")
    return (int(head.split()[1]) if head else 0), body


def get_request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def post_request(path: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body)


def test_readiness_is_200_only_while_clients_are_accepted() -> None:
    async def test() -> None:
        handler = FakeAdminHandler()
        async with admin_server(handler) as server:
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 200
            handler.is_accepting = False
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 503

    run_on_loop(test)


def test_requests_are_answered_though_they_come_byte_by_byte() -> None:
    async def test() -> None:
        handler = FakeAdminHandler()
        async with admin_server(handler) as server:
            whole = post_request("/ops/order-servers/down", b"s-1\n")
            status, _ = await send_request(server.port, *(whole[i : i + 1] for i in range(len(whole))))
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
        (b"GET /ops/stats HTTP/1.1\r\n\r\n", 400),  # no host
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
        monkeypatch.setattr(admin_connection, "REQUEST_TIMEOUT_S", 0.02)
        async with admin_server(FakeAdminHandler()) as server:
            assert (await send_request(server.port, get_request("/ops/stats")[:20]))[0] == 408
            without_last_byte = post_request("/ops/order-servers/down", b"s-1")[:-1]
            assert (await send_request(server.port, without_last_byte))[0] == 408

    run_on_loop(test)


def test_incomplete_requests_do_not_starve_the_api() -> None:
    async def test() -> None:
        async with admin_server(FakeAdminHandler()) as server:
            idle = [
                await with_timeout(asyncio.open_connection(LOOPBACK, server.port))
                for _ in range(3 * admin.MAX_CONNECTIONS)
            ]
            assert (await send_request(server.port, get_request("/ops/readiness")))[0] == 200
            await wait_until(lambda: len(server._connections) <= admin.MAX_CONNECTIONS)
            for _, writer in idle:
                writer.close()

    run_on_loop(test)


def test_address_in_use_is_tried_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(admin, "BIND_RETRY_INTERVAL_S", 0.005)
        async with admin_server(FakeAdminHandler()) as first:
            second = AdminServer((LOOPBACK, first.port), FakeAdminHandler())
            await second.start()
            first.close()
            await wait_until(lambda: second.port == first.port)
            assert (await send_request(second.port, get_request("/ops/readiness")))[0] == 200
            second.close()

    run_on_loop(test)


def test_metrics_are_rendered_one_a_line() -> None:
    monitor = InvariantMonitor()
    metrics = Metrics((b"stock-check", b"look.up|x"), monitor.violations)
    metrics.count_request(0, RequestResult.SERVED)
    metrics.count_request(1, RequestResult.REJECTED)
    metrics.count_request(1, RequestResult.FAILED)
    metrics.attempts = 5
    metrics.rejections[RejectReason.QUOTA] += 2
    metrics.retries[RetryCause.CONNECT_FAILED] += 3
    metrics.client_closes[CloseReason.EVICTED] += 4
    monitor.report(Invariant.CLOSE, "unanswered_idle", b"9b1f03aa5c7e2d41")
    assert render(metrics, Gauges(14, 9, 2)).decode().splitlines() == [
        "edge_router.handled.stock-check.passed:1|c",
        "edge_router.handled.stock-check.dropped:0|c",
        "edge_router.handled.stock-check.bad_gateway:0|c",
        "edge_router.handled.look_up_x.passed:0|c",
        "edge_router.handled.look_up_x.dropped:1|c",
        "edge_router.handled.look_up_x.bad_gateway:1|c",
        "edge_router.upstream_tries:5|c",
        "edge_router.in_progress:14|g",
        "edge_router.known_order_servers:9|g",
        "edge_router.skipped_order_servers:2|g",
        "edge_router.rejections.unspecified:0|c",
        "edge_router.rejections.customer_cap:0|c",
        "edge_router.rejections.load_limit:0|c",
        "edge_router.rejections.quota:2|c",
        "edge_router.rejections.no_endpoint:0|c",
        "edge_router.rejections.no_retry:0|c",
        "edge_router.retries.hedged:0|c",
        "edge_router.retries.error:0|c",
        "edge_router.retries.overloaded:0|c",
        "edge_router.retries.timeout:0|c",
        "edge_router.retries.connect_failed:3|c",
        "edge_router.retries.reset:0|c",
        "edge_router.retries.cancelled:0|c",
        "edge_router.retries.not_sent:0|c",
        "edge_router.client_closes.client_closed:0|c",
        "edge_router.client_closes.hangup_seen:0|c",
        "edge_router.client_closes.idle:0|c",
        "edge_router.client_closes.evicted:4|c",
        "edge_router.client_closes.drained:0|c",
        "edge_router.client_closes.protocol_error:0|c",
        "edge_router.client_closes.write_stalled:0|c",
        "edge_router.client_closes.value_aborted:0|c",
        "edge_router.client_closes.shutdown:0|c",
        "edge_router.violations.send:0|c",
        "edge_router.violations.repeat:0|c",
        "edge_router.violations.close:1|c",
        "edge_router.violations.start:0|c",
    ]


def metric_values(text: bytes) -> dict[str, int]:
    lines = (line.partition(":") for line in text.decode().splitlines())
    return {name.removeprefix("edge_router."): int(value.partition("|")[0]) for name, _, value in lines}


def test_each_request_counts_in_one_metric_and_attempts_once_written() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            for number, ending in enumerate((success_reply(b"v"), b"-ERR failed\r\n")):
                client.send(call_command("charge", number))
                connection, _ = await harness.endpoint.next_command()
                assert metric_values(harness.gateway.services.operations.render_metrics())["in_progress"] == 1
                assert (
                    metric_values(harness.gateway.services.operations.render_metrics())["upstream_tries"]
                    == number + 1
                )
                connection.send(ending)
                await client.next_message()
            client.send(call_command("charge", 2, wait_ms=0))  # no time left for an attempt
            assert str(await client.next_message()).startswith("BUSY ")
            client.send(b"*1\r\n$4\r\nPING\r\n*2\r\n$8\r\nCALL.GET\r\n$1\r\nx\r\n")
            assert await client.next_message() == b"PONG"  # neither is a request
            await client.next_message()
            values = metric_values(harness.gateway.services.operations.render_metrics())
            assert [values[f"handled.charge.{how.value}"] for how in RequestResult] == [1, 1, 1]
            assert sum(n for name, n in values.items() if name.startswith("handled.")) == 3
            assert (values["upstream_tries"], values["in_progress"]) == (2, 0)
            assert (values["known_order_servers"], values["skipped_order_servers"]) == (1, 0)

    run_on_loop(test)


def test_endpoint_disabled_by_operators_gets_no_request_until_it_is_enabled() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            gateway = harness.gateway
            assert not await gateway.services.operations.set_endpoint_disabled("nobody", True)
            assert not await gateway.services.operations.set_endpoint_disabled("nobody", False)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            for _ in range(2):
                assert await gateway.services.operations.set_endpoint_disabled("s-1", True)
            assert metric_values(gateway.services.operations.render_metrics())["skipped_order_servers"] == 1
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"  # what it had is finished
            client.send(call_command(number=2))
            assert str(await client.next_message()).startswith("BUSY")
            # Whatever discovery says meanwhile.
            agent = harness.discovery
            for seq, words in enumerate((("terminating", 0), ("terminated", 0), ("in_service", 7)), 2):
                agent.send_update(
                    endpoint_list(seq, endpoint_entry("s-1", harness.endpoint.port, *words), whole=False)
                )
            await wait_until(lambda: gateway.discovery._list.version == 4)
            client.send(call_command(number=3))
            assert str(await client.next_message()).startswith("BUSY")
            assert metric_values(gateway.services.operations.render_metrics())["skipped_order_servers"] == 1
            assert await gateway.services.operations.set_endpoint_disabled("s-1", False)
            assert await gateway.services.operations.set_endpoint_disabled("s-1", False)
            assert metric_values(gateway.services.operations.render_metrics())["skipped_order_servers"] == 0
            while not harness.endpoint.commands.qsize():
                client.send(call_command(number=4))
                answered = asyncio.ensure_future(client.next_message())
                await asyncio.wait(
                    (answered, asyncio.ensure_future(asyncio.sleep(0.1))), return_when=asyncio.FIRST_COMPLETED
                )
                if not answered.done():
                    connection, _ = await harness.endpoint.next_command()
                    connection.send(success_reply(b"back"))
                    assert await answered == b"back"
                    break

    run_on_loop(test)
