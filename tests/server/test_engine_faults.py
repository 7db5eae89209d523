"""Exceptions in the engine or in one of its actions: each fails at most the request that it concerns."""

from __future__ import annotations

import logging

import pytest

from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.types import (
    Action,
    ClientDisconnected,
    Event,
    Reject,
    SendPeerMessage,
    SetTimer,
    TimerFired,
    Topology,
)
from qos_gateway.units import MILLISECOND
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import ScriptedEngine, forward_to, only_endpoint, reject, script_engine


def test_fault_in_one_event_fails_one_request(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, KeyError("broken"), reject)
            client = await harness.connect_client()
            with caplog.at_level(logging.ERROR):
                client.send(call_command(number=1))
                assert str(await client.next_message()) == "ERR internal fault"
            assert len(engine.events_of(ClientDisconnected)) == 1
            assert "KeyError: 'broken'" in caplog.text
            client.send(call_command(number=2))
            assert str(await client.next_message()) == "BUSY"

    run_on_loop(test)


def test_failed_action_does_not_prevent_the_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The engine sets its periodic timer once per tick: a failed action must neither drop nor repeat it."""

    async def test() -> None:
        async with gateway_harness() as harness:

            def send(_recipient: int | None, _data: bytes) -> None:
                raise OSError("no buffer")

            monkeypatch.setattr(harness.gateway.peers, "send", send)
            engine = script_engine(
                harness,
                lambda a: [SendPeerMessage(None, b"x"), SetTimer(MILLISECOND, 7), Reject(a.request_id, 0)],
            )
            client = await harness.connect_client()
            client.send(call_command())
            assert str(await client.next_message()) == "BUSY"
            await wait_until(lambda: any(event.token == 7 for event in engine.events_of(TimerFired)))
            assert [event.token for event in engine.events_of(TimerFired)].count(7) == 1
            assert "action_fault action=SendPeerMessage" in caplog.text

    run_on_loop(test)


def test_request_whose_action_fails_gets_a_response(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:

            def start(_attempt: Attempt, _timeout: float | None) -> None:
                raise OSError("no descriptor")

            monkeypatch.setattr(harness.gateway.endpoint_connections, "start_attempt", start)
            engine = script_engine(harness, forward_to(only_endpoint(harness)))
            client = await harness.connect_client()
            client.send(call_command())
            assert str(await client.next_message()) == "ERR internal fault"
            (arrival,) = engine.arrivals
            disconnected = [event.request_id for event in engine.events_of(ClientDisconnected)]
            assert disconnected == [arrival.request_id]

    run_on_loop(test)


def test_timer_of_the_engine_survives_a_fault() -> None:
    class FaultyEngine(ScriptedEngine):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            raise ValueError("every time")

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = FaultyEngine()
            harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
            await wait_until(lambda: len(engine.events_of(TimerFired)) >= 2)

    run_on_loop(test)


def test_endpoint_list_that_causes_a_fault_is_requested_again() -> None:
    """A fault must not lose the notice of a drain: the drain grace counts from when the notice was sent."""

    class FaultyEngine(ScriptedEngine):
        def handle(self, now: int, event: Event) -> list[Action]:
            super().handle(now, event)
            if len(self.events_of(Topology)) == 1 and isinstance(event, Topology):
                raise ValueError("once")
            return []

    async def test() -> None:
        async with gateway_harness() as harness:
            engine = FaultyEngine()
            harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
            await with_timeout(harness.discovery.requests.get())
            drain = endpoint_list(2, endpoint_entry("s-1", harness.endpoint.port, "terminating"), whole=False)
            harness.discovery.send_update(drain)
            harness.discovery.first_update = drain
            assert b"index=1 " in await with_timeout(harness.discovery.requests.get())
            await wait_until(lambda: len(engine.events_of(Topology)) == 2)
            assert [event.version for event in engine.events_of(Topology)] == [2, 2]

    run_on_loop(test)
