"""Endpoint lists in a gateway: at startup, while discovery is down, and during drains."""

from __future__ import annotations

import asyncio
import json
import os
import time

import pytest

from qos_gateway.server.clients.connections import ClientConnections
from qos_gateway.server.discovery.endpoint_list import endpoint_id
from qos_gateway.server.gateway import GatewayProcess
from tests.support.clients import PING, call_command
from tests.support.configurations import make_config
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint, success_reply
from tests.support.gateway_harness import gateway_harness


class DelayingAgent(asyncio.Protocol):
    """An agent that responds immediately, then blocks the event loop past the startup timeout."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.descriptor = transport.get_extra_info("socket").fileno()

    def data_received(self, _data: bytes) -> None:
        line = json.dumps(endpoint_list(6, endpoint_entry("s-1", 1, "terminating"))).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        os.write(self.descriptor, head + b"%x\r\n%b\r\n" % (len(line), line))
        time.sleep(0.6)


def test_cached_list_is_used_while_discovery_is_down(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("qos_gateway.server.discovery.endpoint_feed.CACHED_LIST_TIMEOUT_S", 0.01)
        # The timeout for a start without a list must not apply to a start with a cached list.
        monkeypatch.setattr("qos_gateway.server.discovery.endpoint_feed.FIRST_LIST_TIMEOUT_S", 600.0)
        gateway = GatewayProcess(make_config(1, endpoint_list(5, endpoint_entry("s-1", 1))))
        assert gateway.is_ready()
        await with_timeout(gateway.start())
        assert gateway.parts.clients.port > 0
        await gateway.parts.discovery.close()
        gateway.parts.clients.abort()

    run_on_loop(test)


def test_discovery_list_is_applied_at_startup_despite_a_delayed_event_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent's list applies from startup: clients must not be served from the older cached list."""
    monkeypatch.setattr("qos_gateway.server.discovery.endpoint_feed.CACHED_LIST_TIMEOUT_S", 0.5)
    ready: list[bool] = []

    async def test() -> None:
        agent = await asyncio.get_running_loop().create_server(DelayingAgent, LOOPBACK, 0)
        gateway = GatewayProcess(
            make_config(agent.sockets[0].getsockname()[1], endpoint_list(5, endpoint_entry("s-1", 1)))
        )

        async def record_readiness_and_start() -> None:
            ready.append(gateway.is_ready())
            await ClientConnections.start(gateway.parts.clients)

        monkeypatch.setattr(gateway.parts.clients, "start", record_readiness_and_start)
        await with_timeout(gateway.start())
        assert ready == [False]
        await gateway.parts.discovery.close()
        gateway.parts.clients.abort()
        agent.close()

    run_on_loop(test)


def test_without_any_list_a_ping_is_not_answered_with_pong(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        monkeypatch.setattr("qos_gateway.server.discovery.endpoint_feed.FIRST_LIST_TIMEOUT_S", 0.01)
        async with gateway_harness() as harness:
            harness.discovery.send_update(endpoint_list(2))
            await wait_until(lambda: not harness.process.is_ready())
            client = await harness.connect_client()
            client.send(PING)
            assert str(await client.next_message()).startswith("LOADING")
            harness.discovery.send_update(endpoint_list(3, endpoint_entry("s-1", harness.endpoint.port)))
            await wait_until(harness.process.is_ready)
            client.send(PING)
            assert await client.next_message() == b"PONG"

    run_on_loop(test)


def test_draining_endpoint_gets_no_requests_and_a_full_list_removes_omitted_endpoints() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"
            harness.discovery.send_update(
                endpoint_list(2, endpoint_entry("s-1", harness.endpoint.port, "terminating"), whole=False)
            )
            await wait_until(
                lambda: harness.endpoint.closed_connections == 1
            )  # the idle connection is closed
            client.send(call_command(number=2))
            assert str(await client.next_message()).startswith("BUSY")
            harness.discovery.send_update(
                endpoint_list(3, endpoint_entry("s-1", harness.endpoint.port), whole=False)
            )
            await wait_until(
                lambda: (
                    harness.gateway.dispatcher.engine.load_balancer.registry.endpoints[
                        endpoint_id("s-1")
                    ].in_service
                )
            )
            client.send(call_command(number=3))
            connection, _ = await harness.endpoint.next_command()
            connection.send(success_reply(b"w"))
            assert await client.next_message() == b"w"
            harness.discovery.send_update(endpoint_list(4, endpoint_entry("s-2", harness.endpoint.port)))
            await wait_until(lambda: harness.endpoint.closed_connections == 2)
            assert (
                endpoint_id("s-1") not in harness.gateway.dispatcher.engine.load_balancer.registry.endpoints
            )

    run_on_loop(test)


def test_clients_are_accepted_only_after_data_from_discovery_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """A read may fail temporarily, or the list may arrive just before clients are accepted."""

    async def test() -> None:
        discovery, endpoint = FakeDiscovery(), FakeEndpoint()
        async with listening(discovery), listening(endpoint):
            discovery.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
            gateway = GatewayProcess(make_config(discovery.port))
            unread_checks = [True, True, False, False]
            monkeypatch.setattr(gateway.parts.discovery, "has_unread_data", lambda: unread_checks.pop(0))
            await with_timeout(gateway.start())
            assert unread_checks == []
            assert not gateway.parts.observability.invariants.violations
            await gateway.parts.discovery.close()
            gateway.parts.endpoint_connections.close()
            gateway.parts.clients.abort()

    run_on_loop(test)
