"""The gateway as its clients see it, over loopback sockets."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import hiredis
import pytest

from qos_gateway.server import client_connection, client_connections, client_timeouts
from qos_gateway.server.backends import Attempt
from qos_gateway.server.request_attempts import MAX_QUOTA_USAGE_PERCENT
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
from tests.support.servers import (
    CUSTOMER,
    GatewayHarness,
    bulk_string,
    call_command,
    endpoint_entry,
    endpoint_list,
    gateway_harness,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)

MS, SECOND = 1_000_000, 1_000_000_000


class ScriptedEngine:
    """Stands in for the decision engine: acts on each arrival as the test scripts it, and records events."""

    def __init__(self, *plans: Any) -> None:
        self.plans = list(plans)
        self.events = list[Event]()

    def handle(self, _now: int, event: Event) -> list[Action]:
        self.events.append(event)
        if not isinstance(event, Arrival):
            return []
        plan = self.plans.pop(0)
        if isinstance(plan, Exception):
            raise plan
        actions: list[Action] = plan(event)
        return actions

    def events_of(self, kind: type) -> list[Any]:
        return [event for event in self.events if isinstance(event, kind)]


def script_engine(harness: GatewayHarness, *plans: Any) -> ScriptedEngine:
    engine = ScriptedEngine(*plans)
    harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
    return engine


def pass_deadline(harness: GatewayHarness, engine: ScriptedEngine) -> None:
    """Let the latest request's deadline pass, however fast the machine is."""
    requests = harness.gateway.requests
    clock = harness.gateway.clock
    requests.clock = lambda: clock() + 60 * SECOND
    requests.on_deadline(engine.events_of(Arrival)[-1].request_id)
    requests.clock = clock


def only_backend(harness: GatewayHarness) -> int:
    return harness.gateway.backends.known_backends()[0]


def test_request_and_value_pass_through_unchanged() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"
            body = b"\x00\r\n$5\r\n" * 100
            client.send(call_command("submit", 0x9B1F, wait_ms=1500, body=body, extra=",r=1,odd=\xff"))
            connection, words = await harness.backend.next_command()
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
            connection, _ = await harness.backend.next_command()
            connection.send(b"*3\r\n" + bulk_string(b"v") + quota_report + b"$-1\r\n")
            assert await client.next_message() == b"v"
            assert reported == [quota_usage]

    run_on_loop(test)


def test_in_flight_count_of_the_engine_agrees_with_the_sockets_and_ends_at_zero() -> None:
    """After good replies, errors, rejections, malformed replies, resets, clients that leave, and a drain."""

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = harness.gateway.dispatcher.engine
            backends = harness.gateway.backends
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
                connection, _ = await harness.backend.next_command()
                busy = backends.open_connections - backends.idle_count()
                assert (
                    engine.request_table.in_flight
                    == busy
                    == sum(each.in_flight for each in engine.load_balancer.endpoints.values())
                    == 1
                )
                if number == len(endings) - 1:
                    harness.discovery.send_update(
                        endpoint_list(2, endpoint_entry("s-1", harness.backend.port, "terminating"))
                    )
                    await wait_until(lambda: not backends.has_usable())
                if ending is None:
                    client.abort()
                    await wait_until(lambda: not engine.request_table.open)
                    ending = success_reply(b"for nobody")
                if ending == b"-BUSY\r\n":
                    # Never ran, so it is tried again; there is but one backend to do so.
                    connection.send(ending)
                    connection, _ = await harness.backend.next_command()
                    assert engine.request_table.in_flight == 1
                connection.send(ending) if ending else connection.abort()
                await wait_until(lambda: engine.request_table.in_flight == 0)
                assert not engine.request_table.attempts
                assert not engine.request_table.open
                assert not harness.gateway.requests._requests
                assert backends.open_connections == backends.idle_count()
                assert not harness.gateway.requests._open_ids
                assert all(each.in_flight == 0 for each in engine.load_balancer.endpoints.values())
                for endpoint in engine.load_balancer.endpoints.values():
                    endpoint.ejected_until = 0  # the symptoms would have it ejected
            await wait_until(lambda: backends.open_connections == 0)
            assert all(each.in_flight == 0 for each in engine.quota.accounts.values())

    run_on_loop(test)


def test_answers_stand_in_the_order_of_the_commands() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2) + b"*1\r\n$4\r\nPING\r\n")
            by_id = {}
            for _ in range(2):
                connection, words = await harness.backend.next_command()
                by_id[words[2]] = connection
            by_id[b"%016x" % 2].send(success_reply(b"two"))
            await wait_until(
                lambda: harness.gateway.backends.idle_count() == 1
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
            backend = only_backend(harness)
            client = await harness.connect_client()
            engine = script_engine(
                harness, lambda a: [Send(a.request_id, backend, 0)], lambda a: [Fail(a.request_id)]
            )
            client.send(call_command())
            connection, _ = await harness.backend.next_command()
            pass_deadline(harness, engine)
            assert str(await client.next_message()).startswith("ERR")
            outcomes = [e.outcome for e in engine.events_of(AttemptEnded)]
            assert outcomes == [Outcome.TIMEOUT]
            connection.send(success_reply(b"late"))
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "ERR failed"

    run_on_loop(test)


def test_second_answer_of_the_module_is_dropped() -> None:
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
            backend = only_backend(harness)
            engine = script_engine(
                harness,
                lambda a: [Fail(a.request_id), Send(a.request_id, backend, 0)],
                lambda a: [Send(a.request_id, backend, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            assert str(await client.next_message()) == "ERR failed"
            client.send(call_command(number=2))
            _, words = await harness.backend.next_command()
            assert words[2] == b"%016x" % 2  # the first was never written
            assert not engine.events_of(ClientDisconnected)

    run_on_loop(test)


def test_disconnect_of_a_client_is_one_event() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, backend, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.backend.next_command()
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
    """A backend that vanished sends nothing: its connection would stay open and counted for good."""

    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, backend, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            await harness.backend.next_command()
            client.abort()
            await wait_until(lambda: bool(engine.events_of(ClientDisconnected)))
            assert not engine.events_of(AttemptEnded)
            timer = harness.gateway.requests._requests[engine.events_of(Arrival)[0].request_id].timer
            assert timer is not None
            assert not timer.cancelled()
            pass_deadline(harness, engine)
            (ended,) = engine.events_of(AttemptEnded)
            assert (ended.outcome, ended.request_finished) == (Outcome.TIMEOUT, True)
            await wait_until(lambda: harness.backend.closed_connections == 1)
            assert harness.gateway.backends.open_connections == 0

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

            monkeypatch.setattr(harness.gateway.backends, "start_attempt", start)
            backend = only_backend(harness)
            engine = script_engine(harness, lambda a: [Send(a.request_id, backend, 0)])
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
            drain = endpoint_list(2, endpoint_entry("s-1", harness.backend.port, "terminating"), whole=False)
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
            backend = only_backend(harness)
            engine = script_engine(harness, lambda a: [Probe(backend), Send(a.request_id, backend, 0)])
            client = await harness.connect_client()
            client.send(call_command())
            commands = {}
            for _ in range(1 + allowed):
                connection, words = await harness.backend.next_command()
                commands[words[0]] = connection
            if allowed:
                commands[b"INFO"].send(bulk_string(b"load_share=0.25,concurrent=4"))
                await wait_until(lambda: bool(engine.events_of(ProbeEnded)))
                (probed,) = engine.events_of(ProbeEnded)
                assert (probed.outcome, probed.endpoint, probed.load_report) == (
                    Outcome.OK,
                    backend,
                    (0.25, 4.0),
                )
            commands[b"CALL.GET"].send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert harness.backend.commands.empty()
            assert len(engine.events_of(ProbeEnded)) == allowed

    run_on_loop(test)


def test_reports_reach_the_module_in_the_order_of_the_settings_also_from_error_lines() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            engine = script_engine(harness, *[lambda a: [Send(a.request_id, backend, 0)]] * 3)
            client = await harness.connect_client()
            reports = {
                b"-ERR failed concurrent=9,load_share=0.5\r\n": (0.5, 9.0),
                b"-BUSY concurrent=1,other=2,load_share=1\r\n": (1.0, 1.0),
                b"-ERR failed concurrent=9\r\n": (),
            }
            for number, line in enumerate(reports):
                client.send(call_command(number=number))
                connection, _ = await harness.backend.next_command()
                connection.send(line)
                await wait_until(lambda: len(engine.events_of(AttemptEnded)) > number)  # noqa: B023
            assert [event.load_report for event in engine.events_of(AttemptEnded)] == list(reports.values())
            assert [event.request_finished for event in engine.events_of(AttemptEnded)] == [False] * 3

    run_on_loop(test)


def test_cancelled_attempt_closes_its_connection() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            engine = script_engine(
                harness,
                lambda a: [Send(a.request_id, backend, 0)],
                lambda a: [CancelAttempt(a.request_id - 1, 0), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1) + call_command(number=2))
            await wait_until(lambda: bool(engine.events_of(AttemptEnded)))
            assert engine.events_of(AttemptEnded)[0].outcome is Outcome.CANCELLED
            assert harness.gateway.backends.open_connections == 0

    run_on_loop(test)


def test_idle_connections_close_when_the_module_says_so() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            script_engine(
                harness,
                lambda a: [Send(a.request_id, backend, 0)],
                lambda a: [CloseIdleConnections(backend), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.backend.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"
            await wait_until(lambda: harness.backend.closed_connections == 1)

    run_on_loop(test)


def test_stopping_gateway_closes_a_busy_connection_with_its_answer() -> None:
    """A periodic check would hardly ever find a busy client between two requests."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command())
            connection, _ = await harness.backend.next_command()
            harness.gateway.clients.closing = True
            connection.send(success_reply(b"v"))
            assert [await client.next_message(), await client.next_message()] == [b"v", None]

    run_on_loop(test)


def test_clients_beyond_the_bound_make_resting_ones_give_way() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda _a: [])
            harness.gateway.clients.max_connections = 3
            busy = await harness.connect_client()
            busy.send(call_command())
            await wait_until(lambda: busy_requests(harness) == 1)
            resting = [await harness.connect_client() for _ in range(5)]
            assert [await client.next_message() for client in resting[:3]] == [None] * 3
            for client in resting[3:]:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next_message() == b"PONG"
            assert harness.gateway.clients.connection_count() == 3
            assert busy_requests(harness) == 1

    run_on_loop(test)


def busy_requests(harness: GatewayHarness) -> int:
    return len(harness.gateway.dispatcher.engine.events_of(Arrival))  # type: ignore[attr-defined]


@pytest.mark.parametrize(
    ("words", "reason"),
    [
        ((b"CALL.GET", CUSTOMER, b"1"), "wrong number of arguments"),
        ((b"CALL.GET", b"zz", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", b"0000000200000000", b"1", b"c=look up,t=team,d=5"), "bad customer"),
        ((b"CALL.GET", CUSTOMER, b"", b"c=look up,t=team,d=5"), "bad request id"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=none,t=team,d=5"), "unknown class"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=none,d=5"), "unknown plan"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=charge,t=team,d=5"), "the class is not served by this command"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5"), "k missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team"), "d missing"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=-5"), "bad or missing d"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,d=6"), "a name stands twice"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,units=nan,spread=1,first=0"), "bad units"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=9,first=0"), "bad or missing spread"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=2"), "bad or missing first"),
        *[
            ((b"CALL.GET", customer, b"1", b"c=look up,t=team,d=5"), "bad customer")
            for customer in (
                b"0x000000b4d65521",
                b"+0000000b4d65521",
                b"00000000b4d6_521",
                b" 0000000b4d65521",
                b"b4d65521",
            )
        ],
        *[
            ((b"CALL.GET", CUSTOMER, id_, b"c=look up,t=team,d=5"), "bad request id")
            for id_ in (b"a b", b"\xff", b"c=look", b"x" * 65)
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,spread=1,first=0,units=" + units),
                "bad units",
            )
            for units in (b"", b"0", b"-1", b"+1", b"1_0", b" 1", b"1e0", b"inf", b"2", b"9" * 11, b"0x1")
        ],
        *[
            (
                (b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,units=1,spread=1,first=0,d=" + d),
                "bad or missing d",
            )
            for d in (b"", b"1.5", b"+5", b"5_0", b"soon", b"99999999999999", "\u0665".encode())
        ],
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5,odd"), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b""), "name=value"),
        ((b"CALL.GET", CUSTOMER, b"1", b"c=look up,t=team,d=5", b"BODY"), "takes no value"),
        ((b"CALL.POST", CUSTOMER, b"1", b"c=submit,t=team,d=5,k=a b"), "k missing"),
        ((b"FLUSHALL",), "unknown command"),
    ],
)
def test_bad_command_gets_a_plain_reason_and_the_connection_stays(
    words: tuple[bytes, ...], reason: str
) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(hiredis.pack_command(words))  # type: ignore[arg-type]
            answer = await client.next_message()
            assert isinstance(answer, hiredis.ReplyError)
            assert reason in str(answer)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


@pytest.mark.parametrize("behind", [b"", call_command()])
@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n:5\r\n",
        b"*x\r\n",
        b"$4\r\nPING\r\n",
        b"*1000000\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*" + b"1" * 4096,
        b"x" * 4096,
        b"*1\r\n$-1\r\n",
        b"*1\r\n$3\r\nPING\r\n",
        b"*+1\r\n",
        b"*1\r\n$-9223372036854775808\r\n",
        b"*1\r\n*1\r\n",
        b"*1\r\n_\r\n",
        b"PING\r\n",
        b"*2\r\n$65536\r\n" + b"x" * 65536 + b"\r\n$65536\r\n",
        b"*2\r\n$4\r\nPING\r\n$60000000\r\n" + b"x" * 300_000,
    ],
)
def test_broken_resp_is_told_and_closes_the_connection_and_no_other(data: bytes, behind: bytes) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda a: [Reject(a.request_id, 0)])
            other, client = await harness.connect_client(), await harness.connect_client()
            # Behind another command, and with its header in two pieces.
            client.send(behind + data[:2])
            await asyncio.sleep(0)
            client.send(data[2:])
            if behind:
                assert str(await client.next_message()) == "BUSY"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None
            other.send(b"*1\r\n$4\r\nPING\r\n")
            assert await other.next_message() == b"PONG"

    run_on_loop(test)


def test_close_with_bytes_unread_takes_no_answer_along() -> None:
    """Half-close: the client may go on sending for a while, and reads all its replies."""

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?" + b"x" * 200_000)
            connection, _ = await harness.backend.next_command()
            value = b"v" * 60_000
            connection.send(success_reply(value))
            await wait_until(lambda: harness.gateway.backends.idle_count() == 1)
            for _ in range(20):
                client.send(b"x" * 10_000)
                await asyncio.sleep(0)
            assert await client.next_message() == value
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


@pytest.mark.parametrize(
    "data", [b"", b"*", b"*4\r\n$8\r\nCALL.GET\r\n", b"*1\r\n$60000\r\n" + b"x" * 59_000]
)
def test_client_that_says_nothing_or_half_a_command_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert client_timeouts.COMMAND_TIMEOUT_S + client_connections.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "COMMAND_TIMEOUT_S", 0.02)
    monkeypatch.setattr(client_connections, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(data)
            if data:
                assert "without end" in str(await client.next_message())
            assert await client.next_message() is None
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_client_that_does_not_read_is_closed_and_its_commands_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    assert client_timeouts.WRITE_STALL_TIMEOUT_S + client_connections.CHECK_INTERVAL_S < 3.0
    monkeypatch.setattr(client_timeouts, "WRITE_STALL_TIMEOUT_S", 0.05)
    monkeypatch.setattr(client_connections, "CHECK_INTERVAL_S", 0.01)

    async def test() -> None:
        async with gateway_harness() as harness:
            backend = only_backend(harness)
            request_count = 600  # some 40 MB of replies, far over the sockets' buffers
            engine = script_engine(harness, *[lambda a: [Send(a.request_id, backend, 0)]] * request_count)

            async def answer() -> None:
                while True:
                    connection, _ = await harness.backend.commands.get()
                    connection.send(success_reply(b"v" * 65_000))

            answering = asyncio.create_task(answer())
            client = await harness.connect_client()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            client.send(b"".join(call_command(number=number) for number in range(request_count)))
            await wait_until(
                lambda: bool(engine.events_of(Arrival)) and harness.gateway.clients.connection_count() == 0
            )
            answering.cancel()
            assert len(engine.events_of(Arrival)) < request_count
            assert harness.gateway.clients.deferred_bytes == 0

    run_on_loop(test)


def test_commands_beyond_the_pipeline_wait_unread_and_are_all_answered_in_order() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            number = 3 * client_connection.MAX_PIPELINED
            arrived: list[int] = []

            def hold(a: Arrival) -> list[Action]:
                arrived.append(a.request_id)
                return []

            script_engine(harness, *[hold] * number)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n) for n in range(number)))
            await wait_until(lambda: len(arrived) == client_connection.MAX_PIPELINED)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            while len(arrived) < number:
                assert len(harness.gateway.requests._requests) <= client_connection.MAX_PIPELINED
                before = len(arrived)
                harness.gateway.executor.execute(
                    Reject(arrived[before - 1], 7 * MS)
                )  # out of order: the last of them first
                for request in arrived[before - client_connection.MAX_PIPELINED : before - 1]:
                    harness.gateway.executor.execute(Reject(request, 7 * MS))
                await wait_until(lambda before=before: len(arrived) > before)  # type: ignore[misc]
            for request in arrived[-client_connection.MAX_PIPELINED :]:
                harness.gateway.executor.execute(Reject(request, 7 * MS))
            assert {str(await client.next_message()) for _ in range(number)} == {"BUSY 7"}
            assert await client.next_message() == b"PONG"
            assert harness.gateway.clients.deferred_bytes == 0

    run_on_loop(test)


def test_commands_that_wait_unread_are_bounded_over_all_clients() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.buffer_memory = 10_000
            script_engine(harness, *[lambda _a: []] * client_connection.MAX_PIPELINED)
            client = await harness.connect_client()
            client.send(b"".join(call_command(number=n, wait_ms=60) for n in range(300)))
            answers = [str(await client.next_message()) for _ in range(client_connection.MAX_PIPELINED)]
            assert set(answers) == {"ERR out of time"}
            assert "too many" in str(await client.next_message())
            assert await client.next_message() is None
            assert harness.gateway.clients.deferred_bytes == 0

    run_on_loop(test)


def test_id_of_an_open_request_is_not_taken_again() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[lambda _a: []] * 3)
            client, other = await harness.connect_client(), await harness.connect_client()
            client.send(call_command(number=5))
            await wait_until(lambda: busy_requests(harness) == 1)
            other.send(call_command(number=5))
            assert "open" in str(await other.next_message())
            assert busy_requests(harness) == 1
            client.abort()
            await wait_until(lambda: len(engine.events_of(ClientDisconnected)) == 1)
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"
            other.send(call_command(number=5, wait_ms=60))
            assert str(await other.next_message()) == "ERR out of time"

    run_on_loop(test)


def test_resting_clients_are_closed_early_only_where_connections_are_few(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_timeouts, "SCARCE_IDLE_TIMEOUT_S", 0.0)

    async def test() -> None:
        async with gateway_harness() as harness:
            idle_clients = [await harness.connect_client() for _ in range(4)]
            for client in idle_clients:
                client.send(b"*1\r\n$4\r\nPING\r\n")
                assert await client.next_message() == b"PONG"
            harness.gateway.clients.max_connections = 6
            harness.gateway.clients._check_timeouts()
            await asyncio.sleep(0)
            assert harness.gateway.clients.connection_count() == 4
            harness.gateway.clients.max_connections = 5
            harness.gateway.clients._check_timeouts()
            await wait_until(lambda: harness.gateway.clients.connection_count() == 0)

    run_on_loop(test)


def test_newcomer_is_closed_where_no_connection_rests() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            harness.gateway.clients.max_connections = 2
            script_engine(harness, *[lambda _a: []] * 2)
            busy = [await harness.connect_client() for _ in range(2)]
            for number, client in enumerate(busy):
                client.send(call_command(number=number))
            await wait_until(lambda: busy_requests(harness) == 2)
            assert await (await harness.connect_client()).next_message() is None
            assert harness.gateway.clients.connection_count() == 2

    run_on_loop(test)


def test_broken_resp_behind_a_request_does_not_lose_it() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command() + b"?\r\n")
            connection, _ = await harness.backend.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert str(await client.next_message()).startswith("ERR Protocol error")
            assert await client.next_message() is None

    run_on_loop(test)


def test_command_in_pieces_is_read_whole() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            script_engine(harness, lambda a: [Reject(a.request_id, 0)])
            client = await harness.connect_client()
            data = call_command("charge", body=b"y" * 2000)
            for at in range(0, len(data), 700):
                client.send(data[at : at + 700])
                await with_timeout(client.writer.drain())
                await asyncio.sleep(0)
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)
