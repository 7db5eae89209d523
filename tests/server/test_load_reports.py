"""Reports of endpoints that are passed to the engine: load, quota usage and health."""

from __future__ import annotations

import pytest

from qos_gateway.server.requests.attempt_results import MAX_QUOTA_USAGE_PERCENT
from qos_gateway.types import Action, AttemptEnded, Event, Outcome, Probe, ProbeEnded, Send
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_endpoint import bulk_string, success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import forward_to, only_endpoint, script_engine


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
            reply = b"*3\r\n" + bulk_string(b"v") + quota_report + b"$-1\r\n"
            await harness.endpoint.reply_to_next_command(reply)
            assert await client.next_message() == b"v"
            assert reported == [quota_usage]

    run_on_loop(test)


def test_load_reports_reach_the_engine_in_the_order_of_the_settings_even_from_error_lines() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            engine = script_engine(harness, *[forward_to(only_endpoint(harness))] * 3)
            client = await harness.connect_client()
            reports = {
                b"-ERR failed concurrent=9,load_share=0.5\r\n": (0.5, 9.0),
                b"-BUSY concurrent=1,other=2,load_share=1\r\n": (1.0, 1.0),
                b"-ERR failed concurrent=9\r\n": (),
            }
            for number, line in enumerate(reports):
                client.send(call_command(number=number))
                await harness.endpoint.reply_to_next_command(line)
                await wait_until(lambda: len(engine.events_of(AttemptEnded)) > number)  # noqa: B023
            assert [event.load_report for event in engine.events_of(AttemptEnded)] == list(reports.values())
            assert [event.request_finished for event in engine.events_of(AttemptEnded)] == [False] * 3

    run_on_loop(test)


@pytest.mark.parametrize("allowed", [True, False])
def test_health_check_is_sent_only_where_allowed(allowed: bool) -> None:
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
                (health_check,) = engine.events_of(ProbeEnded)
                assert (health_check.outcome, health_check.endpoint) == (Outcome.OK, endpoint)
                assert health_check.load_report == (0.25, 4.0)
            commands[b"CALL.GET"].send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            assert harness.endpoint.commands.empty()
            assert len(engine.events_of(ProbeEnded)) == allowed

    run_on_loop(test)
