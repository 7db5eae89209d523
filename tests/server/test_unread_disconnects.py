"""No attempt starts after a client's disconnect, even if the event loop has not read it yet."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from qos_gateway.server.clients.connection_input import MAX_PIPELINED
from qos_gateway.server.endpoints.connection_pool import REUSE_DELAY_S
from qos_gateway.types import AttemptEnded, Outcome, Send
from tests.support.clients import call_command
from tests.support.disconnects import (
    assert_only_this_request_is_forwarded,
    delay_connects,
    ignore_deadlines,
    reset_on_close,
)
from tests.support.event_loop import LOOPBACK, run_on_loop, wait_until, with_timeout
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.scripted_engine import (
    ScriptedEngine,
    forward_to,
    leave_open,
    only_endpoint,
    reject_open_request,
    script_engine,
)


class BlockingClient:
    """A client outside the event loop: its data reaches the gateway while the loop does not run."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.sock = socket.create_connection((LOOPBACK, harness.gateway.clients.port))

    def send(self, *numbers: int) -> None:
        self.sock.sendall(b"".join(call_command(number=n) for n in numbers))

    def disconnect(self, how: str) -> None:
        if how == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
            return
        reset_on_close(self.sock, how == "reset")
        self.sock.close()


# Disconnects the client at a certain moment, and returns how many attempts may start before that.
DisconnectMoment = Callable[[GatewayHarness, ScriptedEngine, BlockingClient, str], Awaitable[int]]


async def delayed_by_counter(
    harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str
) -> int:
    """The first attempt starts after the counter's reply."""
    engine.plans[:] = [leave_open]
    client.send(1)
    await wait_until(lambda: len(engine.arrivals) == 1)
    client.disconnect(how)
    harness.gateway.executor.execute(Send(engine.arrivals[0].request_id, only_endpoint(harness), 0))
    return 0


async def retry(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    """The second attempt starts after the endpoint rejected the first."""
    endpoint = only_endpoint(harness)
    engine.plans[:] = [forward_to(endpoint)]
    client.send(1)
    await harness.endpoint.reply_to_next_command(b"-BUSY\r\n")
    await wait_until(lambda: len(engine.events_of(AttemptEnded)) == 1)
    client.disconnect(how)
    harness.gateway.executor.execute(Send(engine.arrivals[0].request_id, endpoint, 0))
    return 1


async def hedged(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    """The second attempt starts while the first is in flight."""
    endpoint = only_endpoint(harness)
    engine.plans[:] = [forward_to(endpoint)]
    client.send(1)
    await harness.endpoint.next_command()
    client.disconnect(how)
    harness.gateway.executor.execute(Send(engine.arrivals[0].request_id, endpoint, 0))
    return 1


async def connecting(
    harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str
) -> int:
    """The connection to the endpoint opens in the loop iteration in which the client disconnects."""
    endpoint = only_endpoint(harness)
    delayed = delay_connects(harness.gateway)
    engine.plans[:] = [forward_to(endpoint)]
    client.send(1)
    await with_timeout(delayed.requested.wait())
    pool = harness.gateway.endpoint_connections._pools[endpoint]
    on_connected = pool.on_connected

    def disconnect_first(link: Any) -> None:
        pool.on_connected = on_connected  # type: ignore[method-assign]
        client.disconnect(how)
        on_connected(link)

    pool.on_connected = disconnect_first  # type: ignore[method-assign]
    delayed.allowed.set()
    return 0


async def queued(harness: GatewayHarness, engine: ScriptedEngine, client: BlockingClient, how: str) -> int:
    """Deferred commands would start in the loop iteration in which the client disconnects.

    The replies to the commands before them, which fill the pipeline, are sent in that iteration.
    """
    endpoint = only_endpoint(harness)
    engine.plans[:] = [leave_open] * MAX_PIPELINED + [forward_to(endpoint)] * 8
    client.send(*range(1, MAX_PIPELINED + 9))
    await wait_until(lambda: len(engine.arrivals) == MAX_PIPELINED and harness.buffers.deferred_bytes > 0)
    client.disconnect(how)
    for arrival in engine.arrivals[:MAX_PIPELINED]:
        reject_open_request(harness, arrival)
    await wait_until(
        lambda: harness.gateway.clients.connection_count() == 0 or len(engine.arrivals) > MAX_PIPELINED
    )
    return 0


async def open_idle_connections(harness: GatewayHarness, engine: ScriptedEngine) -> None:
    """Open two idle connections to the endpoint, so that an attempt is sent as soon as it starts."""
    endpoint, others = only_endpoint(harness), [await harness.connect_client() for _ in range(2)]
    engine.plans[:] = [forward_to(endpoint)] * 2
    for number, other in enumerate(others):
        other.send(call_command(number=100 + number))
    for connection, _ in [await harness.endpoint.next_command() for _ in others]:
        connection.send(success_reply(b"v"))
    for other in others:
        assert await other.next_message() == b"v"
        other.abort()
    await wait_until(
        lambda: (
            harness.gateway.endpoint_connections.idle_count() == 2
            and harness.gateway.clients.connection_count() == 0
        )
    )
    await asyncio.sleep(2 * REUSE_DELAY_S)
    engine.events.clear()


@pytest.mark.parametrize("how", ["reset", "close", "half-close"])
@pytest.mark.parametrize("moment", [delayed_by_counter, retry, hedged, connecting, queued])
def test_no_attempt_starts_after_a_disconnect_that_the_loop_has_not_read_yet(
    moment: DisconnectMoment, how: str
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine, endpoint = script_engine(harness), only_endpoint(harness)
            ignore_deadlines(harness)
            if moment is not connecting:
                await open_idle_connections(harness, engine)
            client = BlockingClient(harness)
            expected_attempts = await moment(harness, engine, client, how)
            # Deferred commands may have been served if a reply was sent before the disconnect could be read.
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)
            assert all(
                e.outcome is Outcome.NOT_SENT
                for e in engine.events_of(AttemptEnded)
                if e.attempt >= expected_attempts
            )
            engine.plans.append(forward_to(endpoint))
            await assert_only_this_request_is_forwarded(harness, await harness.connect_client(), number=99)
            client.sock.close()

    run_on_loop(test)
