"""Messages between gateways, over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

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
