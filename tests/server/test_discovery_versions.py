"""Older versions of the endpoint list, from an agent that lags behind the previous one."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from qos_gateway.types import Health
from qos_gateway.units import MILLISECOND
from tests.support.discovery import Follower
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list


@dataclass(frozen=True)
class AgentChange:
    """A follower of one agent that is switched to another, which lags behind."""

    old: FakeDiscovery
    new: FakeDiscovery
    follower: Follower

    async def change_agent(self) -> None:
        self.follower.watch.change_agent((LOOPBACK, self.new.port))
        await with_timeout(self.new.requests.get())


@asynccontextmanager
async def agent_change(
    version: int | None, known: dict[str, Any] | None = None
) -> AsyncIterator[AgentChange]:
    """Yield a follower that has called the old agent; it starts with version `version` and list `known`."""
    old, new = FakeDiscovery(), FakeDiscovery()
    async with listening(old), listening(new):
        follower = Follower(old, version, known)
        await with_timeout(old.requests.get())
        yield AgentChange(old, new, follower)
        await follower.watch.close()


def test_endpoint_stays_draining_if_a_lagging_agent_sends_an_older_full_list() -> None:
    async def test() -> None:
        async with agent_change(None) as change:
            change.old.send_update(
                endpoint_list(
                    41, endpoint_entry("s-1", 1, "terminating"), endpoint_entry("s-2", 2, "terminating")
                )
            )
            await change.follower.next()
            await change.change_agent()
            # s-2 has restarted, so the drain of its previous process no longer applies.
            change.new.send_update(
                endpoint_list(
                    40,
                    endpoint_entry("s-1", 1),
                    endpoint_entry("s-2", 2, born_ms=5),
                    endpoint_entry("s-3", 3),
                )
            )
            topology = (await change.follower.next()).topology
            assert [e.health for e in topology.entries] == [Health.DRAINING, Health.READY, Health.READY]
            change.new.send_update(endpoint_list(42, endpoint_entry("s-1", 1), whole=False))
            assert (await change.follower.next()).topology.entries[0].health is Health.READY

    run_on_loop(test)


@pytest.mark.parametrize("known_by", ["full list", "configuration", "previous process"])
def test_older_full_list_restores_no_removed_or_draining_endpoint(known_by: str) -> None:
    """A full list removes the endpoints it omits, but a lagging agent may still list them."""

    async def test() -> None:
        newest = endpoint_list(41, endpoint_entry("s-1", 1), endpoint_entry("s-2", 2, "terminating"))
        async with agent_change(40, newest if known_by == "configuration" else None) as change:
            if known_by == "full list":
                first = endpoint_list(
                    40, *(endpoint_entry(f"s-{n}", n) for n in (1, 2, 3)), endpoint_entry("s-4", 4, born_ms=7)
                )
                change.old.send_update(first)
                change.old.send_update(newest)
                await change.follower.next()
                await change.follower.next()
            elif known_by == "previous process":
                change.follower.watch.restore_list(newest)
            await change.change_agent()
            listed = [endpoint_entry(f"s-{n}", n) for n in (1, 2, 3)]
            change.new.send_update(endpoint_list(39, *listed, endpoint_entry("s-4", 4, born_ms=9)))
            topology = (await change.follower.next()).topology
            # If s-3 was never listed, its removal is unknown. s-4 has restarted since.
            seen = known_by == "full list"
            removed = Health.DRAINING if seen else Health.READY
            assert [e.health for e in topology.entries] == [
                Health.READY,
                Health.DRAINING,
                removed,
                Health.READY,
            ]
            # A delta older than the newest list restores no endpoint either.
            change.new.send_update(
                endpoint_list(40, *(endpoint_entry(f"s-{n}", n) for n in (2, 3)), whole=False)
            )
            topology = (await change.follower.next()).topology
            assert [e.health for e in topology.entries] == [Health.DRAINING, removed]
            hosts = (change.follower.watch.current_list() or {})["hosts"]
            last = "terminating" if seen else "in_service"
            assert [host["health"] for host in hosts[:3]] == ["in_service", "terminating", last]
            change.new.send_update(
                endpoint_list(42, endpoint_entry("s-2", 2), endpoint_entry("s-3", 3), whole=False)
            )
            topology = (await change.follower.next()).topology
            assert [e.health for e in topology.entries] == [Health.READY, Health.READY]

    run_on_loop(test)


def test_older_list_does_not_revert_a_restart_in_a_newer_one() -> None:
    """An endpoint listed as warm by an older list stays in slow start; a draining one stays draining."""

    async def test() -> None:
        async with agent_change(None) as change:
            change.old.send_update(
                endpoint_list(
                    41,
                    endpoint_entry("s-1", 1, born_ms=9),
                    endpoint_entry("s-2", 2, "terminating", born_ms=9),
                    endpoint_entry("s-3", 3, born_ms=5),
                )
            )
            await change.follower.next()
            await change.change_agent()
            before = [endpoint_entry("s-1", 1), endpoint_entry("s-2", 2), endpoint_entry("s-3", 3, born_ms=8)]
            change.new.send_update(endpoint_list(40, *before))
            entries = (await change.follower.next()).topology.entries
            assert [(e.health, e.started_at // MILLISECOND) for e in entries] == [
                (Health.READY, 9),
                (Health.DRAINING, 9),
                (Health.READY, 8),
            ]

    run_on_loop(test)
