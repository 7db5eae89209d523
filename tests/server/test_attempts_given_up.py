"""Cancelled and timed-out attempts: their connections are closed immediately."""

from __future__ import annotations

import asyncio
import socket
from contextlib import closing

import pytest

from qos_gateway.server.endpoints.connection_pool import REUSE_DELAY_S
from qos_gateway.types import Outcome
from tests.support.endpoint_harness import endpoint_harness
from tests.support.event_loop import LOOPBACK, run_on_loop, with_timeout
from tests.support.fake_endpoint import success_reply


@pytest.mark.parametrize("how", ["cancelled", "timed out"])
def test_connection_of_an_ended_attempt_closes_before_the_next_attempt_is_written(how: str) -> None:
    """Without hedging, two concurrent attempts break a rule; the process may be suspended in between."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with closing(socket.create_server((LOOPBACK, 0))) as listener:
            listener.setblocking(False)
            async with endpoint_harness(port=listener.getsockname()[1]) as harness:
                attempt = harness.start(1)
                accepted, _ = await with_timeout(loop.sock_accept(listener))
                with closing(accepted):
                    assert await with_timeout(loop.sock_recv(accepted, 1 << 16))
                    end_attempt = {
                        "cancelled": harness.pools.cancel_attempt,
                        "timed out": harness.pools.expire_attempt,
                    }
                    end_attempt[how](attempt)
                    # The event loop does not run here, as if the process were suspended.
                    accepted.settimeout(1.0)
                    assert accepted.recv(1) == b""

    run_on_loop(test)


def test_unsent_bytes_of_an_attempt_that_counts_as_not_sent_are_discarded() -> None:
    """The request may be retried elsewhere, so buffered bytes must not be sent when the socket drains."""

    async def test() -> None:
        loop = asyncio.get_running_loop()
        with closing(socket.create_server((LOOPBACK, 0))) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.setblocking(False)
            async with endpoint_harness(port=listener.getsockname()[1]) as harness:
                harness.start(1)
                accepted, _ = await with_timeout(loop.sock_accept(listener))
                with closing(accepted):
                    assert await with_timeout(loop.sock_recv(accepted, 1 << 16))
                    accepted.sendall(success_reply(b"v"))
                    assert (await harness.end()).outcome is Outcome.OK
                    (connection,) = harness.pools._pools[7].idle
                    assert connection.transport is not None
                    connection.transport.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
                    )
                    await asyncio.sleep(2 * REUSE_DELAY_S)
                    attempt = harness.start(2, body=b"B" * 60_000)
                    assert attempt.connection is connection
                    assert connection.has_unsent
                    harness.pools.expire_attempt(attempt)
                    assert (await harness.end()).outcome is Outcome.CONNECT_FAILED
                    received = 0
                    while part := await with_timeout(loop.sock_recv(accepted, 1 << 16)):
                        received += len(part)
                    assert received < 60_000

    run_on_loop(test)
