"""Older versions of the endpoint list, from an agent that lags behind the one before."""

from __future__ import annotations

import pytest

from qos_gateway.types import Health
from qos_gateway.units import MILLISECOND
from tests.support.discovery import Follower
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list


def test_drain_holds_though_a_lagging_agent_sends_an_older_whole_list() -> None:
    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            f = Follower(old, None)
            await with_timeout(old.requests.get())
            old.send_update(
                endpoint_list(
                    41, endpoint_entry("s-1", 1, "terminating"), endpoint_entry("s-2", 2, "terminating")
                )
            )
            await f.next()
            f.watch.change_agent((LOOPBACK, new.port))
            await with_timeout(new.requests.get())
            # The second has restarted, so the drain of its previous process no longer holds.
            new.send_update(
                endpoint_list(
                    40,
                    endpoint_entry("s-1", 1),
                    endpoint_entry("s-2", 2, born_ms=5),
                    endpoint_entry("s-3", 3),
                )
            )
            topology = (await f.next()).topology
            assert [e.health for e in topology.entries] == [Health.DRAINING, Health.READY, Health.READY]
            new.send_update(endpoint_list(42, endpoint_entry("s-1", 1), whole=False))
            assert (await f.next()).topology.entries[0].health is Health.READY
            await f.watch.close()

    run_on_loop(test)


@pytest.mark.parametrize("known_by", ["whole list", "configuration", "process before"])
def test_older_whole_list_brings_back_nothing_that_was_gone_or_draining(known_by: str) -> None:
    """What a whole list leaves out is gone: an agent that lags behind the one before may still name it."""

    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        newest = endpoint_list(41, endpoint_entry("s-1", 1), endpoint_entry("s-2", 2, "terminating"))
        async with listening(old), listening(new):
            f = Follower(old, 40, newest if known_by == "configuration" else None)
            await with_timeout(old.requests.get())
            if known_by == "whole list":
                first = endpoint_list(
                    40, *(endpoint_entry(f"s-{n}", n) for n in (1, 2, 3)), endpoint_entry("s-4", 4, born_ms=7)
                )
                old.send_update(first)
                old.send_update(newest)
                await f.next()
                await f.next()
            elif known_by == "process before":
                f.watch.adopt_list(newest)
            f.watch.change_agent((LOOPBACK, new.port))
            await with_timeout(new.requests.get())
            listed = [endpoint_entry(f"s-{n}", n) for n in (1, 2, 3)]
            new.send_update(endpoint_list(39, *listed, endpoint_entry("s-4", 4, born_ms=9)))
            topology = (await f.next()).topology
            # Where s-3 was never seen nobody knows that it is gone; s-4 has started again since.
            seen = known_by == "whole list"
            gone = Health.DRAINING if seen else Health.READY
            assert [e.health for e in topology.entries] == [Health.READY, Health.DRAINING, gone, Health.READY]
            # Nor do changes from before the newest list bring anything back.
            new.send_update(endpoint_list(40, *(endpoint_entry(f"s-{n}", n) for n in (2, 3)), whole=False))
            topology = (await f.next()).topology
            assert [e.health for e in topology.entries] == [Health.DRAINING, gone]
            hosts = (f.watch.current_list() or {})["hosts"]
            last = "terminating" if seen else "in_service"
            assert [host["health"] for host in hosts[:3]] == ["in_service", "terminating", last]
            new.send_update(
                endpoint_list(42, endpoint_entry("s-2", 2), endpoint_entry("s-3", 3), whole=False)
            )
            topology = (await f.next()).topology
            assert [e.health for e in topology.entries] == [Health.READY, Health.READY]
            await f.watch.close()

    run_on_loop(test)


def test_older_list_takes_back_no_restart_that_a_newer_one_told_of() -> None:
    """An endpoint that an older list calls warm is cold still, and one that has drained since drains on."""

    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            f = Follower(old, None)
            await with_timeout(old.requests.get())
            old.send_update(
                endpoint_list(
                    41,
                    endpoint_entry("s-1", 1, born_ms=9),
                    endpoint_entry("s-2", 2, "terminating", born_ms=9),
                    endpoint_entry("s-3", 3, born_ms=5),
                )
            )
            await f.next()
            f.watch.change_agent((LOOPBACK, new.port))
            await with_timeout(new.requests.get())
            before = [endpoint_entry("s-1", 1), endpoint_entry("s-2", 2), endpoint_entry("s-3", 3, born_ms=8)]
            new.send_update(endpoint_list(40, *before))
            entries = (await f.next()).topology.entries
            assert [(e.health, e.started_at // MILLISECOND) for e in entries] == [
                (Health.READY, 9),
                (Health.DRAINING, 9),
                (Health.READY, 8),
            ]
            await f.watch.close()

    run_on_loop(test)
