"""Large values and slow peers: what passes through as it comes, and what a break looks like."""

from __future__ import annotations

import asyncio
import socket

import pytest

from qos_gateway.server import backends, clients
from qos_gateway.server.resp import LARGE_MOST, VALUE_MOST, AnswerFrames, FrameError
from qos_gateway.types import AttemptEnded, ClientDisconnected, Outcome, ResponseStarted, Send
from tests.server.test_clients import SECOND, let_time_pass, only_backend, script
from tests.support.servers import LOCAL, World, call, run, served, soon, until, world


def value(size: int) -> bytes:
    return (bytes(range(256)) * (size // 256 + 1))[:size]


def figures(w: World) -> tuple[int, int, int]:
    return tuple(w.gateway.metrics.ended[0].values())  # type: ignore[return-value]


@pytest.mark.parametrize("size", [VALUE_MOST, VALUE_MOST + 1, 300_000, LARGE_MOST])
@pytest.mark.parametrize("piece", [4099, 1 << 20])
def test_value_of_any_size_passes_unchanged_and_the_connections_serve_on(size: int, piece: int) -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            for number in range(2):
                client.send(call(number=number))
                connection, _ = await w.backend.command()
                answer = served(value(size))
                for at in range(0, len(answer), piece):
                    connection.send(answer[at : at + piece])
                    await soon(connection.writer.drain())
                assert await client.next() == value(size)
            client.send(call(number=2) + call(number=3))
            for _ in range(2):  # on a connection each, so either may come first
                connection, words = await w.backend.command()
                connection.send(served(b"small %d" % int(words[2], 16)))
            assert [await client.next(), await client.next()] == [b"small 2", b"small 3"]
            assert w.backend.ended == 0
            assert figures(w) == (4, 0, 0)
            assert w.gateway.clients.relays == 0
            assert not w.gateway.requests._requests
            assert not w.gateway.dispatcher.engine.in_flight

    run(test)


def test_large_value_goes_out_before_its_last_byte_has_come_and_outlasts_the_clients_time() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Send(a.request_id, backend, SECOND // 50)])
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            answer = served(value(200_000))
            connection.send(answer[:100_000])
            assert (await soon(client.reader.readexactly(9_000)))[:9] == b"$200000\r\n"
            (begun,) = s.of(ResponseStarted)
            assert begun.endpoint == backend
            assert begun.attempt == 0
            let_time_pass(w, s)
            await asyncio.sleep(0.05)  # the attempt's own time-out is over by then, too
            connection.send(answer[100_000:])
            rest = await soon(client.reader.readexactly(200_011 - 9_000))
            assert rest == (b"$200000\r\n" + value(200_000) + b"\r\n")[9_000:]
            await until(lambda: bool(s.of(AttemptEnded)))
            (end,) = s.of(AttemptEnded)
            assert end.outcome is Outcome.OK
            assert end.request_finished
            assert end.load_report == (0.5, 3.0)
            assert end.elapsed == begun.elapsed
            assert not s.of(ClientDisconnected)

    run(test)


@pytest.mark.parametrize("how", ["break", "spoilt", "stall"])
def test_value_that_breaks_off_ends_its_clients_connection_without_a_second_attempt(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(backends, "STALL", 0.02)
    monkeypatch.setattr(backends, "STALL_LARGE", 0.1)

    async def test() -> None:
        async with world() as w:
            client, other = await w.client(), await w.client()
            client.send(call(number=1))
            connection, _ = await w.backend.command()
            connection.send(served(value(100_000))[:80_000])
            await soon(client.reader.readexactly(1000))
            if how == "break":
                connection.abort()
            elif how == "spoilt":
                connection.send(b"x" * 40_000)
            assert len(await soon(client.reader.read())) < 100_011 - 1000  # told by the end of the connection
            assert w.backend.commands.empty()
            assert figures(w) == (0, 0, 1)
            other.send(call(number=2))
            again, _ = await w.backend.command()
            again.send(served(b"v"))
            assert await other.next() == b"v"
            assert w.gateway.clients.relays == 0
            assert not w.gateway.dispatcher.engine.in_flight

    run(test)


def test_order_server_is_read_no_faster_than_the_client_takes_it_and_nothing_is_lost() -> None:
    async def test() -> None:
        async with world() as w:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 10)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (LOCAL, w.gateway.clients.port))
            await loop.sock_sendall(sock, call(wait_ms=60_000))
            connection, _ = await w.backend.command()
            whole = value(LARGE_MOST)
            connection.send(served(whole))
            (client,) = w.gateway.clients._clients
            await until(lambda: client.blocked)
            transport = client._transport
            assert transport is not None
            most = w.gateway.clients.buffer + 4 * backends.READ_MOST
            got = bytearray()
            while len(got) < len(whole) + 12:
                assert transport.get_write_buffer_size() <= most
                got += await soon(loop.sock_recv(sock, 1 << 16))
            assert got == b"$%d\r\n%b\r\n" % (len(whole), whole)
            sock.close()

    run(test)


def test_client_that_leaves_in_the_middle_of_a_value_frees_the_order_server() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            connection.send(served(value(1 << 20))[:500_000])
            await soon(client.reader.readexactly(1000))
            client.abort()
            await until(lambda: w.backend.ended == 1 and not w.gateway.requests._requests)
            assert w.gateway.clients.relays == 0
            assert not w.gateway.dispatcher.engine.in_flight
            assert figures(w) == (0, 0, 0)

    run(test)


def test_large_value_behind_another_answer_waits_for_its_turn() -> None:
    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call(number=1) + call(number=2))
            held = {}
            for _ in range(2):
                connection, words = await w.backend.command()
                held[words[2]] = connection
            held[b"%016x" % 2].send(served(value(1 << 20)))
            await until(
                lambda: any(r.streaming_attempt is not None for r in w.gateway.requests._requests.values())
            )
            held[b"%016x" % 1].send(served(b"first"))
            assert await client.next() == b"first"
            assert await client.next() == value(1 << 20)

    run(test)


def test_of_two_large_values_for_one_request_only_one_is_passed_on() -> None:
    async def test() -> None:
        async with world() as w:
            backend = only_backend(w)
            s = script(w, lambda a: [Send(a.request_id, backend, 0), Send(a.request_id, backend, 0)])
            client = await w.client()
            client.send(call())
            first, _ = await w.backend.command()
            second, _ = await w.backend.command()
            answer = served(value(100_000))
            first.send(answer[:90_000])
            await until(lambda: bool(s.of(ResponseStarted)))
            second.send(answer)
            await until(lambda: bool(s.of(AttemptEnded)))
            assert s.of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            first.send(answer[90_000:])
            assert await client.next() == value(100_000)
            assert len(s.of(ResponseStarted)) == 1

    run(test)


def test_answer_that_still_comes_is_not_cut_off_however_slowly(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(backends, "STALL", 60.0)

    async def test() -> None:
        async with world() as w:
            client = await w.client()
            client.send(call())
            connection, _ = await w.backend.command()
            answer, heard = served(b"v" * 30), 0.0
            for at in range(0, len(answer) - 9, 9):
                connection.send(answer[at : at + 9])
                (link,) = w.gateway.backends._pools[only_backend(w)].links
                await until(lambda link=link: link.heard_at > 0.0)  # type: ignore[misc]
                heard = link.heard_at
                link.heard_at = heard - 59.0  # a piece a minute, as it were
                link._look()
                assert link.timer is not None
                assert link.attempt is not None
                link.heard_at = 0.0
            link.heard_at = heard - 61.0
            link._look()
            assert w.gateway.activity.attempt_outcomes[Outcome.RESET] == 1

    run(test)


def test_client_may_spend_two_seconds_on_a_head() -> None:
    assert clients.MUTE > 2.0
    assert clients.MUTE + clients.LOOK < 3.0


def test_frames_tell_where_a_large_value_begins() -> None:
    frames, answer = AnswerFrames(), served(value(70_000))
    head = answer.index(b"\r\n", 5) + 2
    assert frames.scan(answer[: head - 3], 0) == -1
    assert not frames.large
    assert frames.scan(answer[head - 3 : 5000], 0) == -1
    assert (frames.large, frames.large_at) == (70_000, 3)
    with pytest.raises(FrameError):
        AnswerFrames().scan(b"*3\r\n$%d\r\n" % (LARGE_MOST + 1), 0)
