"""The discovery client's watch over loopback sockets: updates, reconnects and invalid data."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from qos_gateway.server.discovery.endpoint_list import EndpointUpdate
from qos_gateway.server.discovery.watch_connection import WatchConnection
from qos_gateway.server.discovery.watch_end_reason import WatchEndReason
from qos_gateway.server.discovery.watch_schedule import INITIAL_BACKOFF_S, MAX_BACKOFF_S
from qos_gateway.types import Health, ListKind
from tests.support.discovery import Follower, discovery_client, record_waits
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list


def test_updates_arrive_in_order_and_a_reconnected_watch_resumes_from_the_last_version() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, 40)
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=40 HTTP/1.1"
            agent.send_update(endpoint_list(41, endpoint_entry("s-1", 1)))
            line = b'{"seq":42,"whole":false,"hosts":[]}\n\n{"seq":43,"whole":false,"hosts":[]}\n{"se'
            agent.send_bytes(line)
            kinds = [(u.topology.version, u.topology.kind) for u in [await follower.next() for _ in range(3)]]
            assert kinds == [(41, ListKind.FULL), (42, ListKind.DELTA), (43, ListKind.DELTA)]
            agent.abort()
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=43 HTTP/1.1"
            agent.send_update(endpoint_list(44, whole=False))
            assert (await follower.next()).topology.version == 44
            await follower.watch.close()

    run_on_loop(test)


def test_watch_on_another_agent_resumes_from_the_last_version() -> None:
    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            follower = Follower(old, None)
            await with_timeout(old.requests.get())
            old.send_update(endpoint_list(41, endpoint_entry("s-1", 1)))
            await follower.next()
            follower.watch.change_agent((LOOPBACK, new.port))
            assert b"index=41" in await with_timeout(new.requests.get())
            follower.watch.change_agent((LOOPBACK, new.port))  # the current agent: no effect
            new.send_update(endpoint_list(42, whole=False))
            assert (await follower.next()).topology.version == 42
            assert new.requests.empty()
            assert old.requests.empty()
            await follower.watch.close()
            follower.watch.change_agent((LOOPBACK, old.port))
            await asyncio.sleep(0)
            assert old.requests.empty()

    run_on_loop(test)


def test_invalid_data_ends_the_watch_and_it_is_reopened() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, None)
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=0 HTTP/1.1"
            agent.send_bytes(b"no json\n")
            await with_timeout(agent.requests.get())
            agent.send_update(endpoint_list(1))
            assert (await follower.next()).topology.version == 1
            await follower.watch.close()

    run_on_loop(test)


def test_indented_list_is_parsed_from_fragments_of_any_size() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, None)
            await with_timeout(agent.requests.get())
            full_list = endpoint_list(41, endpoint_entry("s-1", 1), endpoint_entry("s-2", 2))
            agent.send_bytes(json.dumps(full_list, indent=2).encode() + b"\n")
            assert len((await follower.next()).topology.entries) == 2
            text = json.dumps(
                endpoint_list(42, endpoint_entry("s-1", 1, "terminating"), whole=False), indent="\t"
            ).encode()
            for byte in text + b"\n\n":
                agent.send_bytes(bytes([byte]))
            assert (await follower.next()).topology.entries[0].health is Health.DRAINING
            agent.send_update(endpoint_list(43, endpoint_entry("s-2", 2, "terminated"), whole=False))
            assert (await follower.next()).topology.version == 43
            assert agent.requests.empty()
            await follower.watch.close()

    run_on_loop(test)


@pytest.mark.parametrize(
    "invalid",
    [
        b'{"seq": 42,\n"whole": tru, "hosts": []}\n',
        b'{"seq": 42,\n\n',
        b'{\n"seq": 42, "hosts": [\n{"seq": 43}\n{}\n',
        b"]\n",
        b"[]\n",
        b"7\n",
    ],
)
def test_invalid_list_is_logged_and_changes_nothing(invalid: bytes, caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, 41)
            await with_timeout(agent.requests.get())
            agent.send_bytes(invalid)
            assert b"index=41" in await with_timeout(agent.requests.get())
            assert follower.updates.empty()
            assert "discovery_watch_ended" in caplog.text
            agent.send_update(endpoint_list(42, endpoint_entry("s-1", 1)))
            assert (await follower.next()).topology.version == 42
            await follower.watch.close()

    run_on_loop(test)


def test_backoff_is_reset_after_a_watch_that_was_up_to_date(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle watch receives only heartbeats; the propagation deadline counts from the last of them."""
    waits = record_waits(monkeypatch)

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, 7)
            for _ in range(8):
                await with_timeout(agent.requests.get())
                agent.abort()
            await with_timeout(agent.requests.get())
            assert max(waits[-2:]) >= MAX_BACKOFF_S / 2
            agent.send_bytes(b"\n")
            waits_before_close = len(waits)
            agent.writers[-1].close()  # close() sends the heartbeat first; abort() might discard it
            await with_timeout(agent.requests.get())
            assert waits[waits_before_close] <= INITIAL_BACKOFF_S
            await follower.watch.close()

    run_on_loop(test)


def test_backoff_after_a_closed_connection_is_at_most_half_the_drain_grace(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    waits = record_waits(monkeypatch)

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            updates: list[EndpointUpdate] = []
            watch = discovery_client(agent, 7, updates.append, drain_grace_s=0.25)
            watch.start()
            for _ in range(9):
                await with_timeout(agent.requests.get())
                agent.abort()
            assert len(waits) >= 8
            assert max(waits) <= 0.125
            await watch.close()

    run_on_loop(test)


def test_connection_to_the_agent_that_comes_up_too_late_is_closed() -> None:
    """A connection established at the moment its watch is cancelled must not stay open and be read."""

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            objects: list[Any] = []
            watch = WatchConnection("x", 7, objects.append)
            watch.close()
            await asyncio.get_running_loop().create_connection(lambda: watch, LOOPBACK, agent.port)
            await wait_until(lambda: watch._transport is not None and watch._transport.is_closing())
            assert watch._timer is None
            assert agent.requests.empty()

    run_on_loop(test)


@pytest.mark.parametrize(
    ("reason", "detail", "text"),
    [
        (WatchEndReason.RESPONSE_ENDED, None, "response_ended"),
        (WatchEndReason.CONNECTION_CLOSED, None, "connection_closed"),
        (WatchEndReason.CONNECTION_LOST, OSError("reset"), "connection_lost error=reset"),
        (WatchEndReason.IDLE_TIMEOUT, None, "idle_timeout"),
        (WatchEndReason.INVALID_RESPONSE, ValueError("{}"), "invalid_response error={}"),
        (WatchEndReason.OBJECT_TOO_LONG, None, "object_too_long"),
        (WatchEndReason.REJECTED, 503, "status_503"),
    ],
)
def test_log_text_of_the_reason_for_the_end_of_a_watch(
    reason: WatchEndReason, detail: object, text: str
) -> None:
    assert reason.log_text(detail) == text
