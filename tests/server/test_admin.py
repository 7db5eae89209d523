"""The operators' door as its callers see it, and the figures it shows."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from qos_gateway.server import admin as operators
from qos_gateway.server.admin import AdminServer
from qos_gateway.server.metrics import Gauges, Metrics, RequestResult, render
from tests.support.servers import (
    LOOPBACK,
    call_command,
    endpoint_entry,
    endpoint_list,
    gateway_harness,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)


class Desk:
    """Stands in for the gateway."""

    def __init__(self) -> None:
        self.open = True
        self.asked: list[tuple[str, bool]] = []

    def accepts_clients(self) -> bool:
        return self.open

    def render_metrics(self) -> bytes:
        return b"a:1|c\n"

    async def set_endpoint_disabled(self, name: str, disabled: bool) -> bool:
        self.asked.append((name, disabled))
        if name == "fault":
            raise RuntimeError("broken")
        return name == "s-1"


@asynccontextmanager
async def door(desk: Desk) -> AsyncIterator[AdminServer]:
    made = AdminServer((LOOPBACK, 0), desk)
    await made.start()
    try:
        yield made
    finally:
        made.close()


async def say(port: int, *pieces: bytes) -> tuple[int, bytes]:
    """Status and body of what a call gets, read to the end of the connection; 0 where it gets nothing."""
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


def get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def post(path: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body)


def test_readiness_is_a_yes_only_while_clients_are_taken() -> None:
    async def test() -> None:
        desk = Desk()
        async with door(desk) as d:
            assert (await say(d.port, get("/ops/readiness")))[0] == 200
            desk.open = False
            assert (await say(d.port, get("/ops/readiness")))[0] == 503

    run_on_loop(test)


def test_calls_are_answered_though_they_come_byte_by_byte() -> None:
    async def test() -> None:
        desk = Desk()
        async with door(desk) as d:
            whole = post("/ops/order-servers/down", b"s-1\n")
            status, _ = await say(d.port, *(whole[i : i + 1] for i in range(len(whole))))
            assert status == 200
            assert desk.asked == [("s-1", True)]
            assert (await say(d.port, post("/ops/order-servers/up", b"s-1")))[0] == 200
            assert desk.asked[1:] == [("s-1", False)]
            assert (await say(d.port, post("/ops/order-servers/up", b"s-9")))[0] == 404
            assert (await say(d.port, post("/ops/order-servers/up", b"fault")))[0] == 500
            assert await say(d.port, get("/ops/stats")) == (200, b"a:1|c\n")

    run_on_loop(test)


@pytest.mark.parametrize(
    ("said", "status"),
    [
        (b"junk\r\n\r\n", 400),
        (get("/ops/other"), 404),
        (get("/ops/order-servers/down"), 405),
        (post("/ops/stats", b""), 405),
        (b"HEAD /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"GET /ops/stats HTTP/1.1\r\n\r\n", 400),  # no host
        (post("/ops/order-servers/down", b""), 400),
        (post("/ops/order-servers/down", b"\xff\xfe"), 400),
        (post("/ops/order-servers/down", b"s" * 300), 413),
        (b"GET /ops/stats HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 20_000, 431),
    ],
)
def test_what_is_no_call_gets_a_plain_no(said: bytes, status: int) -> None:
    async def test() -> None:
        desk = Desk()
        async with door(desk) as d:
            assert (await say(d.port, said))[0] == status
            assert desk.asked == []
            assert (await say(d.port, get("/ops/readiness")))[0] == 200

    run_on_loop(test)


def test_caller_without_a_whole_call_is_told_so_in_time(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(operators, "REQUEST_TIMEOUT_S", 0.02)
        async with door(Desk()) as d:
            assert (await say(d.port, get("/ops/stats")[:20]))[0] == 408
            assert (await say(d.port, post("/ops/order-servers/down", b"s-1")[:-1]))[0] == 408

    run_on_loop(test)


def test_callers_who_finish_no_call_do_not_starve_the_door() -> None:
    async def test() -> None:
        async with door(Desk()) as d:
            idle = [
                await with_timeout(asyncio.open_connection(LOOPBACK, d.port))
                for _ in range(3 * operators.MAX_CONNECTIONS)
            ]
            assert (await say(d.port, get("/ops/readiness")))[0] == 200
            await wait_until(lambda: len(d._connections) <= operators.MAX_CONNECTIONS)
            for _, writer in idle:
                writer.close()

    run_on_loop(test)


def test_taken_address_is_tried_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(operators, "BIND_RETRY_INTERVAL_S", 0.005)
        async with door(Desk()) as first:
            second = AdminServer((LOOPBACK, first.port), Desk())
            await second.start()
            first.close()
            await wait_until(lambda: second.port == first.port)
            assert (await say(second.port, get("/ops/readiness")))[0] == 200
            second.close()

    run_on_loop(test)


def test_figures_are_rendered_one_a_line() -> None:
    figures = Metrics((b"stock-check", b"look.up|x"))
    figures.count_request(0, RequestResult.SERVED)
    figures.count_request(1, RequestResult.REJECTED)
    figures.count_request(1, RequestResult.FAILED)
    figures.attempts = 5
    assert render(figures, Gauges(14, 9, 2)).decode().splitlines() == [
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
    ]


def read(text: bytes) -> dict[str, int]:
    lines = (line.partition(":") for line in text.decode().splitlines())
    return {name.removeprefix("edge_router."): int(value.partition("|")[0]) for name, _, value in lines}


def test_each_request_ends_in_one_figure_and_attempts_count_once_written() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            for number, ending in enumerate((success_reply(b"v"), b"-ERR failed\r\n")):
                client.send(call_command("charge", number))
                connection, _ = await harness.backend.next_command()
                assert read(harness.gateway.operations.render_metrics())["in_progress"] == 1
                assert read(harness.gateway.operations.render_metrics())["upstream_tries"] == number + 1
                connection.send(ending)
                await client.next_message()
            client.send(call_command("charge", 2, wait_ms=0))  # no time left for an attempt
            assert str(await client.next_message()).startswith("BUSY ")
            client.send(b"*1\r\n$4\r\nPING\r\n*2\r\n$8\r\nCALL.GET\r\n$1\r\nx\r\n")
            assert await client.next_message() == b"PONG"  # neither is a request
            await client.next_message()
            figures = read(harness.gateway.operations.render_metrics())
            assert [figures[f"handled.charge.{how.value}"] for how in RequestResult] == [1, 1, 1]
            assert sum(n for name, n in figures.items() if name.startswith("handled.")) == 3
            assert (figures["upstream_tries"], figures["in_progress"]) == (2, 0)
            assert (figures["known_order_servers"], figures["skipped_order_servers"]) == (1, 0)

    run_on_loop(test)


def test_endpoint_disabled_by_operators_gets_no_request_until_it_is_enabled() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            gateway = harness.gateway
            assert not await gateway.operations.set_endpoint_disabled("nobody", True)
            assert not await gateway.operations.set_endpoint_disabled("nobody", False)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.backend.next_command()
            for _ in range(2):
                assert await gateway.operations.set_endpoint_disabled("s-1", True)
            assert read(gateway.operations.render_metrics())["skipped_order_servers"] == 1
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"  # what it had is finished
            client.send(call_command(number=2))
            assert str(await client.next_message()).startswith("BUSY")
            # Whatever discovery says meanwhile.
            agent = harness.discovery
            for seq, words in enumerate((("terminating", 0), ("terminated", 0), ("in_service", 7)), 2):
                agent.send_update(
                    endpoint_list(seq, endpoint_entry("s-1", harness.backend.port, *words), whole=False)
                )
            await wait_until(lambda: gateway.discovery._list.version == 4)
            client.send(call_command(number=3))
            assert str(await client.next_message()).startswith("BUSY")
            assert read(gateway.operations.render_metrics())["skipped_order_servers"] == 1
            assert await gateway.operations.set_endpoint_disabled("s-1", False)
            assert await gateway.operations.set_endpoint_disabled("s-1", False)
            assert read(gateway.operations.render_metrics())["skipped_order_servers"] == 0
            while not harness.backend.commands.qsize():
                client.send(call_command(number=4))
                answered = asyncio.ensure_future(client.next_message())
                await asyncio.wait(
                    (answered, asyncio.ensure_future(asyncio.sleep(0.1))), return_when=asyncio.FIRST_COMPLETED
                )
                if not answered.done():
                    connection, _ = await harness.backend.next_command()
                    connection.send(success_reply(b"back"))
                    assert await answered == b"back"
                    break

    run_on_loop(test)
