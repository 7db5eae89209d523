"""Attempts that end without a response: not executed, or possibly executed."""

from __future__ import annotations

import socket
from contextlib import closing

import pytest

from qos_gateway.server.endpoints.connection import EndpointConnection
from qos_gateway.server.networking.clock import make_monotonic_unix_clock
from qos_gateway.types import Outcome
from tests.support.builders import SECOND
from tests.support.endpoint_harness import RawEndpoint, endpoint_harness, reset
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until
from tests.support.fake_endpoint import FakeEndpoint

CLOCK = make_monotonic_unix_clock()


def test_refused_connect_counts_as_not_executed() -> None:
    async def test() -> None:
        with closing(socket.create_server((LOOPBACK, 0))) as unused:
            port = unused.getsockname()[1]
        async with endpoint_harness(port=port) as harness:
            harness.start(1)
            assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)
            assert harness.pools.open_connections == 0

    run_on_loop(test)


@pytest.mark.parametrize("timed_out_by", ["connect timeout", "attempt timeout"])
def test_timed_out_connect_counts_as_not_executed(timed_out_by: str) -> None:
    async def test() -> None:
        # A full accept queue leaves a connect unanswered, like an unreachable host.
        with closing(socket.socket()) as full:
            full.bind((LOOPBACK, 0))
            full.listen(0)
            address = full.getsockname()
            pending = [socket.socket() for _ in range(4)]
            for sock in pending:
                sock.setblocking(False)
                sock.connect_ex(address)
            by_connect_timeout = timed_out_by == "connect timeout"
            async with endpoint_harness(
                port=address[1], connect_timeout_s=0.05 if by_connect_timeout else 20.0
            ) as harness:
                harness.start(1, timeout_s=None if by_connect_timeout else 0.05)
                assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)
                assert harness.pools.open_connections == 0
            for sock in pending:
                sock.close()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "end", "timeout", "cancel"])
def test_attempt_that_ends_after_its_last_byte_counts_as_possibly_executed(how: str) -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            attempt = harness.start(1)
            connection, _ = await endpoint.next_command()
            expected = Outcome.RESET
            if how == "reset":
                connection.abort()
            elif how == "end":
                connection.writer.close()
            elif how == "timeout":
                harness.pools.expire_attempt(attempt)
                expected = Outcome.TIMEOUT
            else:
                harness.pools.cancel_attempt(attempt)
                expected = Outcome.CANCELLED
            assert await harness.end() == (1, expected, None, {})
            # The connection is closed, as a late response would belong to no attempt.
            await wait_until(lambda: endpoint.closed_connections == 1)
            assert harness.pools.open_connections == 0
            assert harness.ends.empty()

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "timeout"])
def test_attempt_that_ends_before_its_last_byte_counts_as_not_executed(how: str) -> None:
    async def test() -> None:
        with closing(RawEndpoint()) as endpoint:
            async with endpoint_harness(port=endpoint.port) as harness:
                # Larger than both socket buffers, so that part of it stays unsent.
                attempt = harness.start(1, body=b"x" * (32 << 20))
                connection = await endpoint.accept()
                await wait_until(
                    lambda: (
                        isinstance(attempt.connection, EndpointConnection)
                        and attempt.connection.transport is not None
                    )
                )
                if how == "reset":
                    reset(connection)
                else:
                    harness.pools.expire_attempt(attempt)
                    connection.close()
                assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run_on_loop(test)


@pytest.mark.parametrize("size", [1, 8 << 20])
def test_reset_after_the_last_byte_counts_as_possibly_executed_even_if_it_was_written_late(size: int) -> None:
    """The event loop sends the rest of a partial write later; from then on the attempt counts as sent."""

    async def test() -> None:
        with closing(RawEndpoint()) as endpoint:
            async with endpoint_harness(port=endpoint.port) as harness:
                harness.start(1, body=b"x" * (size - 1) + b"y")
                connection = await endpoint.accept()
                data = b""
                while not data.endswith(b"y\r\n"):
                    data = await endpoint.receive(connection, 1 << 20)
                reset(connection)
                assert (await harness.end())[:2] == (1, Outcome.RESET)
                assert harness.metrics.attempts == 1

    run_on_loop(test)


def test_attempt_still_connecting_is_not_written_past_its_idempotency_window() -> None:
    """The connection for a retry decided within the window may be established after the window."""

    async def test() -> None:
        endpoint = FakeEndpoint()
        async with endpoint_harness(endpoint) as harness:
            harness.start(1, send_deadline_ns=CLOCK())
            assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)
            harness.start(2, send_deadline_ns=CLOCK() + 60 * SECOND)
            assert (await endpoint.next_command())[1][2] == b"i"
            assert endpoint.commands.empty()
            assert harness.pools.open_connections == 1

    run_on_loop(test)


def test_attempt_cancelled_while_its_failure_is_scheduled_ends_once() -> None:
    async def test() -> None:
        async with endpoint_harness(port=1) as harness:
            attempt = harness.start(1, endpoint=99)
            harness.pools.cancel_unsent(attempt)
            harness.start(2, endpoint=99)
            assert (await harness.end())[:2] == (1, Outcome.NOT_SENT)
            assert (await harness.end())[:2] == (2, Outcome.CONNECT_FAILED)
            assert harness.ends.empty()

    run_on_loop(test)


def test_attempt_at_an_unknown_endpoint_counts_as_not_executed() -> None:
    async def test() -> None:
        async with endpoint_harness(port=1) as harness:
            harness.start(1, endpoint=99)
            assert harness.ends.empty()  # reported in a later iteration of the event loop
            assert (await harness.end())[:2] == (1, Outcome.CONNECT_FAILED)

    run_on_loop(test)
