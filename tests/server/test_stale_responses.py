"""Connection reuse: an attempt never receives the response to an earlier one."""

from __future__ import annotations

from contextlib import closing

import pytest

from qos_gateway.server.endpoints import connection_pool
from qos_gateway.types import Outcome
from tests.support.endpoint_harness import RawEndpoint, endpoint_harness, reset
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import FakeEndpoint, success_reply


@pytest.fixture
def _reuse_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection_pool, "REUSE_DELAY_S", 0.0)


@pytest.mark.usefixtures("_reuse_without_delay")
def test_pooled_connection_that_closed_unnoticed_is_not_reused() -> None:
    async def test() -> None:
        with closing(RawEndpoint()) as endpoint:
            async with endpoint_harness(port=endpoint.port) as harness:
                harness.start(1)
                for number in (1, 2, 3):
                    connection = await endpoint.accept()
                    assert await endpoint.receive(connection)
                    await endpoint.send(connection, success_reply(b"v"))
                    assert (await harness.end())[:2] == (number, Outcome.OK)
                    # The event loop has not yet reported the reset or the end of the stream to the gateway.
                    reset(connection) if number == 1 else connection.close()
                    if number < 3:
                        harness.start(number + 1)

    run_on_loop(test)


@pytest.mark.usefixtures("_reuse_without_delay")
def test_duplicate_response_in_a_later_packet_is_not_read_as_the_next_response() -> None:
    async def test() -> None:
        with closing(RawEndpoint()) as endpoint:
            async with endpoint_harness(port=endpoint.port) as harness:
                harness.start(1)
                connection = await endpoint.accept()
                assert await endpoint.receive(connection)
                await endpoint.send(connection, success_reply(b"v"))
                assert (await harness.end()).outcome is Outcome.OK
                # The duplicate is in the socket but not yet read when the next attempt starts.
                connection.send(success_reply(b"v"))
                harness.start(2)
                other = await endpoint.accept()
                assert await endpoint.receive(other)
                await endpoint.send(other, success_reply(b"w"))
                assert (await harness.end())[:3] == (2, Outcome.OK, b"w")

    run_on_loop(test)


def test_late_response_is_not_read_as_the_response_to_the_next_attempt() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            attempt = harness.start(1)
            first, _ = await endpoint.next_command()
            harness.pools.expire_attempt(attempt)
            assert (await harness.end()).outcome is Outcome.TIMEOUT
            harness.start(2)
            second, _ = await endpoint.next_command()
            assert second is not first
            first.send(success_reply(b"late"))
            second.send(success_reply(b"own"))
            assert (await harness.end())[:3] == (2, Outcome.OK, b"own")

    run_on_loop(test)


def test_unexpected_data_closes_the_connection() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1)
            connection, _ = await endpoint.next_command()
            connection.send(success_reply(b"v") + success_reply(b"again"))
            assert (await harness.end()).outcome is Outcome.OK
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert harness.pools.open_connections == 0

    run_on_loop(test)
