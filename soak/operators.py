"""The operators: they take order servers out of use at a gateway, and put them back."""

from __future__ import annotations

import asyncio

PATIENCE_S = 1.0  # for which operators wait for an answer
SUCCESS = b"HTTP/1.1 2"


async def call_operators(address: str, verb: str, server: str) -> bool:
    """Call a gateway: `down` or `up` for an order server by name; return whether it agreed."""
    body = server.encode()
    head = (
        f"POST /ops/order-servers/{verb} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(PATIENCE_S):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            answer = await reader.readline()
            writer.close()
    except (OSError, TimeoutError):
        return False
    return answer.startswith(SUCCESS)
