"""Handover: two processes of a gateway split its limits, and the remaining one regains all of them."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from qos_gateway.server.handover.handover import (
    EXTRA_CLIENT_CONNECTIONS,
    EXTRA_ENDPOINT_CONNECTIONS,
    HANDOVER_FRACTIONS,
)
from qos_gateway.server.handover.messages import ReceivedState, StateResponse, encode_message
from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import GatewayHarness, gateway_harness


async def serve_one_request(harness: GatewayHarness) -> None:
    client = await harness.connect_client()
    client.send(call_command())
    connection, _ = await harness.endpoint.next_command()
    connection.send(success_reply(b"v"))
    assert await client.next_message() == b"v"


def captured_state(harness: GatewayHarness) -> dict[str, Any]:
    """Return the state in the form that the next process receives."""
    line = encode_message(StateResponse(harness.gateway.services.handover.capture_state()))
    raw: dict[str, Any] = json.loads(line)["state"]
    return raw


def test_old_process_keeps_its_open_connections_and_the_new_one_gets_the_remaining_limits() -> None:
    async def test() -> None:
        async with gateway_harness() as old, gateway_harness() as new:
            await serve_one_request(old)
            max_clients, max_endpoints = (
                old.gateway.clients.max_connections,
                old.gateway.endpoint_connections.max_connections,
            )
            memory = old.gateway.clients.context.buffers.limit_bytes
            raw = captured_state(old)
            assert raw["clients"] == old.gateway.clients.max_connections == 1 + EXTRA_CLIENT_CONNECTIONS
            assert (
                raw["backends"]
                == old.gateway.endpoint_connections.max_connections
                == 1 + EXTRA_ENDPOINT_CONNECTIONS
            )
            new.gateway.services.handover.restore_state(ReceivedState(raw), list_is_current=True)
            assert new.gateway.clients.max_connections == max_clients - raw["clients"]
            assert new.gateway.endpoint_connections.max_connections == max_endpoints - raw["backends"]
            assert old.gateway.clients.context.buffers.limit_bytes == int(
                memory * HANDOVER_FRACTIONS.outgoing
            )
            assert new.gateway.clients.context.buffers.limit_bytes == int(
                memory * HANDOVER_FRACTIONS.incoming
            )
            for harness in (old, new):
                harness.gateway.services.handover.on_other_process_ended()
                assert harness.gateway.clients.max_connections == max_clients
                assert harness.gateway.endpoint_connections.max_connections == max_endpoints
                assert harness.gateway.clients.context.buffers.limit_bytes == memory
                assert harness.gateway.dispatcher.engine.quota.handover_fraction == 1.0

    run_on_loop(test)


@pytest.mark.parametrize("list_is_current", [True, False])
def test_list_of_the_old_process_is_used_only_without_a_list_from_discovery(
    list_is_current: bool,
) -> None:
    async def test() -> None:
        async with gateway_harness() as old, gateway_harness() as new:
            raw = captured_state(old)
            raw["list"] = endpoint_list(9, *(endpoint_entry(f"s-{n}", 1) for n in range(3)))
            new.gateway.services.handover.restore_state(ReceivedState(raw), list_is_current)
            assert new.gateway.endpoint_directory.listed_count() == (1 if list_is_current else 3)

    run_on_loop(test)


@pytest.mark.parametrize("key", ["list", "clients", "backends", "decisions"])
def test_state_with_a_missing_key_leaves_the_new_process_with_its_full_limits(
    key: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        async with gateway_harness() as old, gateway_harness() as new:
            raw = captured_state(old)
            del raw[key]
            max_clients, max_endpoints = (
                new.gateway.clients.max_connections,
                new.gateway.endpoint_connections.max_connections,
            )
            with caplog.at_level(logging.ERROR):
                new.gateway.services.handover.restore_state(ReceivedState(raw), list_is_current=True)
            assert "handover_state_invalid" in caplog.text
            assert (
                new.gateway.clients.max_connections,
                new.gateway.endpoint_connections.max_connections,
            ) == (
                max_clients,
                max_endpoints,
            )
            assert new.gateway.dispatcher.engine.quota.handover_fraction == 1.0

    run_on_loop(test)
