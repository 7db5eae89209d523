"""Attempts and connections under the control of the engine: forwarding, timeout, cancellation, counts."""

from __future__ import annotations

from qos_gateway.types import (
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Fail,
    Outcome,
    Reject,
    Send,
)
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import fail, forward_to, only_endpoint, pass_deadline, script_engine


def test_in_flight_count_of_the_engine_matches_the_sockets_and_returns_to_zero() -> None:
    """Covers replies, errors, rejections, malformed replies, resets, client disconnects and a drain."""

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = harness.gateway.dispatcher.engine
            endpoints = harness.gateway.endpoint_connections
            endings = [
                success_reply(b"v"),
                b"-ERR failed\r\n",
                b"-BUSY\r\n",
                b"*100000000\r\n",
                success_reply(b"v") * 2,
                b"",
                None,
                success_reply(b"v"),
            ]
            for number, ending in enumerate(endings):
                client = await harness.connect_client()
                client.send(call_command("charge", number, wait_ms=1500))
                connection, _ = await harness.endpoint.next_command()
                busy = endpoints.open_connections - endpoints.idle_count()
                assert (
                    engine.request_table.in_flight
                    == busy
                    == sum(each.in_flight for each in engine.load_balancer.registry.endpoints.values())
                    == 1
                )
                if number == len(endings) - 1:
                    harness.discovery.send_update(
                        endpoint_list(2, endpoint_entry("s-1", harness.endpoint.port, "terminating"))
                    )
                    await wait_until(lambda: not endpoints.has_usable_endpoint())
                if ending is None:
                    client.abort()
                    await wait_until(lambda: not engine.request_table.open)
                    ending = success_reply(b"without a client")
                if ending == b"-BUSY\r\n":
                    # The attempt was not executed, so the request is retried at the only endpoint.
                    connection.send(ending)
                    connection, _ = await harness.endpoint.next_command()
                    assert engine.request_table.in_flight == 1
                connection.send(ending) if ending else connection.abort()
                await wait_until(lambda: engine.request_table.in_flight == 0)
                assert not engine.request_table.attempts
                assert not engine.request_table.open
                assert not harness.open_requests
                assert endpoints.open_connections == endpoints.idle_count()
                assert not harness.gateway.requests._open_ids
                assert all(each.in_flight == 0 for each in engine.load_balancer.registry.endpoints.values())
                for endpoint in engine.load_balancer.registry.endpoints.values():
                    endpoint.ejected_until = 0  # otherwise its failures would eject it
            await wait_until(lambda: endpoints.open_connections == 0)
            assert all(each.in_flight == 0 for each in engine.quota.accounts.values())

    run_on_loop(test)


def test_expired_attempt_is_a_timeout_and_its_late_reply_is_dropped() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, forward_to(only_endpoint(harness)), fail)
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            pass_deadline(harness, engine)
            assert str(await client.next_message()).startswith("ERR")
            outcomes = [e.outcome for e in engine.events_of(AttemptEnded)]
            assert outcomes == [Outcome.TIMEOUT]
            connection.send(success_reply(b"late"))
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "ERR failed"

    run_on_loop(test)


def test_attempt_for_a_closed_request_is_reported_as_not_sent() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness,
                lambda a: [Fail(a.request_id), Send(a.request_id, endpoint, 0)],
                forward_to(endpoint),
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "ERR failed"
            client.send(call_command(number=2))
            _, words = await harness.endpoint.next_command()
            assert words[2] == b"%016x" % 2  # the first request was never written
            assert not engine.events_of(ClientDisconnected)

    run_on_loop(test)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness,
                forward_to(endpoint),
                lambda a: [CancelAttempt(a.request_id - 1, 0), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            assert engine.events_of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            assert harness.gateway.endpoint_connections.open_connections == 0

    run_on_loop(test)


def test_idle_connections_are_closed_at_the_engines_request() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            script_engine(
                harness,
                forward_to(endpoint),
                lambda a: [CloseIdleConnections(endpoint), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            await harness.endpoint.reply_to_next_command(success_reply(b"v"))
            assert await client.next_message() == b"v"
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"
            await wait_until(lambda: harness.endpoint.closed_connections == 1)

    run_on_loop(test)
