"""Discovery's watch, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from qos_gateway.server.discovery import watch_connection as discovery_watch
from qos_gateway.server.discovery import watch_schedule
from qos_gateway.server.discovery.client import DiscoveryClient
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate, parse_update
from qos_gateway.server.discovery.watch_connection import WatchConnection
from qos_gateway.server.discovery.watch_schedule import INITIAL_BACKOFF_S, MAX_BACKOFF_S, UPDATE_TIME_S
from qos_gateway.types import Health, ListKind
from qos_gateway.units import MILLISECOND
from tests.support.servers import (
    LOOPBACK,
    FakeDiscovery,
    endpoint_entry,
    endpoint_list,
    listening,
    run_on_loop,
    wait_until,
    with_timeout,
)

ZONES, KINDS = ("a", "b"), ("m1", "m2")


class Follower:
    """Collects what a watch brings."""

    def __init__(self, agent: FakeDiscovery, index: int | None, known: dict[str, Any] | None = None) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.watch = DiscoveryClient((LOOPBACK, agent.port), ZONES, KINDS, index, self.updates.put_nowait)
        if known is not None:
            self.watch.note_known(parse_update(known, ZONES, KINDS, cached=True))
        self.watch.start()

    async def next(self) -> EndpointUpdate:
        return await with_timeout(self.updates.get())


def test_changes_come_in_order_and_a_broken_watch_goes_on_from_the_last_version() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, 40)
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=40 HTTP/1.1"
            agent.send_update(endpoint_list(41, endpoint_entry("s-1", 1)))
            line = b'{"seq":42,"whole":false,"hosts":[]}\n\n{"seq":43,"whole":false,"hosts":[]}\n{"se'
            agent.send_bytes(line)
            kinds = [(u.topology.version, u.topology.kind) for u in [await f.next() for _ in range(3)]]
            assert kinds == [(41, ListKind.FULL), (42, ListKind.DELTA), (43, ListKind.DELTA)]
            agent.abort()
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=43 HTTP/1.1"
            agent.send_update(endpoint_list(44, whole=False))
            assert (await f.next()).topology.version == 44
            await f.watch.close()

    run_on_loop(test)


def test_watch_moves_to_another_agent_and_goes_on_from_the_last_version() -> None:
    async def test() -> None:
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            f = Follower(old, None)
            await with_timeout(old.requests.get())
            old.send_update(endpoint_list(41, endpoint_entry("s-1", 1)))
            await f.next()
            f.watch.change_agent((LOOPBACK, new.port))
            assert b"index=41" in await with_timeout(new.requests.get())
            f.watch.change_agent((LOOPBACK, new.port))  # where it already is
            new.send_update(endpoint_list(42, whole=False))
            assert (await f.next()).topology.version == 42
            assert new.requests.empty()
            assert old.requests.empty()
            await f.watch.close()
            f.watch.change_agent((LOOPBACK, old.port))
            await asyncio.sleep(0)
            assert old.requests.empty()

    run_on_loop(test)


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


def test_junk_on_the_watch_breaks_it_and_it_is_taken_up_again() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, None)
            assert await with_timeout(agent.requests.get()) == b"GET /api/targets?stream=1&index=0 HTTP/1.1"
            agent.send_bytes(b"no json\n")
            await with_timeout(agent.requests.get())
            agent.send_update(endpoint_list(1))
            assert (await f.next()).topology.version == 1
            await f.watch.close()

    run_on_loop(test)


def test_indented_list_is_read_however_its_pieces_come() -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, None)
            await with_timeout(agent.requests.get())
            whole = endpoint_list(41, endpoint_entry("s-1", 1), endpoint_entry("s-2", 2))
            agent.send_bytes(json.dumps(whole, indent=2).encode() + b"\n")
            assert len((await f.next()).topology.entries) == 2
            text = json.dumps(
                endpoint_list(42, endpoint_entry("s-1", 1, "terminating"), whole=False), indent="\t"
            ).encode()
            for byte in text + b"\n\n":
                agent.send_bytes(bytes([byte]))
            assert (await f.next()).topology.entries[0].health is Health.DRAINING
            agent.send_update(endpoint_list(43, endpoint_entry("s-2", 2, "terminated"), whole=False))
            assert (await f.next()).topology.version == 43
            assert agent.requests.empty()
            await f.watch.close()

    run_on_loop(test)


@pytest.mark.parametrize(
    "junk",
    [
        b'{"seq": 42,\n"whole": tru, "hosts": []}\n',
        b'{"seq": 42,\n\n',
        b'{\n"seq": 42, "hosts": [\n{"seq": 43}\n{}\n',
        b"]\n",
        b"[]\n",
        b"7\n",
    ],
)
def test_list_that_cannot_be_read_changes_nothing_and_is_logged(
    junk: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, 41)
            await with_timeout(agent.requests.get())
            agent.send_bytes(junk)
            assert b"index=41" in await with_timeout(agent.requests.get())
            assert f.updates.empty()
            assert "discovery_watch_ended" in caplog.text
            agent.send_update(endpoint_list(42, endpoint_entry("s-1", 1)))
            assert (await f.next()).topology.version == 42
            await f.watch.close()

    run_on_loop(test)


def test_silent_watch_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr(discovery_watch, "IDLE_TIMEOUT_S", 0.05)
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, 7)
            for _ in range(2):
                assert b"index=7" in await with_timeout(agent.requests.get())
            await f.watch.close()

    run_on_loop(test)


def record_waits(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Record the waits between calls instead of waiting."""
    waits: list[float] = []
    sleep = asyncio.sleep

    async def short(delay: float) -> None:
        waits.append(delay)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", short)
    return waits


def test_watch_that_was_well_is_opened_anew_at_once_however_long_the_waits_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An idle watch brings empty lines only; the propagation deadline counts from the last of them."""
    waits = record_waits(monkeypatch)

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            f = Follower(agent, 7)
            for _ in range(8):
                await with_timeout(agent.requests.get())
                agent.abort()
            await with_timeout(agent.requests.get())
            assert max(waits[-2:]) >= MAX_BACKOFF_S / 2
            agent.send_bytes(b"\n")
            watch_waits = len(waits)
            agent.writers[-1].close()  # after the line, so that it is read
            await with_timeout(agent.requests.get())
            assert waits[watch_waits] <= INITIAL_BACKOFF_S
            await f.watch.close()

    run_on_loop(test)


def test_agent_that_hangs_up_is_called_again_within_the_drain_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    waits = record_waits(monkeypatch)

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent):
            updates: list[EndpointUpdate] = []
            watch = DiscoveryClient((LOOPBACK, agent.port), ZONES, KINDS, 7, updates.append, 0.25)
            watch.start()
            for _ in range(9):
                await with_timeout(agent.requests.get())
                agent.abort()
            assert len(waits) >= 8
            assert max(waits) <= 0.125
            await watch.close()

    run_on_loop(test)


def test_connection_to_the_agent_that_comes_up_too_late_is_closed() -> None:
    """Cancelled at the moment in which it came up, it would stay open and be read."""

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


def test_silent_watch_after_a_move_is_given_up_before_the_shorter_propagation_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the new agent has binds 4 s after the move, so 5 s of silence are too many there."""

    async def test() -> None:
        monkeypatch.setattr(watch_schedule, "PROPAGATION_DEADLINE_AFTER_MOVE_S", UPDATE_TIME_S + 0.2)
        loop = asyncio.get_running_loop()
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            f = Follower(old, 7)
            await with_timeout(old.requests.get())
            f.watch.change_agent((LOOPBACK, new.port))
            await with_timeout(new.requests.get())
            moved_at = loop.time()
            await with_timeout(new.requests.get())
            assert loop.time() - moved_at < discovery_watch.IDLE_TIMEOUT_S / 2
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


def test_watch_that_falls_silent_after_a_move_is_given_up_before_the_shorter_propagation_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It brought a list and nothing since, not even the heartbeat that was due."""

    async def test() -> None:
        monkeypatch.setattr(watch_schedule, "PROPAGATION_DEADLINE_AFTER_MOVE_S", UPDATE_TIME_S + 0.3)
        monkeypatch.setattr(discovery_watch, "HEARTBEAT_TIMEOUT_S", 0.1, raising=False)
        loop = asyncio.get_running_loop()
        old, new = FakeDiscovery(), FakeDiscovery()
        async with listening(old), listening(new):
            f = Follower(old, 7)
            await with_timeout(old.requests.get())
            new.first_update = endpoint_list(8, endpoint_entry("s-1", 1))
            f.watch.change_agent((LOOPBACK, new.port))
            await f.next()
            moved_at = loop.time()
            await with_timeout(new.requests.get())
            await with_timeout(new.requests.get())
            assert loop.time() - moved_at < discovery_watch.IDLE_TIMEOUT_S / 2
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
