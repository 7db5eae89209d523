"""Requests through a gateway: what the client, the engine and the endpoint each receive."""

from __future__ import annotations

import hiredis

from qos_gateway.types import AttemptEnded, ClientDisconnected, Fail, Outcome, Reject
from tests.support.clients import CUSTOMER, PING, call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness
from tests.support.resp_connection import Connection
from tests.support.scripted_engine import (
    ScriptedEngine,
    forward_to,
    leave_open,
    only_endpoint,
    pass_deadline,
    reject,
    script_engine,
)


def test_command_and_value_are_forwarded_unchanged() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(PING)
            assert await client.next_message() == b"PONG"
            body = b"\x00\r\n$5\r\n" * 100
            client.send(call_command("submit", 0x9B1F, wait_ms=1500, body=body, extra=",r=1,odd=\xff"))
            connection, words = await harness.endpoint.next_command()
            time_left_ms = int(words[3].split(b",d=")[1].split(b",")[0])
            assert 500 < time_left_ms < 1500
            assert words == [
                b"CALL.POST",
                CUSTOMER,
                b"0000000000009b1f",
                b"c=submit,t=team,d=%d,k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0,r=1,odd=\xc3\xbf"
                % time_left_ms,
                body,
            ]
            value = bytes(range(256)) * 256
            connection.send(success_reply(value))
            assert await client.next_message() == value

    run_on_loop(test)


def test_arrival_carries_the_fields_of_the_command() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, lambda a: [Reject(a.request_id, 1_500_001)], reject)
            client = await harness.connect_client()
            client.send(call_command("charge", wait_ms=480, extra=",r=1"))
            reply = await client.next_message()
            assert isinstance(reply, hiredis.ReplyError)
            assert str(reply) == "BUSY 2"
            (arrival,) = engine.arrivals
            assert (arrival.class_index, arrival.plan_index, arrival.customer_id) == (2, 0, 0xB4D65521)
            assert (arrival.units, arrival.options) == (1.0, 2)
            assert (arrival.gateway_spread, arrival.first_gateway) == (2, 0)
            client.send(call_command())
            assert str(await client.next_message()) == "BUSY"
            assert engine.arrivals[1].options == 0

    run_on_loop(test)


def test_replies_are_in_the_order_of_the_commands() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2) + PING)
            connections = await harness.endpoint.next_requests(2)
            connections[2].send(success_reply(b"two"))
            # The reply to the second request arrives first.
            await wait_until(lambda: harness.gateway.endpoint_connections.idle_count() == 1)
            connections[1].send(success_reply(b"one"))
            assert [await client.next_message() for _ in range(3)] == [b"one", b"two", b"PONG"]

    run_on_loop(test)


def test_id_of_an_open_request_is_rejected() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[leave_open] * 3)
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=5))
            await wait_until(lambda: len(engine.arrivals) == 1)
            other.send(call_command(number=5))
            assert "open" in str(await other.next_message())
            assert len(engine.arrivals) == 1
            client.abort()
            await wait_until(lambda: len(engine.events_of(ClientDisconnected)) == 1)
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"

    run_on_loop(test)


def test_second_response_of_the_engine_is_dropped() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda a: [Fail(a.request_id), Reject(a.request_id, 0)], reject)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "ERR failed"
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)


def test_request_that_the_engine_leaves_open_fails_before_the_clients_deadline() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, leave_open)
            client = await harness.connect_client()
            client.send(call_command(wait_ms=60))
            assert str(await client.next_message()).startswith("ERR")
            assert len(engine.events_of(ClientDisconnected)) == 1  # which ends the request in the engine

    run_on_loop(test)


async def disconnect_with_a_request_in_flight(harness: GatewayHarness, engine: ScriptedEngine) -> Connection:
    """Send a request and disconnect its client; return the connection on which the endpoint received it."""
    client = await harness.connect_client()
    client.send(call_command())
    connection, _ = await harness.endpoint.next_command()
    client.abort()
    await wait_until(lambda: bool(engine.events_of(ClientDisconnected)))
    return connection


def test_client_disconnect_is_reported_to_the_engine_once() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, forward_to(only_endpoint(harness)))
            connection = await disconnect_with_a_request_in_flight(harness, engine)
            connection.send(success_reply(b"without a client"))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            (ended,) = engine.events_of(AttemptEnded)
            assert ended.request_finished
            assert ended.outcome is Outcome.OK
            assert len(engine.events_of(ClientDisconnected)) == 1

    run_on_loop(test)


def test_attempt_whose_client_disconnected_ends_at_its_deadline() -> None:
    """A failed endpoint may neither respond nor close its connection; the deadline then ends the attempt."""

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, forward_to(only_endpoint(harness)))
            await disconnect_with_a_request_in_flight(harness, engine)
            assert not engine.events_of(AttemptEnded)
            timer = harness.open_requests[engine.arrivals[0].request_id].deadline_timer
            assert timer is not None
            assert not timer.cancelled()
            pass_deadline(harness, engine)
            (ended,) = engine.events_of(AttemptEnded)
            assert (ended.outcome, ended.request_finished) == (Outcome.TIMEOUT, True)
            await wait_until(lambda: harness.endpoint.closed_connections == 1)
            assert harness.gateway.endpoint_connections.open_connections == 0

    run_on_loop(test)
