"""The RESP connection with which tests act as a client or as an endpoint."""

from __future__ import annotations

import asyncio

from tests.support.event_loop import LOOPBACK, listening, run_on_loop
from tests.support.fake_endpoint import FakeEndpoint, bulk_string
from tests.support.resp_connection import Connection


def test_connection_helper_reads_complete_messages() -> None:
    async def test() -> None:
        endpoint = FakeEndpoint()
        async with listening(endpoint):
            client = Connection(*await asyncio.open_connection(LOOPBACK, endpoint.port))
            client.send(b"*1\r\n$4\r\nPI")
            client.send(b"NG\r\n")
            connection, words = await endpoint.next_command()
            assert words == [b"PING"]
            connection.send(bulk_string(b"x"))
            assert await client.next_message() == b"x"
            client.abort()

    run_on_loop(test)
