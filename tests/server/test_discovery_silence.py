"""Watches on discovery that receive no data."""

from __future__ import annotations

import asyncio

import pytest

from qos_gateway.server.discovery import watch_connection as discovery_watch
from qos_gateway.server.discovery import watch_schedule
from qos_gateway.server.discovery.watch_schedule import UPDATE_TIME_S
from tests.support.discovery import Follower
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(discovery_watch, "IDLE_TIMEOUT_S", 0.05)
        agent = FakeDiscovery()
        async with listening(agent):
            follower = Follower(agent, 7)
            for _ in range(2):
                assert b"index=7" in await with_timeout(agent.requests.get())
            await follower.watch.close()

    run_on_loop(test)


def test_silent_watch_after_an_agent_change_is_closed_before_the_shorter_propagation_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new agent's list must be in effect 4 s after the change; the idle timeout of 5 s is too late."""

    async def test() -> None:
        monkeypatch.setattr(watch_schedule, "PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S", UPDATE_TIME_S + 0.2)
        loop = asyncio.get_running_loop()
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            follower = Follower(old, 7)
            await with_timeout(old.requests.get())
            follower.watch.change_agent((LOOPBACK, new.port))
            await with_timeout(new.requests.get())
            changed_at = loop.time()
            await with_timeout(new.requests.get())
            assert loop.time() - changed_at < discovery_watch.IDLE_TIMEOUT_S / 2
            await follower.watch.close()

    run_on_loop(test)


def test_watch_that_becomes_silent_after_an_agent_change_is_closed_before_the_shorter_propagation_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The watch received a list but not the following heartbeat."""

    async def test() -> None:
        monkeypatch.setattr(watch_schedule, "PROPAGATION_DEADLINE_AFTER_AGENT_CHANGE_S", UPDATE_TIME_S + 0.3)
        monkeypatch.setattr(discovery_watch, "HEARTBEAT_TIMEOUT_S", 0.1, raising=False)
        loop = asyncio.get_running_loop()
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            follower = Follower(old, 7)
            await with_timeout(old.requests.get())
            new.first_update = endpoint_list(8, endpoint_entry("s-1", 1))
            follower.watch.change_agent((LOOPBACK, new.port))
            await follower.next()
            changed_at = loop.time()
            await with_timeout(new.requests.get())
            await with_timeout(new.requests.get())
            assert loop.time() - changed_at < discovery_watch.IDLE_TIMEOUT_S / 2
            await follower.watch.close()

    run_on_loop(test)
