"""A waiting request is not forwarded after its client has disconnected."""

from __future__ import annotations

import pytest

from qos_gateway.server.clients.connection_input import MAX_PIPELINED
from qos_gateway.types import ClientDisconnected
from qos_gateway.units import SECOND
from tests.support.clients import call_command
from tests.support.disconnects import (
    assert_only_this_request_is_forwarded,
    delay_connects,
    ignore_deadlines,
    reset_on_close,
)
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_counter import FakeCounter
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import (
    forward_to,
    leave_open,
    only_endpoint,
    reject_open_request,
    script_engine,
)


def test_attempt_on_an_opening_connection_is_not_sent_after_its_client_disconnected() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            delayed = delay_connects(harness.gateway)
            disconnecting_client = await harness.connect_client()
            other_client = await harness.connect_client()
            disconnecting_client.send(call_command(number=1))
            await with_timeout(delayed.requested.wait())
            disconnecting_client.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            delayed.allowed.set()
            await assert_only_this_request_is_forwarded(harness, other_client, number=2)
            assert not harness.open_requests
            assert harness.gateway.dispatcher.engine.request_table.in_flight == 0
            assert harness.gateway.endpoint_connections.open_connections == 1

    run_on_loop(test)


@pytest.mark.parametrize("how", ["reset", "close", "half-close"])
def test_disconnect_is_detected_while_input_is_paused_and_deferred_commands_never_run(how: str) -> None:
    """Unread commands beyond the pipeline limit precede the end of the connection in the socket buffer."""

    async def test() -> None:
        async with gateway_harness() as harness:
            ignore_deadlines(harness)
            forward = forward_to(only_endpoint(harness))
            engine = script_engine(harness, *[leave_open] * MAX_PIPELINED, *[forward] * 9)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(MAX_PIPELINED + 8)))
            await wait_until(
                lambda: len(engine.arrivals) == MAX_PIPELINED and harness.buffers.deferred_bytes > 0
            )
            if how == "half-close":
                client.writer.write_eof()
            else:
                reset_on_close(client.writer.get_extra_info("socket"), how == "reset")
                client.abort()
            await wait_until(lambda: len(engine.events_of(ClientDisconnected)) == MAX_PIPELINED)
            assert harness.gateway.clients.connection_count() == 0
            assert harness.buffers.deferred_bytes == 0
            for arrival in engine.arrivals[:MAX_PIPELINED]:
                reject_open_request(harness, arrival)
            await assert_only_this_request_is_forwarded(harness, await harness.connect_client(), number=99)

    run_on_loop(test)


def test_request_that_waits_for_the_counter_is_not_forwarded_after_its_client_disconnected() -> None:
    async def test() -> None:
        counter = FakeCounter()
        async with (
            listening(counter),
            gateway_harness(
                counter=f"{LOOPBACK}:{counter.port}",
                familyInfo__counter=True,
                limits__peerMessages=False,
                familyInfo__counterTimeout=15 * SECOND,
            ) as harness,
        ):
            await wait_until(lambda: len(counter.connections) > 0)
            disconnecting_client = await harness.connect_client()
            other_client = await harness.connect_client()
            disconnecting_client.send(call_command(number=1))
            call = await counter.next_call()
            disconnecting_client.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            call.answer(b"ok 1")
            await wait_until(lambda: not harness.gateway.dispatcher.engine.admission.pending_reservations)
            assert harness.gateway.dispatcher.engine.request_table.in_flight == 0
            assert not harness.open_requests
            await assert_only_this_request_is_forwarded(harness, other_client, number=2)

    run_on_loop(test)


def test_request_is_not_retried_after_its_client_disconnected() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            disconnecting_client = await harness.connect_client()
            other_client = await harness.connect_client()
            disconnecting_client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            disconnecting_client.abort()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 1)
            connection.send(b"-BUSY\r\n")
            await wait_until(lambda: not harness.open_requests)
            await assert_only_this_request_is_forwarded(harness, other_client, number=2)

    run_on_loop(test)
