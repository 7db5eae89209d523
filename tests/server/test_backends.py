"""Pools and attempts over loopback sockets: the outcome of each event, and which connection is used."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, closing

import pytest

from qos_gateway.server import connection_pool, response_receiver
from qos_gateway.server.attempt import Attempt
from qos_gateway.server.backends import BackendConnections
from qos_gateway.server.clock import monotonic_unix_ns
from qos_gateway.server.keep_alive import KeepAliveEstimator
from qos_gateway.server.metrics import Metrics
from qos_gateway.server.resp import ResponseFrames
from qos_gateway.server.responses import AttemptResult, LoadReport, read_load_report, read_response
from qos_gateway.server.value_stream import ResponseSink
from qos_gateway.types import Outcome
from tests.support.servers import (
    LOOPBACK,
    Connection,
    FakeBackend,
    bulk_string,
    listening,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)

SECOND = 1_000_000_000
CLOCK = monotonic_unix_ns()
EndedAttempt = tuple[int, Outcome, bytes | None, LoadReport]


class Bench:
    """Pools to one fake backend (number 7), and how attempts ended."""

    def __init__(self, most: int, connect: float, idle: float, grace: float) -> None:
        self.ends: asyncio.Queue[EndedAttempt] = asyncio.Queue()
        self.metrics = Metrics(())
        self.pools = BackendConnections(
            most,
            connect,
            idle,
            grace,
            CLOCK,
            lambda attempt, *end: self.ends.put_nowait((attempt.request, *end)),
            self.metrics,
            lambda _attempt, _length, _flow: self.sink,
        )
        self.sink: ResponseSink | None = None

    def start(
        self,
        request: int,
        body: bytes = b"B",
        timeout: float | None = None,
        backend: int = 7,
        send_deadline: int = 0,
    ) -> Attempt:
        now = CLOCK()
        command_parts = ((b"CALL.POST", b"c", b"i"), b"c=x,", b",k=y", (body,))
        attempt = Attempt(request, 0, backend, now, now + 3 * SECOND, command_parts, send_deadline)
        self.pools.start_attempt(attempt, timeout)
        return attempt

    async def end(self) -> EndedAttempt:
        return await with_timeout(self.ends.get())


@asynccontextmanager
async def bench(
    backend: FakeBackend | None = None,
    most: int = 100,
    connect: float = 20.0,
    idle: float = 30.0,
    grace: float = 20.0,
    port: int = 0,
) -> AsyncIterator[Bench]:
    made = Bench(most, connect, idle, grace)
    try:
        if backend is None:
            made.pools.set_address(7, (LOOPBACK, port))
            yield made
        else:
            async with listening(backend):
                made.pools.set_address(7, (LOOPBACK, backend.port))
                yield made
    finally:
        made.pools.close()


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
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1)
            connection, words = await backend.next_command()
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
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.next_command()
            head = answer[:3] if pieces else b""
            connection.send(head)
            await asyncio.sleep(0)
            connection.send(answer[len(head) :])
            assert await b.end() == (1, Outcome.RESET, None, {})
            await wait_until(lambda: backend.closed_connections == 1)
            assert b.pools.open_connections == 0
            assert b.ends.empty()

    run_on_loop(test)


def test_half_a_response_that_breaks_off_ends_the_attempt_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(response_receiver, "RESPONSE_STALL_TIMEOUT_S", 0.02)

    async def test() -> None:
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _loop, context: faults.append(context))
        backend = FakeBackend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.next_command()
            connection.send(b"*3\r\n$5\r\nhal")
            pooled = attempt.connection
            assert pooled is not None
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
        assert not frames.midway

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
        backend = FakeBackend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.next_command()
            assert attempt.connection is not None
            monkeypatch.setattr(attempt.connection.responses, "parser", FeedRecorder())
            connection.send(b"*3\r\n$1\r\nv\r\n*100000000\r\n")
            assert (await b.end())[1] is Outcome.RESET
            assert not any(b"00000" in data for data in fed)

    run_on_loop(test)


def test_repeated_response_in_a_later_packet_is_never_taken_for_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with bench(port=server.getsockname()[1]) as b:
                b.start(1)
                taken, _ = await with_timeout(loop.sock_accept(server))
                assert await with_timeout(loop.sock_recv(taken, 4096))
                await with_timeout(loop.sock_sendall(taken, success_reply(b"v")))
                assert (await b.end())[1] is Outcome.OK
                # Between two turns of the loop: in the socket, and not yet read, when the next one starts.
                taken.send(success_reply(b"v"))
                b.start(2)
                other, _ = await with_timeout(loop.sock_accept(server))
                assert await with_timeout(loop.sock_recv(other, 4096))
                await with_timeout(loop.sock_sendall(other, success_reply(b"w")))
                assert (await b.end())[:3] == (2, Outcome.OK, b"w")

    run_on_loop(test)


def test_connection_is_not_reused_at_once_where_another_may_be_opened() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            clock = [100.0]
            b.pools.time = lambda: clock[0]
            b.start(1)
            connection, _ = await backend.next_command()
            connection.send(success_reply(b"v"))
            await b.end()
            b.start(2)
            other, _ = await backend.next_command()
            assert other is not connection
            clock[0] += 0.01
            b.start(3)
            assert (await backend.next_command())[0] is connection

    run_on_loop(test)


def test_refused_connect_is_not_executed() -> None:
    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as unused:
            port = unused.getsockname()[1]
        async with bench(port=port) as b:
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
            async with bench(port=address[1], connect=0.05 if late else 20.0) as b:
                b.start(1, timeout=None if late else 0.05)
                assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
                assert b.pools.open_connections == 0
            for one in fill:
                one.close()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "end", "time-out", "cancel"])
def test_after_the_last_byte_it_may_have_been_executed(how: str) -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            attempt = b.start(1)
            connection, _ = await backend.next_command()
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
            await wait_until(lambda: backend.closed_connections == 1)
            assert b.pools.open_connections == 0
            assert b.ends.empty()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "time-out"])
def test_break_before_the_last_byte_is_not_executed(how: str) -> None:
    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            async with bench(port=server.getsockname()[1]) as b:
                # More than both socket buffers hold, so that some of it stays behind.
                attempt = b.start(1, body=b"x" * (32 << 20))
                loop = asyncio.get_running_loop()
                server.setblocking(False)
                taken, _ = await with_timeout(loop.sock_accept(server))
                await wait_until(
                    lambda: attempt.connection is not None and attempt.connection.transport is not None
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
            async with bench(port=server.getsockname()[1]) as b:
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


def test_pooled_connection_that_ended_unnoticed_is_not_written_to(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with bench(port=server.getsockname()[1]) as b:
                b.start(1)
                for number in (1, 2, 3):
                    taken, _ = await with_timeout(loop.sock_accept(server))
                    assert await with_timeout(loop.sock_recv(taken, 4096))
                    await with_timeout(loop.sock_sendall(taken, success_reply(b"v")))
                    assert (await b.end())[:2] == (number, Outcome.OK)
                    # Reset or ended between two turns of the loop: the gateway has not been notified.
                    if number == 1:
                        taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    taken.close()
                    if number < 3:
                        b.start(number + 1)

    run_on_loop(test)


def test_late_response_is_never_taken_for_the_next_attempt() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            attempt = b.start(1)
            first, _ = await backend.next_command()
            b.pools.expire_attempt(attempt)
            assert (await b.end())[1] is Outcome.TIMEOUT
            b.start(2)
            second, _ = await backend.next_command()
            assert second is not first
            first.send(success_reply(b"late"))
            second.send(success_reply(b"own"))
            assert (await b.end())[:3] == (2, Outcome.OK, b"own")

    run_on_loop(test)


def test_unexpected_data_closes_the_connection() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1)
            connection, _ = await backend.next_command()
            connection.send(success_reply(b"v") + success_reply(b"again"))
            assert (await b.end())[1] is Outcome.OK
            await wait_until(lambda: backend.closed_connections == 1)
            assert b.pools.open_connections == 0

    run_on_loop(test)


def test_connections_are_reused_last_in_first_out_with_one_request_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1)
            b.start(2)
            requests = [await backend.next_command() for _ in range(2)]
            assert requests[0][0] is not requests[1][0]
            for connection, _ in requests:
                connection.send(success_reply(b"v"))
                await b.end()
            for number in (3, 4):
                b.start(number)
                connection, _ = await backend.next_command()
                assert connection is requests[1][0]
                connection.send(success_reply(b"v"))
                await b.end()
            assert b.pools.open_connections == 2

    run_on_loop(test)


def test_idle_connections_expire_before_the_backend_closes_them() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend, idle=0.0) as b:
            b.start(1)
            connection, _ = await backend.next_command()
            connection.send(success_reply(b"v"))
            await b.end()
            b.start(2)  # the old one is expired, swept or not
            other, _ = await backend.next_command()
            assert other is not connection
            other.send(success_reply(b"v"))
            await b.end()
            await wait_until(lambda: backend.closed_connections == 2)  # the sweep finds the second

    run_on_loop(test)


def test_connections_that_are_reset_after_an_idle_time_are_not_kept_so_long() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            clock = [100.0]
            b.pools.time = lambda: clock[0]

            async def reused_after(idle_s: float, reset: bool) -> bool:
                """Send a request after one that was idle so long; return whether both used one connection."""
                b.start(1)
                first, _ = await backend.next_command()
                first.send(success_reply(b"v"))
                await b.end()
                clock[0] += idle_s
                b.start(2)
                second, _ = await backend.next_command()
                second.abort() if reset else second.send(success_reply(b"v"))
                assert (await b.end())[1] is (Outcome.RESET if reset else Outcome.OK)
                clock[0] += 1000.0  # nothing of this round is used again
                return second is first

            for _ in range(3):
                assert await reused_after(0.3, True)
            assert not await reused_after(0.3, False)
            assert await reused_after(0.15, False)
            for _ in range(120):
                b.pools.keep_alive.decay()
            assert await reused_after(0.3, False)  # after a while it is tried again

    run_on_loop(test)


def test_resets_at_any_age_or_rare_ones_do_not_shorten_the_keep_alive() -> None:
    estimator = KeepAliveEstimator(15.0)
    for age in (0.01, 0.02) * 10:
        estimator.record_reuse(age)
        estimator.record_reset(age)
    for _ in range(100):
        estimator.record_reuse(1.0)
    for _ in range(4):
        estimator.record_reset(1.0)
    assert estimator.idle_limit_s == 15.0


def test_connections_are_bounded_and_idle_ones_give_way() -> None:
    async def test() -> None:
        one, two = FakeBackend(), FakeBackend()
        async with listening(two), bench(one, most=1) as b:
            b.pools.set_address(8, (LOOPBACK, two.port))
            b.start(1)
            connection, _ = await one.next_command()
            b.start(2, backend=8)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            connection.send(success_reply(b"v"))
            assert (await b.end())[:2] == (1, Outcome.OK)
            b.start(3, backend=8)
            connection, _ = await two.next_command()
            connection.send(success_reply(b"v"))
            assert (await b.end())[:2] == (3, Outcome.OK)
            assert b.pools.open_connections == 1

    run_on_loop(test)


def test_backend_that_drains_loses_idle_connections_and_finishes_what_it_has() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1)
            b.start(2)
            requests = [await backend.next_command() for _ in range(2)]
            requests[0][0].send(success_reply(b"v"))
            await b.end()
            b.pools.set_address(7, None)
            await wait_until(lambda: backend.closed_connections == 1)
            requests[1][0].send(success_reply(b"w"))
            assert (await b.end())[1:3] == (Outcome.OK, b"w")
            await wait_until(lambda: backend.closed_connections == 2)

    run_on_loop(test)


def test_nothing_still_connecting_is_written_past_the_drain_grace() -> None:
    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend, grace=0.0) as b:
            b.start(1)
            b.pools.set_address(7, None)
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert backend.commands.empty()
            assert b.pools.open_connections == 0

    run_on_loop(test)


def test_nothing_still_connecting_is_written_past_its_idempotency_window() -> None:
    """A repeat decided within the window, on a connection that comes up when the window is over."""

    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend) as b:
            b.start(1, send_deadline=CLOCK())
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            b.start(2, send_deadline=CLOCK() + 60 * SECOND)
            assert (await backend.next_command())[1][2] == b"i"
            assert backend.commands.empty()
            assert b.pools.open_connections == 1

    run_on_loop(test)


def test_attempt_ends_once_though_it_is_cancelled_while_its_failure_is_scheduled() -> None:
    async def test() -> None:
        async with bench(port=1) as b:
            attempt = b.start(1, backend=99)
            b.pools.cancel_unsent(attempt)
            b.start(2, backend=99)
            assert (await b.end())[:2] == (1, Outcome.NOT_SENT)
            assert (await b.end())[:2] == (2, Outcome.CONNECT_FAILED)
            assert b.ends.empty()

    run_on_loop(test)


def test_attempt_at_an_unknown_backend_is_not_executed() -> None:
    async def test() -> None:
        async with bench(port=1) as b:
            b.start(1, backend=99)
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
        backend = FakeBackend()
        async with listening(backend):
            client = Connection(*await asyncio.open_connection(LOOPBACK, backend.port))
            client.send(b"*1\r\n$4\r\nPI")
            client.send(b"NG\r\n")
            connection, words = await backend.next_command()
            assert words == [b"PING"]
            connection.send(bulk_string(b"x"))
            assert await client.next_message() == b"x"
            client.abort()

    run_on_loop(test)


def test_connection_within_its_reuse_delay_is_closed_rather_than_reused_at_the_limit() -> None:
    """At the limit no other may be opened, and a repeated response would be taken for the next one."""

    async def test() -> None:
        backend = FakeBackend()
        async with bench(backend, most=1) as b:
            b.pools.time = lambda: 100.0
            for number in range(3):
                b.start(number)
                connection, _ = await backend.next_command()
                assert connection is backend.connections[number]
                connection.send(success_reply(b"v"))
                assert (await b.end())[:2] == (number, Outcome.OK)
                assert b.pools.open_connections == 1

    run_on_loop(test)
