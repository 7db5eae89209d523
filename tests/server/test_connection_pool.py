"""Connection pools: selection, limits and expiry of connections."""

from __future__ import annotations

import hiredis
import pytest

from qos_gateway.server.endpoints import connection_pool
from qos_gateway.server.endpoints.keep_alive import KeepAliveEstimator
from qos_gateway.types import Outcome
from tests.support.clients import PING, call_command
from tests.support.descriptors import no_descriptors_left
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.gateway_harness import gateway_harness


def test_connection_is_not_reused_within_its_reuse_delay_below_the_limit() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            clock = [100.0]
            harness.pools.context.time = lambda: clock[0]
            connection = await harness.serve(1)
            harness.start(2)
            other, _ = await endpoint.next_command()
            assert other is not connection
            clock[0] += 0.01
            harness.start(3)
            assert (await endpoint.next_command())[0] is connection

    run_on_loop(test)


def test_connections_are_reused_last_in_first_out_with_one_request_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            harness.start(2)
            requests = [await endpoint.next_command() for _ in range(2)]
            assert requests[0][0] is not requests[1][0]
            for connection, _ in requests:
                connection.send(success_reply(b"v"))
                await harness.end()
            for number in (3, 4):
                assert await harness.serve(number) is requests[1][0]
            assert harness.pools.open_connections == 2

    run_on_loop(test)


def test_idle_connections_expire_before_the_endpoint_closes_them() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, max_idle_s=0.0) as harness:
            connection = await harness.serve(1)
            # The first connection has expired, whether or not the sweep has run.
            assert await harness.serve(2) is not connection
            await wait_until(lambda: endpoint.closed_connections == 2)  # the sweep closes the second

    run_on_loop(test)


def test_resets_after_an_idle_time_shorten_the_keep_alive() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            clock = [100.0]
            harness.pools.context.time = lambda: clock[0]

            async def reused_after(idle_s: float, reset: bool) -> bool:
                """Let a connection be idle; return whether the next attempt used it."""
                first = await harness.serve(1)
                clock[0] += idle_s
                harness.start(2)
                second, _ = await endpoint.next_command()
                second.abort() if reset else second.send(success_reply(b"v"))
                assert (await harness.end()).outcome is (Outcome.RESET if reset else Outcome.OK)
                clock[0] += 1000.0  # connections of this round have expired
                return second is first

            for _ in range(3):
                assert await reused_after(0.3, True)
            assert not await reused_after(0.3, False)
            assert await reused_after(0.15, False)
            for _ in range(120):
                harness.pools.keep_alive.decay()
            assert await reused_after(0.3, False)  # the idle limit has recovered

    run_on_loop(test)


def test_rare_resets_and_resets_at_any_idle_time_do_not_shorten_the_keep_alive() -> None:
    estimator = KeepAliveEstimator(15.0)
    for age in (0.01, 0.02) * 10:
        estimator.record_reuse(age)
        estimator.record_reset(age)
    for _ in range(100):
        estimator.record_reuse(1.0)
    for _ in range(4):
        estimator.record_reset(1.0)
    assert estimator.idle_limit_s == 15.0


def test_connections_are_limited_and_idle_ones_are_closed_for_new_ones() -> None:
    async def test() -> None:
        one, two = FakeEndpoint(), FakeEndpoint()
        async with listening(two), endpoint_harness(one, max_connections=1) as harness:
            harness.pools.set_address(8, (LOOPBACK, two.port))
            harness.start(1)
            connection, _ = await one.next_command()
            harness.start(2, endpoint=8)
            assert (await harness.end())[:2] == (2, Outcome.NOT_SENT)
            connection.send(success_reply(b"v"))
            assert (await harness.end())[:2] == (1, Outcome.OK)
            await harness.serve(3, endpoint=8, at=two)
            assert harness.pools.open_connections == 1

    run_on_loop(test)


def test_connection_within_its_reuse_delay_is_closed_rather_than_reused_at_the_limit() -> None:
    """Reuse could read a duplicate response as the next one, and at the limit no other may be opened."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, max_connections=1) as harness:
            harness.pools.context.time = lambda: 100.0
            for number in range(3):
                assert await harness.serve(number) is endpoint.connections[number]
                assert harness.pools.open_connections == 1

    run_on_loop(test)


def test_descriptor_shortage_does_not_count_as_endpoint_failure() -> None:
    """The shortage fails attempts at all endpoints; counted, it would eject all of them."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(PING)
            assert await client.next_message() == b"PONG"
            with no_descriptors_left():
                client.send(call_command(number=1))
                assert isinstance(await client.next_message(), hiredis.ReplyError)
            client.send(call_command(number=2))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"

    run_on_loop(test)


def test_connection_limit_does_not_count_as_endpoint_failure() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.endpoint_connections.restrict_connections(1)
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
