"""Requests through a gateway whose engine is scripted, over loopback sockets."""

from __future__ import annotations

import logging

import hiredis
import pytest

from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.requests.attempt_results import MAX_QUOTA_USAGE_PERCENT
from qos_gateway.types import (
    Action,
    Arrival,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    Event,
    Fail,
    Outcome,
    Probe,
    ProbeEnded,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    TimerFired,
    Topology,
)
from tests.support.clients import CUSTOMER, call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import bulk_string, success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import ScriptedEngine, only_endpoint, pass_deadline, script_engine

MS, SECOND = 1_000_000, 1_000_000_000


def test_request_and_value_pass_through_unchanged() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"
            body = b"\x00\r\n$5\r\n" * 100
            client.send(call_command("submit", 0x9B1F, wait_ms=1500, body=body, extra=",r=1,odd=\xff"))
            connection, words = await harness.endpoint.next_command()
            left = int(words[3].split(b",d=")[1].split(b",")[0])
            assert 500 < left < 1500
            assert words == [
                b"CALL.POST",
                CUSTOMER,
                b"0000000000009b1f",
                b"c=submit,t=team,d=%d,k=5c0f6e1a2b3d4c59,units=1,spread=2,first=0,r=1,odd=\xc3\xbf" % left,
                body,
            ]
            value = bytes(range(256)) * 256
            connection.send(success_reply(value))
            assert await client.next_message() == value

    run_on_loop(test)


def test_arrival_carries_what_the_client_sent() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(
                harness, lambda a: [Reject(a.request_id, 1_500_001)], lambda a: [Reject(a.request_id, 0)]
            )
            client = await harness.connect_client()
            client.send(call_command("charge", wait_ms=480, extra=",r=1"))
            answer = await client.next_message()
            assert isinstance(answer, hiredis.ReplyError)
            assert str(answer) == "BUSY 2"
            (arrival,) = engine.events_of(Arrival)
            assert (arrival.class_index, arrival.plan_index, arrival.customer_id) == (2, 0, 0xB4D65521)
            assert (arrival.units, arrival.gateway_spread, arrival.first_gateway, arrival.options) == (
                1.0,
                2,
                0,
                2,
            )
            client.send(call_command())
            assert str(await client.next_message()) == "BUSY"
            assert engine.events_of(Arrival)[1].options == 0

    run_on_loop(test)


@pytest.mark.parametrize(
    ("quota_report", "quota_usage"),
    [
        (b"$7\r\nused=85\r\n", 86),
        (b"$6\r\nused=0\r\n", 1),
        (b"$9\r\nused=1e50\r\n", MAX_QUOTA_USAGE_PERCENT + 1),
        (b"$-1\r\n", 0),
    ],
)
def test_engine_gets_the_quota_usage_of_a_reply(quota_report: bytes, quota_usage: int) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            reported: list[int] = []
            handle = harness.gateway.dispatcher.engine.handle

            def spy(now: int, event: Event) -> list[Action]:
                if isinstance(event, AttemptEnded):
                    reported.append(event.quota_usage)
                return handle(now, event)

            harness.gateway.dispatcher.engine.handle = spy  # type: ignore[method-assign]
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            connection.send(b"*3\r\n" + bulk_string(b"v") + quota_report + b"$-1\r\n")
            assert await client.next_message() == b"v"
            assert reported == [quota_usage]

    run_on_loop(test)


def test_in_flight_count_of_the_engine_agrees_with_the_sockets_and_ends_at_zero() -> None:
    """After good replies, errors, rejections, malformed replies, resets, clients that leave, and a drain."""

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
                    await wait_until(lambda: not endpoints.has_usable())
                if ending is None:
                    client.abort()
                    await wait_until(lambda: not engine.request_table.open)
                    ending = success_reply(b"for nobody")
                if ending == b"-BUSY\r\n":
                    # Never ran, so it is tried again; there is but one endpoint to do so.
                    connection.send(ending)
                    connection, _ = await harness.endpoint.next_command()
                    assert engine.request_table.in_flight == 1
                connection.send(ending) if ending else connection.abort()
                await wait_until(lambda: engine.request_table.in_flight == 0)
                assert not engine.request_table.attempts
                assert not engine.request_table.open
                assert not harness.gateway.requests._requests
                assert endpoints.open_connections == endpoints.idle_count()
                assert not harness.gateway.requests._open_ids
                assert all(each.in_flight == 0 for each in engine.load_balancer.registry.endpoints.values())
                for endpoint in engine.load_balancer.registry.endpoints.values():
                    endpoint.ejected_until = 0  # the symptoms would have it ejected
            await wait_until(lambda: endpoints.open_connections == 0)
            assert all(each.in_flight == 0 for each in engine.quota.accounts.values())

    run_on_loop(test)


def test_replies_are_in_the_order_of_the_commands() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2) + b"*1\r\n$4\r\nPING\r\n")
            by_id = {}
            for _ in range(2):
                connection, words = await harness.endpoint.next_command()
                by_id[words[2]] = connection
            by_id[b"%016x" % 2].send(success_reply(b"two"))
            await wait_until(
                lambda: harness.gateway.endpoint_connections.idle_count() == 1
            )  # the second's answer has been taken in
            by_id[b"%016x" % 1].send(success_reply(b"one"))
            assert [await client.next_message() for _ in range(3)] == [b"one", b"two", b"PONG"]

    run_on_loop(test)


def test_request_left_open_fails_before_the_client_gives_up() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, lambda _a: [])
            client = await harness.connect_client()
            client.send(call_command(wait_ms=60))
            assert str(await client.next_message()).startswith("ERR")
            assert (
                len(engine.events_of(ClientDisconnected)) == 1
            )  # the module need not care for it any longer

    run_on_loop(test)


def test_attempt_at_the_end_of_its_time_is_a_time_out_and_its_late_answer_goes_nowhere() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            client = await harness.connect_client()
            engine = script_engine(
                harness, lambda a: [Send(a.request_id, endpoint, 0)], lambda a: [Fail(a.request_id)]
            )
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


def test_second_answer_of_the_engine_is_dropped() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(
                harness,
                lambda a: [Fail(a.request_id), Reject(a.request_id, 0)],
                lambda a: [Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "ERR failed"
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)


def test_attempt_for_a_closed_request_is_reported_as_not_sent() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness,
                lambda a: [Fail(a.request_id), Send(a.request_id, endpoint, 0)],
                lambda a: [Send(a.request_id, endpoint, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "ERR failed"
            client.send(call_command(number=2))
            _, words = await harness.endpoint.next_command()
            assert words[2] == b"%016x" % 2  # the first was never written
            assert not engine.events_of(ClientDisconnected)

    run_on_loop(test)


def test_disconnect_of_a_client_is_one_event() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, endpoint, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.endpoint.next_command()
            client.abort()
            await wait_until(lambda: bool(engine.events_of(ClientDisconnected)))
            connection.send(success_reply(b"for nobody"))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            (ended,) = engine.events_of(AttemptEnded)
            assert ended.request_finished
            assert ended.outcome is Outcome.OK
            assert len(engine.events_of(ClientDisconnected)) == 1

    run_on_loop(test)


def test_fault_in_one_event_costs_one_failure(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, KeyError("broken"), lambda a: [Reject(a.request_id, 0)])
            client = await harness.connect_client()
            with caplog.at_level(logging.ERROR):
                client.send(call_command(number=1))
                assert str(await client.next_message()) == "ERR internal fault"
            assert len(engine.events_of(ClientDisconnected)) == 1
            assert "KeyError: 'broken'" in caplog.text
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)


def test_attempt_whose_client_disconnected_ends_at_its_deadline() -> None:
    """A endpoint that vanished sends nothing: its connection would stay open and counted for good."""

    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, endpoint, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            await harness.endpoint.next_command()
            client.abort()
            await wait_until(lambda: bool(engine.events_of(ClientDisconnected)))
            assert not engine.events_of(AttemptEnded)
            timer = harness.gateway.requests._requests[engine.events_of(Arrival)[0].request_id].deadline_timer
            assert timer is not None
            assert not timer.cancelled()
            pass_deadline(harness, engine)
            (ended,) = engine.events_of(AttemptEnded)
            assert (ended.outcome, ended.request_finished) == (Outcome.TIMEOUT, True)
            await wait_until(lambda: harness.endpoint.closed_connections == 1)
            assert harness.gateway.endpoint_connections.open_connections == 0

    run_on_loop(test)


def test_action_that_fails_keeps_no_other_from_being_carried_out(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The beat is asked for once a tick: lost with a fault it would stop, asked for again it would double."""

    async def test() -> None:
        async with gateway_harness() as harness:

            def send(_recipient: int | None, _data: bytes) -> None:
                raise OSError("no buffer")

            monkeypatch.setattr(harness.gateway.peers, "send", send)
            engine = script_engine(
                harness, lambda a: [SendPeerMessage(None, b"x"), SetTimer(MS, 7), Reject(a.request_id, 0)]
            )
            client = await harness.connect_client()
            client.send(call_command())
            assert str(await client.next_message()) == "BUSY"
            await wait_until(lambda: any(event.token == 7 for event in engine.events_of(TimerFired)))
            assert [event.token for event in engine.events_of(TimerFired)].count(7) == 1
            assert "action_fault action=SendPeerMessage" in caplog.text

    run_on_loop(test)


def test_request_whose_action_cannot_be_carried_out_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:

            def start(_attempt: Attempt, _timeout: float | None) -> None:
                raise OSError("no descriptor")

            monkeypatch.setattr(harness.gateway.endpoint_connections, "start_attempt", start)
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, endpoint, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            assert str(await client.next_message()) == "ERR internal fault"
            assert [event.request_id for event in engine.events_of(ClientDisconnected)] == [
                engine.events_of(Arrival)[0].request_id
            ]

    run_on_loop(test)


def test_timer_of_the_engine_survives_a_fault() -> None:
    class Faulty(ScriptedEngine):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            raise ValueError("every time")

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = Faulty()
            harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
            await wait_until(lambda: len(engine.events_of(TimerFired)) >= 2)

    run_on_loop(test)


def test_list_that_meets_a_fault_is_requested_again() -> None:
    """A notice of a drain must not be lost to a fault: rule 3 counts from when it was written to us."""

    class Faulty(ScriptedEngine):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            if len(self.events_of(Topology)) == 1 and isinstance(event, Topology):
                raise ValueError("once")
            return []

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = Faulty()
            harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
            await with_timeout(harness.discovery.requests.get())
            drain = endpoint_list(2, endpoint_entry("s-1", harness.endpoint.port, "terminating"), whole=False)
            harness.discovery.send_update(drain)
            harness.discovery.first_update = drain
            assert b"index=1 " in await with_timeout(harness.discovery.requests.get())
            await wait_until(lambda: len(engine.events_of(Topology)) == 2)
            assert [event.version for event in engine.events_of(Topology)] == [2, 2]

    run_on_loop(test)


@pytest.mark.parametrize("allowed", [True, False])
def test_probe_is_sent_only_where_allowed(allowed: bool) -> None:
    async def test() -> None:
        async with gateway_harness(limits__probes=allowed) as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, lambda a: [Probe(endpoint), Send(a.request_id, endpoint, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            commands = {}
            for _ in range(1 + allowed):
                connection, words = await harness.endpoint.next_command()
                commands[words[0]] = connection
            if allowed:
                commands[b"INFO"].send(bulk_string(b"load_share=0.25,concurrent=4"))
                await wait_until(lambda: bool(engine.events_of(ProbeEnded)))
                (probed,) = engine.events_of(ProbeEnded)
                assert (probed.outcome, probed.endpoint, probed.load_report) == (
                    Outcome.OK,
                    endpoint,
                    (0.25, 4.0),
                )
            commands[b"CALL.GET"].send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert harness.endpoint.commands.empty()
            assert len(engine.events_of(ProbeEnded)) == allowed

    run_on_loop(test)


def test_load_reports_reach_the_engine_in_the_order_of_the_settings_even_from_error_lines() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(harness, *[lambda a: [Send(a.request_id, endpoint, 0)]] * 3)
            client = await harness.connect_client()
            reports = {
                b"-ERR failed concurrent=9,load_share=0.5\r\n": (0.5, 9.0),
                b"-BUSY concurrent=1,other=2,load_share=1\r\n": (1.0, 1.0),
                b"-ERR failed concurrent=9\r\n": (),
            }
            for number, line in enumerate(reports):
                client.send(call_command(number=number))
                connection, _ = await harness.endpoint.next_command()
                connection.send(line)
                await wait_until(lambda: len(engine.events_of(AttemptEnded)) > number)  # noqa: B023
            assert [event.load_report for event in engine.events_of(AttemptEnded)] == list(reports.values())
            assert [event.request_finished for event in engine.events_of(AttemptEnded)] == [False] * 3

    run_on_loop(test)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            engine = script_engine(
                harness,
                lambda a: [Send(a.request_id, endpoint, 0)],
                lambda a: [CancelAttempt(a.request_id - 1, 0), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            assert engine.events_of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            assert harness.gateway.endpoint_connections.open_connections == 0

    run_on_loop(test)


def test_idle_connections_close_when_the_engine_asks_for_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            endpoint = only_endpoint(harness)
            script_engine(
                harness,
                lambda a: [Send(a.request_id, endpoint, 0)],
                lambda a: [CloseIdleConnections(endpoint), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"
            await wait_until(lambda: harness.endpoint.closed_connections == 1)

    run_on_loop(test)
