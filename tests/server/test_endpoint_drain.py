"""Connections of a draining endpoint."""

from __future__ import annotations

import pytest

from qos_gateway.types import Outcome
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import FakeEndpoint, success_reply


def test_drain_closes_idle_connections_and_lets_attempts_in_flight_finish() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            harness.start(2)
            requests = [await endpoint.next_command() for _ in range(2)]
            requests[0][0].send(success_reply(b"v"))
            await harness.end()
            harness.pools.set_address(7, None)
            await wait_until(lambda: endpoint.closed_connections == 1)
            requests[1][0].send(success_reply(b"w"))
            assert (await harness.end())[1:3] == (Outcome.OK, b"w")
            await wait_until(lambda: endpoint.closed_connections == 2)

    run_on_loop(test)


def test_attempt_still_connecting_is_not_written_past_the_drain_grace() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, drain_grace_s=0.0) as harness:
            harness.start(1)
            harness.pools.set_address(7, None)
            assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert endpoint.commands.empty()
            assert harness.pools.open_connections == 0

    run_on_loop(test)


@pytest.mark.parametrize("grace_s", [0.1, 0.25, 1.0])
def test_drain_ends_in_time_for_a_process_suspended_between_its_clock_and_its_write(
    grace_s: float,
) -> None:
    """A process may be suspended for 0.15 s between the two; the drain grace includes that time."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint, drain_grace_s=grace_s) as harness:
            pool = harness.pools._pools[7]
            now = harness.pools.context.loop.time()
            harness.pools.context.time = lambda: now
            harness.pools.set_address(7, None)
            assert pool.drain_ends_at is not None
            assert now <= pool.drain_ends_at <= max(now, now + grace_s - 0.15)

    run_on_loop(test)
