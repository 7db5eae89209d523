"""Clients that send no valid command."""

from __future__ import annotations

import asyncio

from soak.gateways import GatewayProcess
from soak.observations import BadClientSeen
from soak.settings import LOCALHOST

HALF_COMMAND = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000"
GARBAGE = b"GET / HTTP/1.1\r\nHost: gateway\r\n\r\n"
RESPONSE_TIMEOUT_S = 6.0


async def send_invalid(gateway: int, process: GatewayProcess, data: bytes) -> BadClientSeen:
    """Send bytes that are no command, and wait for an error or the end of the connection."""
    loop = asyncio.get_running_loop()
    connected_at = loop.time()
    done_at = None
    try:
        reader, writer = await asyncio.open_connection(LOCALHOST, process.port)
        writer.write(data)
        await asyncio.wait_for(reader.read(1), RESPONSE_TIMEOUT_S)
        done_at = loop.time()
        writer.close()
    except ConnectionError:
        done_at = loop.time()
    except TimeoutError:
        pass
    return BadClientSeen(
        gateway=gateway,
        process=process.seen.number,
        what=data[:8].decode(),
        connected_at=connected_at,
        done_at=done_at,
    )
