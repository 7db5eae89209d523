"""Attempts over loopback sockets: what each response or failure means."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import closing

import pytest

from qos_gateway.server.endpoints import response_receiver
from qos_gateway.server.endpoints.connection import EndpointConnection
from qos_gateway.server.endpoints.responses import AttemptResult, LoadReport, read_load_report, read_response
from qos_gateway.server.networking.clock import monotonic_unix_ns
from qos_gateway.server.networking.resp import ResponseFrames
from qos_gateway.types import Outcome
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import FakeEndpoint, bulk_string, success_reply
from tests.support.resp_connection import Connection

SECOND = 1_000_000_000


CLOCK = monotonic_unix_ns()


@pytest.mark.parametrize(
    ("answer", "outcome", "value", "report"),
    [
        (success_reply(b"\x00\r\n\xff"), Outcome.OK, b"\x00\r\n\xff", {"load_share": 0.5, "concurrent": 3.0}),
        (success_reply(b"", None), Outcome.OK, b"", {}),
        (success_reply(b"x" * (64 << 10), None), Outcome.OK, b"x" * (64 << 10), {}),
        (b"-ERR failed\r\n", Outcome.ERROR, None, {}),
        (b"-ERR failed util=0.9,inflight=2\r\n", Outcome.ERROR, None, {"util": 0.9, "inflight": 2.0}),
        (b"-ERR failed used=37 util=0.9\r\n", Outcome.ERROR, None, {"used": 37.0, "util": 0.9}),
        (b"*3\r\n$1\r\nv\r\n$14\r\nused=37,cost=4\r\n$-1\r\n", Outcome.OK, b"v", {"used": 37.0, "cost": 4.0}),
        (b"-BUSY used=0\r\n", Outcome.OVERLOADED, None, {"used": 0.0}),
        (b"-BUSY\r\n", Outcome.OVERLOADED, None, {}),
        (b"-BUSY util=1\r\n", Outcome.OVERLOADED, None, {"util": 1.0}),
        # Served, though a report can't be read.
        (success_reply(b"v", b"load_share=much"), Outcome.OK, b"v", {}),
        (success_reply(b"v", b"\xff\x00,="), Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n*2\r\n:1\r\n$1\r\nx\r\n$-1\r\n", Outcome.OK, b"v", {}),
        (b"*3\r\n$1\r\nv\r\n-odd\r\n+odd\r\n", Outcome.OK, b"v", {}),
    ],
)
def test_outcome_of_each_response(
    answer: bytes, outcome: Outcome, value: bytes | None, report: LoadReport
) -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1)
            connection, words = await endpoint.next_command()
            assert words[:3] == [b"CALL.POST", b"c", b"i"]
            assert words[4] == b"B"
            left = words[3].removeprefix(b"c=x,d=").removesuffix(b",k=y")
            assert 0 < int(left) <= 3000
            connection.send(answer)
            assert await b.end() == (1, outcome, value, report)

    run_on_loop(test)


@pytest.mark.parametrize(
    "answer",
    [
        b"-SYNTAX\r\n",
        b"-ERRfailed\r\n",
        b"-BUSYBODY\r\n",
        b"-\r\n",
        b"-\xff\xfe\r\n",
        b"*3\r\n$-1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n:1\r\n$-1\r\n$-1\r\n",
        b"*3\r\n*1\r\n$1\r\nv\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*2\r\n$1\r\nv\r\n$-1\r\n",
        b"*4\r\n$1\r\nv\r\n",
        b"*100000000\r\n",
        b"$1\r\nx\r\n",
        b"$-1\r\n",
        b"+OK\r\n",
        b":7\r\n",
        b"_\r\n",
        b"%1\r\n+a\r\n:1\r\n",
        b">3\r\n",
        b"!not resp\r\n",
        b"x" * 4096,
        b"-" + b"e" * 4096,
        b"*3\r\n$3000000000\r\n" + b"x" * 90_000,
        b"*3\r\n$4194305\r\n",
        b"*3\r\n$+1\r\nv\r\n",
        b"*3\r\n$1\r\nvXX$-1\r\n$-1\r\n",
        b"*3\r\n$4\r\nv\r\n$-1\r\n$-1\r\n",
        b"*3\n$1\nv\n$-1\n$-1\n",
        b"*3\r\n$1\r\nv\r\n*100000000\r\n",
        b"*3\r\n$1\r\nv\r\n*1\r\n*1\r\n*1\r\n",
        b"*3\r\n$1\r\nv\r\n$-1\r\n$70000\r\n",
        b"*3\r\n$5\r\nhal",
    ],
)
@pytest.mark.parametrize("pieces", [False, True])
def test_malformed_response_may_have_been_executed_and_closes_the_connection(
    answer: bytes, pieces: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Half a response is malformed once the rest has stayed away for the stall time-out.
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.05)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1)
            connection, _ = await endpoint.next_command()
            head = answer[:3] if pieces else b""
            connection.send(head)
            await asyncio.sleep(0)
            connection.send(answer[len(head) :])
            assert await b.end() == (1, Outcome.RESET, None, {})
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert b.pools.open_connections == 0
            assert b.ends.empty()

    run_on_loop(test)


def test_half_a_response_that_breaks_off_ends_the_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.02)

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: faults.append(context))
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            attempt = b.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(b"*3\r\n$5\r\nhal")
            pooled = attempt.connection
            assert isinstance(pooled, EndpointConnection)
            await wait_until(lambda: pooled.timer is not None)
            connection.abort()
            assert (await b.end())[:2] == (1, Outcome.RESET)
            assert pooled.timer is None
            await asyncio.sleep(2 * response_receiver.RESPONSE_STALL_TIMEOUT_S)  # no timer is left
            assert faults == []
            assert b.ends.empty()

    run_on_loop(test)


@pytest.mark.parametrize("size", [1, 2, 3, 7])
def test_response_in_pieces_is_read_whole(size: int) -> None:
    async def test() -> None:
        frames, whole = ResponseFrames(), success_reply(b"\r\n$1\r\n" * 20)
        ends = [frames.scan(whole[at : at + size], 0) for at in range(0, len(whole), size)]
        assert ends[:-1] == [-1] * (len(ends) - 1)
        assert ends[-1] == (len(whole) - 1) % size + 1
        assert not frames.is_midway

    run_on_loop(test)


def test_no_array_is_allocated_before_its_elements_have_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What hiredis is given is bounded: an array of a hundred million places stalls every collection."""
    fed: list[bytes] = []

    class FeedRecorder:
        def feed(self, data: bytes) -> None:
            fed.append(data)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            attempt = b.start(1)
            connection, _ = await endpoint.next_command()
            assert isinstance(attempt.connection, EndpointConnection)
            monkeypatch.setattr(attempt.connection.responses, "parser", FeedRecorder())
            connection.send(b"*3\r\n$1\r\nv\r\n*100000000\r\n")
            assert (await b.end())[1] is Outcome.RESET
            assert not any(b"00000" in data for data in fed)

    run_on_loop(test)


def test_refused_connect_is_not_executed() -> None:
    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as unused:
            port = unused.getsockname()[1]
        async with endpoint_harness(port=port) as b:
            b.start(1)
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert b.pools.open_connections == 0

    run_on_loop(test)


@pytest.mark.parametrize("given_up_by", ["connect time-out", "attempt time-out"])
def test_unfinished_connect_is_not_executed(given_up_by: str) -> None:
    async def test() -> None:
        # A full accept queue leaves a connect unanswered, as a vanished machine does.
        with closing(socket.socket()) as full:
            full.bind((LOOPBACK, 0))
            full.listen(0)
            address = full.getsockname()
            fill = [socket.socket() for _ in range(4)]
            for one in fill:
                one.setblocking(False)
                one.connect_ex(address)
            late = given_up_by == "connect time-out"
            async with endpoint_harness(port=address[1], connect=0.05 if late else 20.0) as b:
                b.start(1, timeout=None if late else 0.05)
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
                assert b.pools.open_connections == 0
            for one in fill:
                one.close()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "end", "time-out", "cancel"])
def test_after_the_last_byte_it_may_have_been_executed(how: str) -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            attempt = b.start(1)
            connection, _ = await endpoint.next_command()
            wanted = Outcome.RESET
            if how == "reset":
                connection.abort()
            elif how == "end":
                connection.writer.close()
            elif how == "time-out":
                b.pools.expire_attempt(attempt)
                wanted = Outcome.TIMEOUT
            else:
                b.pools.cancel_attempt(attempt)
                wanted = Outcome.CANCELLED
            assert await b.end() == (1, wanted, None, {})
            # The connection is closed too: a response that still comes belongs to no attempt.
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert b.pools.open_connections == 0
            assert b.ends.empty()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "time-out"])
def test_break_before_the_last_byte_is_not_executed(how: str) -> None:
    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            async with endpoint_harness(port=server.getsockname()[1]) as b:
                # More than both socket buffers hold, so that some of it stays behind.
                attempt = b.start(1, body=b"x" * (32 << 20))
                loop = asyncio.get_running_loop()
                server.setblocking(False)
                taken, _ = await with_timeout(loop.sock_accept(server))
                await wait_until(
                    lambda: (
                        isinstance(attempt.connection, EndpointConnection)
                        and attempt.connection.transport is not None
                    )
                )
                if how == "reset":
                    taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    taken.close()
                else:
                    b.pools.expire_attempt(attempt)
                    taken.close()
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run_on_loop(test)


@pytest.mark.parametrize("size", [1, 8 << 20])
def test_reset_right_after_the_last_byte_may_have_been_executed_however_late_that_was_written(
    size: int,
) -> None:
    """What one write does not take is written later, by the loop itself: out is out from then on."""

    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            async with endpoint_harness(port=server.getsockname()[1]) as b:
                loop = asyncio.get_running_loop()
                server.setblocking(False)
                b.start(1, body=b"x" * (size - 1) + b"y")
                taken, _ = await with_timeout(loop.sock_accept(server))
                taken.setblocking(False)
                data = b""
                while not data.endswith(b"y\r\n"):
                    data = await with_timeout(loop.sock_recv(taken, 1 << 20))
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                taken.close()
                assert (await b.end())[:2] == (1, Outcome.RESET)
                assert b.metrics.attempts == 1

    run_on_loop(test)


def test_nothing_still_connecting_is_written_past_its_idempotency_window() -> None:
    """A repeat decided within the window, on a connection that comes up when the window is over."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1, send_deadline=CLOCK())
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            b.start(2, send_deadline=CLOCK() + 60 * SECOND)
            assert (await endpoint.next_command())[1][2] == b"i"
            assert endpoint.commands.empty()
            assert b.pools.open_connections == 1

    run_on_loop(test)


def test_attempt_ends_once_though_it_is_cancelled_while_its_failure_is_scheduled() -> None:
    async def test() -> None:
        async with endpoint_harness(port=1) as b:
            attempt = b.start(1, endpoint=99)
            b.pools.cancel_unsent(attempt)
            b.start(2, endpoint=99)
            assert (await b.end())[:2] == (1, Outcome.NOT_SENT)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            assert b.ends.empty()

    run_on_loop(test)


def test_attempt_at_an_unknown_endpoint_is_not_executed() -> None:
    async def test() -> None:
        async with endpoint_harness(port=1) as b:
            b.start(1, endpoint=99)
            assert b.ends.empty()  # reported in a later turn of the loop
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run_on_loop(test)


@pytest.mark.parametrize("number", [b"much", b"nan", b"inf", b"-1", b"+1", b"1_0", b" 1", b"1e999", b""])
def test_load_report_must_be_finite_numbers_from_0_up(number: bytes) -> None:
    assert read_response([b"v", None, b"util=" + number]) == AttemptResult(Outcome.OK, b"v", {})


def test_load_report_is_read_as_the_protocol_writes_it() -> None:
    assert read_load_report(b"inflight=7,util=0.61,tiny=1e-05") == {
        "inflight": 7.0,
        "util": 0.61,
        "tiny": 1e-05,
    }


def test_connection_helper_reads_whole_responses() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with listening(endpoint):
            client = Connection(*await asyncio.open_connection(LOOPBACK, endpoint.port))
            client.send(b"*1\r\n$4\r\nPI")
            client.send(b"NG\r\n")
            connection, words = await endpoint.next_command()
            assert words == [b"PING"]
            connection.send(bulk_string(b"x"))
            assert await client.next_message() == b"x"
            client.abort()

    run_on_loop(test)
