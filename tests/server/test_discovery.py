"""Discovery's watch, the mapping of its entries, and messages between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import Any

import pytest

from qos_gateway.server import discovery_watch
from qos_gateway.server.clients import ClientConnections
from qos_gateway.server.config import Address, parse
from qos_gateway.server.discovery import DiscoveryClient
from qos_gateway.server.discovery_watch import WatchConnection
from qos_gateway.server.endpoint_list import EndpointUpdate, ListError, endpoint_id, parse_update
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.peers import Peers
from qos_gateway.server.watch_schedule import INITIAL_BACKOFF_S, MAX_BACKOFF_S
from qos_gateway.types import Endpoint, Health, ListKind, PeerMessage
from tests.server.test_clients import ScriptedEngine
from tests.support.servers import (
    LOOPBACK,
    FakeDiscovery,
    call_command,
    endpoint_entry,
    endpoint_list,
    gateway_harness,
    listening,
    make_config,
    raw_config,
    run_on_loop,
    success_reply,
    wait_until,
    with_timeout,
)

ZONES, KINDS = ("a", "b"), ("m1", "m2")


class Follower:
    """Collects what a watch brings."""

    def __init__(self, agent: FakeDiscovery, index: int | None) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.watch = DiscoveryClient((LOOPBACK, agent.port), ZONES, KINDS, index, self.updates.put_nowait)
        self.watch.start()

    async def next(self) -> EndpointUpdate:
        return await with_timeout(self.updates.get())


def test_entry_is_mapped_as_on_the_simulators_wire() -> None:
    entry = endpoint_entry("s-5be2a07c", 6379, "terminating", born_ms=1_700_000_000_123, block=3)
    update = parse_update(endpoint_list(41, entry, whole=False), ZONES, KINDS)
    assert update.topology.kind is ListKind.DELTA
    assert update.topology.version == 41
    number = endpoint_id("s-5be2a07c")
    started_at = 1_700_000_000_123_000_000
    assert update.topology.entries == (Endpoint(number, 0, 1, 3, Health.DRAINING, 1.0, started_at),)
    assert update.addresses == {number: (LOOPBACK, 6379)}


def test_endpoint_id_depends_on_the_name_alone() -> None:
    # Written down, so that a changed mapping shows: gateways of two versions may run side by side.
    assert endpoint_id("s-5be2a07c") == 54393183237098
    assert endpoint_id("s-5be2a07d") != endpoint_id("s-5be2a07c")


def test_start_long_ago_stays_zero_and_a_recent_one_is_on_the_engines_clock() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            now_ms = time.time_ns() // 1_000_000
            entries = endpoint_entry("old", 1, born_ms=0), endpoint_entry("new", 2, born_ms=now_ms)
            harness.discovery.send_update(endpoint_list(2, *entries))
            servers = harness.gateway.dispatcher.engine.load_balancer.endpoints
            await wait_until(lambda: endpoint_id("new") in servers)
            assert servers[endpoint_id("old")].endpoint.started_at == 0
            start = harness.gateway.config.settings.initial_capacity_fraction
            fraction = harness.gateway.dispatcher.engine.load_balancer.slow_start_fraction(
                harness.gateway.clock(), servers[endpoint_id("new")]
            )
            assert start <= fraction < 1.0

    run_on_loop(test)


def test_terminated_entry_needs_no_address() -> None:
    raw: dict[str, Any] = {"seq": 2, "whole": False, "hosts": [{"host": "s-1", "health": "terminated"}]}
    update = parse_update(raw, ZONES, KINDS)
    assert update.topology.entries[0].health is Health.REMOVED
    assert update.addresses == {}


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"seq": 1, "whole": True},
        endpoint_list(1, {"host": "s"}),
        endpoint_list(1, endpoint_entry("s", 1, "odd")),
        {"seq": "x", "whole": True, "hosts": []},
        endpoint_list(1, endpoint_entry("s", 1) | {"dial": "nowhere"}),
    ],
)
def test_unreadable_list_is_an_error_not_a_crash(raw: Any) -> None:
    with pytest.raises(ListError):
        parse_update(raw, ZONES, KINDS)


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


def test_old_list_serves_while_discovery_is_down(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("qos_gateway.server.endpoint_feed.CACHED_LIST_TIMEOUT_S", 0.01)
        monkeypatch.setattr(
            "qos_gateway.server.endpoint_feed.FIRST_LIST_TIMEOUT_S", 600.0
        )  # only without a list
        gateway = GatewayProcess(make_config(1, endpoint_list(5, endpoint_entry("s-1", 1))))
        assert gateway.is_ready()
        await with_timeout(gateway.start())
        assert gateway.clients.port > 0
        await gateway.discovery.close()
        gateway.clients.abort()

    run_on_loop(test)


class Lagging(asyncio.Protocol):
    """An agent that answers at once, within a turn of the loop that then lasts too long."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.descriptor = transport.get_extra_info("socket").fileno()

    def data_received(self, _data: bytes) -> None:
        line = json.dumps(endpoint_list(6, endpoint_entry("s-1", 1, "terminating"))).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        os.write(self.descriptor, head + b"%x\r\n%b\r\n" % (len(line), line))
        time.sleep(0.6)


def test_update_of_discovery_counts_though_the_starting_loop_lagged(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the agent has binds from the first moment: the list last known must not serve beside it."""
    monkeypatch.setattr("qos_gateway.server.endpoint_feed.CACHED_LIST_TIMEOUT_S", 0.5)
    ready: list[bool] = []

    async def test() -> None:
        agent = await asyncio.get_running_loop().create_server(Lagging, LOOPBACK, 0)
        gateway = GatewayProcess(
            make_config(agent.sockets[0].getsockname()[1], endpoint_list(5, endpoint_entry("s-1", 1)))
        )

        async def opened() -> None:
            ready.append(gateway.is_ready())
            await ClientConnections.start(gateway.clients)

        monkeypatch.setattr(gateway.clients, "start", opened)
        await with_timeout(gateway.start())
        assert ready == [False]
        await gateway.discovery.close()
        gateway.clients.abort()
        agent.close()

    run_on_loop(test)


def test_without_any_list_a_ping_is_not_answered_with_pong(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("qos_gateway.server.endpoint_feed.FIRST_LIST_TIMEOUT_S", 0.01)
        async with gateway_harness() as harness:
            harness.discovery.send_update(endpoint_list(2))
            await wait_until(lambda: not harness.gateway.is_ready())
            client = await harness.connect_client()
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert str(await client.next_message()).startswith("LOADING")
            harness.discovery.send_update(endpoint_list(3, endpoint_entry("s-1", harness.backend.port)))
            await wait_until(harness.gateway.is_ready)
            client.send(b"*1\r\n$4\r\nPING\r\n")
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


def test_drained_backend_gets_nothing_new_and_a_whole_list_takes_away_what_it_lacks() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.backend.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            harness.discovery.send_update(
                endpoint_list(2, endpoint_entry("s-1", harness.backend.port, "terminating"), whole=False)
            )
            await wait_until(lambda: harness.backend.closed_connections == 1)  # the idle connection is closed
            client.send(call_command(number=2))
            assert str(await client.next_message()).startswith("BUSY")
            harness.discovery.send_update(
                endpoint_list(3, endpoint_entry("s-1", harness.backend.port), whole=False)
            )
            await wait_until(
                lambda: (
                    harness.gateway.dispatcher.engine.load_balancer.endpoints[endpoint_id("s-1")].in_service
                )
            )
            client.send(call_command(number=3))
            connection, _ = await harness.backend.next_command()
            connection.send(success_reply(b"w"))
            assert await client.next_message() == b"w"
            harness.discovery.send_update(endpoint_list(4, endpoint_entry("s-2", harness.backend.port)))
            await wait_until(lambda: harness.backend.closed_connections == 2)
            assert endpoint_id("s-1") not in harness.gateway.dispatcher.engine.load_balancer.endpoints

    run_on_loop(test)


def test_stopping_gateway_reports_to_its_peers_up_to_the_longest_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Or they would hold its slices of the quotas back for one that fell silent, while its customers lean
    on them."""
    monkeypatch.setattr(
        "qos_gateway.server.gateway.PEER_REPORT_TIME_S", -0.5
    )  # short of the deadline here, to be quick

    async def test() -> None:
        agent, told = FakeDiscovery(), Told()
        agent.first_update = endpoint_list(1, endpoint_entry("s-1", 1))
        loop = asyncio.get_running_loop()
        peer, _ = await loop.create_datagram_endpoint(lambda: told, local_addr=(LOOPBACK, 0))
        own, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(LOOPBACK, 0))
        ports = [":".join(map(str, end.get_extra_info("sockname"))) for end in (own, peer)]
        own.close()
        await asyncio.sleep(0)
        async with listening(agent):
            raw = raw_config(agent.port) | {"peer_listen": ports[0], "peers": ports}
            gateway = GatewayProcess(parse(raw, {}))
            await with_timeout(gateway.start())
            stopping = asyncio.create_task(gateway.stop())
            await wait_until(lambda: gateway.clients.closing and gateway.clients.connection_count() == 0)
            told.at.clear()
            await wait_until(lambda: len(told.at) >= 3)
            assert not stopping.done()
            await with_timeout(stopping)
            last = len(told.at)
            await asyncio.sleep(0)
            assert len(told.at) == last
        peer.close()

    run_on_loop(test)


class Told(asyncio.DatagramProtocol):
    """Notes when word came."""

    def __init__(self) -> None:
        self.at: list[float] = []

    def datagram_received(self, _data: bytes, _addr: object) -> None:
        self.at.append(asyncio.get_running_loop().time())


async def _peers(heard: list[tuple[int, bytes]], ports: list[Address], me: int) -> Peers:
    made = Peers(tuple(ports), None, me, lambda message: heard.append((message.sender, message.data)))
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: made, local_addr=ports[me])
    return made


def test_peers_are_recognized_by_address_and_strangers_and_long_messages_are_dropped() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        quiet = asyncio.DatagramProtocol
        probes = [await loop.create_datagram_endpoint(quiet, local_addr=(LOOPBACK, 0)) for _ in range(4)]
        ports = [transport.get_extra_info("sockname") for transport, _ in probes]
        stranger = probes[3][0]
        probes[0][0].close()
        probes[1][0].close()
        heard0: list[tuple[int, bytes]] = []
        heard1: list[tuple[int, bytes]] = []
        await asyncio.sleep(0)
        zero, one = await _peers(heard0, ports[:3], 0), await _peers(heard1, ports[:3], 1)
        stranger.sendto(b"stranger", ports[1])
        probes[2][0].sendto(b"x" * 257, ports[1])
        zero.send(1, b"x" * 257)
        zero.send(9, b"nobody")
        zero.send(1, b"x" * 256)
        await wait_until(lambda: bool(heard1))
        zero.send(None, b"all")
        await wait_until(lambda: len(heard1) == 2)
        one.send(0, b"back")
        await wait_until(lambda: bool(heard0))
        assert heard1 == [(0, b"x" * 256), (0, b"all")]
        assert heard0 == [(1, b"back")]
        for end in (zero, one):
            end.close()
        for transport, _ in probes[2:]:
            transport.close()

    run_on_loop(test)


def test_peer_message_reaches_the_engine_and_malformed_ones_do_no_harm() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            for junk in (b"", b"\xff" * 7, b"\x01" * 256):
                harness.gateway.peers.datagram_received(junk, (LOOPBACK, 1))
            engine = ScriptedEngine()
            harness.gateway.dispatcher.engine = engine  # type: ignore[assignment]
            harness.gateway.peers._on_message(PeerMessage(1, b"word"))
            assert engine.events == [PeerMessage(1, b"word")]

    run_on_loop(test)
