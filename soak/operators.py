"""Calls of the operators to the gateways' admin API."""

from __future__ import annotations

import asyncio

CALL_TIMEOUT_S = 1.0
SUCCESS = b"HTTP/1.1 2"


async def call_operators(address: str, verb: str, server: str) -> bool:
    """Call a gateway to disable (verb `down`) or enable (`up`) an order server by its name.

    Return whether the gateway confirmed the call within the time-out.
    """
    body = server.encode()
    head = (
        f"POST /ops/order-servers/{verb} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            answer = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return answer.startswith(SUCCESS)
