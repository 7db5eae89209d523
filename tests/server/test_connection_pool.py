"""Connection pools: which connection an attempt uses, and when one is closed."""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import closing

import hiredis
import pytest

from qos_gateway.server.endpoints import connection_pool
from qos_gateway.server.endpoints.keep_alive import KeepAliveEstimator
from qos_gateway.server.networking.clock import monotonic_unix_ns
from qos_gateway.types import Outcome
from tests.support.clients import call_command
from tests.support.descriptors import no_descriptors_left
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.gateway_harness import gateway_harness

SECOND = 1_000_000_000


CLOCK = monotonic_unix_ns()


def test_connection_is_not_reused_at_once_where_another_may_be_opened() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            clock = [100.0]
            b.pools.context.time = lambda: clock[0]
            b.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(success_reply(b"v"))
            await b.end()
            b.start(2)
            other, _ = await endpoint.next_command()
            assert other is not connection
            clock[0] += 0.01
            b.start(3)
            assert (await endpoint.next_command())[0] is connection

    run_on_loop(test)


def test_pooled_connection_that_ended_unnoticed_is_not_written_to(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with endpoint_harness(port=server.getsockname()[1]) as b:
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


def test_connections_are_reused_last_in_first_out_with_one_request_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1)
            b.start(2)
            requests = [await endpoint.next_command() for _ in range(2)]
            assert requests[0][0] is not requests[1][0]
            for connection, _ in requests:
                connection.send(success_reply(b"v"))
                await b.end()
            for number in (3, 4):
                b.start(number)
                connection, _ = await endpoint.next_command()
                assert connection is requests[1][0]
                connection.send(success_reply(b"v"))
                await b.end()
            assert b.pools.open_connections == 2

    run_on_loop(test)


def test_idle_connections_expire_before_the_endpoint_closes_them() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, idle=0.0) as b:
            b.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(success_reply(b"v"))
            await b.end()
            b.start(2)  # the old one is expired, swept or not
            other, _ = await endpoint.next_command()
            assert other is not connection
            other.send(success_reply(b"v"))
            await b.end()
            await wait_until(lambda: endpoint.closed_connections == 2)  # the sweep finds the second

    run_on_loop(test)


def test_connections_that_are_reset_after_an_idle_time_are_not_kept_so_long() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            clock = [100.0]
            b.pools.context.time = lambda: clock[0]

            async def reused_after(idle_s: float, reset: bool) -> bool:
                """Send a request after one that was idle so long; return whether both used one connection."""
                b.start(1)
                first, _ = await endpoint.next_command()
                first.send(success_reply(b"v"))
                await b.end()
                clock[0] += idle_s
                b.start(2)
                second, _ = await endpoint.next_command()
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
        one, two = FakeEndpoint(), FakeEndpoint()
        async with listening(two), endpoint_harness(one, most=1) as b:
            b.pools.set_address(8, (LOOPBACK, two.port))
            b.start(1)
            connection, _ = await one.next_command()
            b.start(2, endpoint=8)
            assert (await b.end())[:2] == (2, Outcome.NOT_SENT)
            connection.send(success_reply(b"v"))
            assert (await b.end())[:2] == (1, Outcome.OK)
            b.start(3, endpoint=8)
            connection, _ = await two.next_command()
            connection.send(success_reply(b"v"))
            assert (await b.end())[:2] == (3, Outcome.OK)
            assert b.pools.open_connections == 1

    run_on_loop(test)


def test_endpoint_that_drains_loses_idle_connections_and_finishes_what_it_has() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1)
            b.start(2)
            requests = [await endpoint.next_command() for _ in range(2)]
            requests[0][0].send(success_reply(b"v"))
            await b.end()
            b.pools.set_address(7, None)
            await wait_until(lambda: endpoint.closed_connections == 1)
            requests[1][0].send(success_reply(b"w"))
            assert (await b.end())[1:3] == (Outcome.OK, b"w")
            await wait_until(lambda: endpoint.closed_connections == 2)

    run_on_loop(test)


def test_nothing_still_connecting_is_written_past_the_drain_grace() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, grace=0.0) as b:
            b.start(1)
            b.pools.set_address(7, None)
            assert (await b.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert endpoint.commands.empty()
            assert b.pools.open_connections == 0

    run_on_loop(test)


def test_connection_within_its_reuse_delay_is_closed_rather_than_reused_at_the_limit() -> None:
    """At the limit no other may be opened, and a repeated response would be taken for the next one."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, most=1) as b:
            b.pools.context.time = lambda: 100.0
            for number in range(3):
                b.start(number)
                connection, _ = await endpoint.next_command()
                assert connection is endpoint.connections[number]
                connection.send(success_reply(b"v"))
                assert (await b.end())[:2] == (number, Outcome.OK)
                assert b.pools.open_connections == 1

    run_on_loop(test)


def test_repeated_response_in_a_later_packet_is_never_taken_for_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as server:
            server.setblocking(False)
            loop = asyncio.get_running_loop()
            async with endpoint_harness(port=server.getsockname()[1]) as b:
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


def test_late_response_is_never_taken_for_the_next_attempt() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            attempt = b.start(1)
            first, _ = await endpoint.next_command()
            b.pools.expire_attempt(attempt)
            assert (await b.end())[1] is Outcome.TIMEOUT
            b.start(2)
            second, _ = await endpoint.next_command()
            assert second is not first
            first.send(success_reply(b"late"))
            second.send(success_reply(b"own"))
            assert (await b.end())[:3] == (2, Outcome.OK, b"own")

    run_on_loop(test)


def test_unexpected_data_closes_the_connection() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as b:
            b.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(success_reply(b"v") + success_reply(b"again"))
            assert (await b.end())[1] is Outcome.OK
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert b.pools.open_connections == 0

    run_on_loop(test)


@pytest.mark.parametrize("grace_s", [0.1, 0.25, 1.0])
def test_drain_leaves_room_for_a_process_held_up_between_its_clock_and_its_write(grace_s: float) -> None:
    """A process may be held up for 0.15 s there, and the grace of a drain has to cover that."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, grace=grace_s) as b:
            pool = b.pools._pools[7]
            now = b.pools.context.loop.time()
            b.pools.context.time = lambda: now
            b.pools.set_address(7, None)
            assert pool.drain_ends_at is not None
            assert now <= pool.drain_ends_at <= max(now, now + grace_s - 0.15)

    run_on_loop(test)


def test_lack_of_descriptors_is_not_held_against_the_endpoint() -> None:
    """It fails for all alike, and all of them would be ejected."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"
            with no_descriptors_left():
                client.send(call_command(number=1))
                assert isinstance(await client.next_message(), hiredis.ReplyError)
            client.send(call_command(number=2))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_limit_on_connections_is_not_held_against_the_endpoint() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.endpoint_connections.limit(1)
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            other.send(call_command(number=2))
            assert isinstance(await other.next_message(), hiredis.ReplyError)
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            other.send(call_command(number=3))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"w"))
            assert await other.next_message() == b"w"

    run_on_loop(test)
