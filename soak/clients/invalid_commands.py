"""Clients that send no valid command."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from soak.gateways import GatewayProcess
from soak.observations import BadClientSeen
from soak.settings import LOCALHOST

HALF_COMMAND = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000"
GARBAGE = b"GET / HTTP/1.1\r\nHost: gateway\r\n\r\n"
# Well-formed, and none of the protocol's commands. A gateway that executes all of them at once needs seconds.
FLOOD_COMMAND = b"*1\r\n$4\r\nNEWS\r\n"
FLOOD_BYTES = 16_000_000
FLOOD_BLOCK_COMMANDS = 16_384
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
    return _seen(gateway, process, data, connected_at, done_at)


async def flood(gateway: int, process: GatewayProcess, duration_s: float) -> BadClientSeen:
    """Send many commands that are no requests and read the replies; after a while reset the connection."""
    loop = asyncio.get_running_loop()
    connected_at = loop.time()
    done_at = None
    try:
        reader, writer = await asyncio.open_connection(LOCALHOST, process.port)
        sending = loop.create_task(_send_flood(writer))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await reader.read(1)
            done_at = loop.time()
            async with asyncio.timeout(duration_s):
                while await reader.read(FLOOD_BLOCK_COMMANDS * len(FLOOD_COMMAND)):
                    pass
        finally:
            sending.cancel()
            writer.transport.abort()
    except ConnectionError:
        done_at = done_at or loop.time()
    except TimeoutError:
        pass
    return _seen(gateway, process, FLOOD_COMMAND, connected_at, done_at)


async def _send_flood(writer: asyncio.StreamWriter) -> None:
    block = FLOOD_COMMAND * FLOOD_BLOCK_COMMANDS
    with suppress(ConnectionError):
        for _ in range(0, FLOOD_BYTES, len(block)):
            writer.write(block)
            await writer.drain()


def _seen(
    gateway: int, process: GatewayProcess, data: bytes, connected_at: float, done_at: float | None
) -> BadClientSeen:
    return BadClientSeen(
        gateway=gateway,
        process=process.seen.number,
        what=data[:8].decode(),
        connected_at=connected_at,
        done_at=done_at,
    )
