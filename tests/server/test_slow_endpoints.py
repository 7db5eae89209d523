"""Endpoints that write a response slowly, or read a large request slowly."""

from __future__ import annotations

import asyncio
import socket

import pytest

from qos_gateway.server.endpoints.response_receiver import RESPONSE_STALL_TIMEOUT_S
from tests.support.clients import call_command
from tests.support.event_loop import LOOPBACK, run_on_loop
from tests.support.fake_discovery import endpoint_entry, endpoint_list
from tests.support.fake_endpoint import success_reply
from tests.support.gateway_harness import gateway_harness
from tests.support.values import value

PAUSE_S = 2 * RESPONSE_STALL_TIMEOUT_S
ANSWERED_WITHIN_S = 0.5  # of the request's time
WAIT_S = 0.4


@pytest.mark.parametrize("size", [2000, 60_000])
def test_response_that_pauses_is_not_cut_off_where_no_retry_is_possible(size: int) -> None:
    async def test() -> None:
        async with gateway_harness() as harness:
            client = await harness.connect_client()
            client.send(call_command("charge", number=1, body=b"b", wait_ms=2000))
            reply = success_reply(value(size))
            connection = await harness.endpoint.start_reply_to_next_command(reply[: size // 2])
            await asyncio.sleep(PAUSE_S)
            connection.send(reply[size // 2 :])
            assert await client.next_message() == value(size)

    run_on_loop(test)


@pytest.mark.parametrize("body_bytes", [60_000, 64_000])
def test_request_that_an_endpoint_does_not_read_is_answered_in_time(body_bytes: int) -> None:
    async def test() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            listener.bind((LOOPBACK, 0))
            listener.listen()
            async with gateway_harness() as harness:
                port = listener.getsockname()[1]
                harness.discovery.send_update(endpoint_list(2, endpoint_entry("s-1", port)))
                await asyncio.sleep(0.1)
                client = await harness.connect_client()
                started_at = asyncio.get_running_loop().time()
                client.send(
                    call_command("charge", number=1, body=b"b" * body_bytes, wait_ms=int(WAIT_S * 1000))
                )
                assert str(await client.next_message())[:4] in ("BUSY", "ERR ")
                assert asyncio.get_running_loop().time() - started_at < WAIT_S + ANSWERED_WITHIN_S

    run_on_loop(test)
