"""Tests that an endpoint disabled by operators receives no requests until it is enabled again."""

from __future__ import annotations

import asyncio

from tests.support.clients import call_command
from tests.support.event_loop import run_on_loop, wait_until
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.metric_values import read_metrics


def test_endpoint_disabled_by_operators_gets_no_request_until_it_is_enabled() -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            gateway = harness.gateway
            operations = gateway.services.operations
            assert not await operations.set_endpoint_disabled("nobody", True)
            assert not await operations.set_endpoint_disabled("nobody", False)
            client = await harness.connect_client()
            client.send(call_command(number=1))
            connection, _ = await harness.endpoint.next_command()
            for _ in range(2):
                assert await operations.set_endpoint_disabled("s-1", True)
            assert read_metrics(harness)["skipped_order_servers"] == 1
            connection.send(success_reply(b"v"))
            assert await client.next_message() == b"v"  # attempts in flight continue
            client.send(call_command(number=2))
            assert str(await client.next_message()).startswith("BUSY")
            # Updates from discovery do not enable the endpoint.
            agent = harness.discovery
            for seq, state in enumerate((("terminating", 0), ("terminated", 0), ("in_service", 7)), 2):
                agent.send_update(
                    endpoint_list(seq, endpoint_entry("s-1", harness.endpoint.port, *state), whole=False)
                )
            await wait_until(lambda: gateway.discovery._list.version == 4)
            client.send(call_command(number=3))
            assert str(await client.next_message()).startswith("BUSY")
            assert read_metrics(harness)["skipped_order_servers"] == 1
            assert await operations.set_endpoint_disabled("s-1", False)
            assert await operations.set_endpoint_disabled("s-1", False)
            assert read_metrics(harness)["skipped_order_servers"] == 0
            while not harness.endpoint.commands.qsize():
                client.send(call_command(number=4))
                reply = asyncio.ensure_future(client.next_message())
                await asyncio.wait(
                    (reply, asyncio.ensure_future(asyncio.sleep(0.1))), return_when=asyncio.FIRST_COMPLETED
                )
                if not reply.done():
                    connection, _ = await harness.endpoint.next_command()
                    connection.send(success_reply(b"back"))
                    assert await reply == b"back"
                    break

    run_on_loop(test)
