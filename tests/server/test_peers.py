"""Messages between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack

import pytest

from qos_gateway.server import peers as peers_module
from qos_gateway.server.config import Address, parse
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.peers import Peers
from qos_gateway.types import PeerMessage
from tests.support.configurations import raw_config
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.gateway_harness import gateway_harness
from tests.support.scripted_engine import ScriptedEngine

ZONES, KINDS = ("a", "b"), ("m1", "m2")


class RecordingPeer(asyncio.DatagramProtocol):
    """Notes when word came."""

    def __init__(self) -> None:
        self.at: list[float] = []

    def datagram_received(self, _data: bytes, _addr: object) -> None:
        self.at.append(asyncio.get_running_loop().time())


async def _peers(heard: list[tuple[int, bytes]], ports: list[Address], me: int) -> Peers:
    made = Peers(tuple(ports), None, me, lambda message: heard.append((message.sender, message.data)))
    await asyncio.get_running_loop().create_datagram_endpoint(lambda: made, local_addr=ports[me])
    return made


def free_addresses(count: int) -> list[Address]:
    """Return addresses that are free now."""
    with ExitStack() as stack:
        socks = [stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) for _ in range(count)]
        for sock in socks:
            sock.bind((LOOPBACK, 0))
        return [sock.getsockname() for sock in socks]


def test_new_process_of_an_upgrade_takes_the_address_over_once_the_old_one_has_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It ended at its start, as the old process holds the address until its own end."""
    monkeypatch.setattr(peers_module, "BIND_RETRY_INTERVAL_S", 0.01)

    async def test() -> None:
        addresses = free_addresses(2)
        heard_old: list[tuple[int, bytes]] = []
        heard_new: list[tuple[int, bytes]] = []
        other, old = await _peers([], addresses, 1), await _peers(heard_old, addresses, 0)
        new = Peers(
            tuple(addresses), None, 0, lambda message: heard_new.append((message.sender, message.data))
        )
        await new.listen(addresses[0], may_be_in_use=True)
        new.send(1, b"dropped until the socket is open")
        other.send(0, b"to the old one")
        await wait_until(lambda: bool(heard_old))
        old.close()

        def reach_new() -> bool:
            other.send(0, b"to the new one")
            return bool(heard_new)

        await wait_until(reach_new)
        assert heard_old == [(1, b"to the old one")]
        assert heard_new[0] == (1, b"to the new one")
        for each in (other, new):
            each.close()

    run_on_loop(test)


def test_address_in_use_is_an_error_without_an_upgrade() -> None:
    async def test() -> None:
        addresses = free_addresses(1)
        first = await _peers([], addresses, 0)
        second = Peers(tuple(addresses), None, 0, lambda _: None)
        with pytest.raises(OSError, match="in use"):
            await second.listen(addresses[0], may_be_in_use=False)
        first.close()

    run_on_loop(test)


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


def test_stopping_gateway_reports_to_its_peers_up_to_the_longest_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Or they would hold its slices of the quotas back for one that fell silent, while its customers lean
    on them."""
    monkeypatch.setattr(
        "qos_gateway.server.gateway.PEER_REPORT_TIME_S", -0.5
    )  # short of the deadline here, to be quick

    async def test() -> None:
        agent, told = FakeDiscovery(), RecordingPeer()
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
            await wait_until(
                lambda: (
                    gateway.parts.clients.context.drain.closes_idle
                    and gateway.parts.clients.connection_count() == 0
                )
            )
            told.at.clear()
            await wait_until(lambda: len(told.at) >= 3)
            assert not stopping.done()
            await with_timeout(stopping)
            last = len(told.at)
            await asyncio.sleep(0)
            assert len(told.at) == last
        peer.close()

    run_on_loop(test)
