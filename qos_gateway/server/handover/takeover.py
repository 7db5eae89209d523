"""Requests the state of the serving process over the shared socket."""

from __future__ import annotations

import asyncio
import logging
import socket

from .connection import HandoverConnection, HandoverConnectionListener
from .messages import ReceivedState
from .shared_socket import SharedSocket

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 0.5  # covers connecting and receiving; bounds the delay of the start


async def request_state(
    shared_socket: SharedSocket, listener: HandoverConnectionListener
) -> ReceivedState | None:
    """Return the state of the serving process; None if there is none or it does not respond in time.

    The connection stays open after the state was received: its close shows that the other process has ended.
    """
    try:
        sock = shared_socket.connect()
    except OSError as error:
        log.error("handover_unreachable error=%s", error)  # noqa: TRY400  # file system error
        return None
    return None if sock is None else await _receive_state(sock, listener)


async def _receive_state(sock: socket.socket, listener: HandoverConnectionListener) -> ReceivedState | None:
    connection = None
    try:
        async with asyncio.timeout(STATE_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_unix_connection(
                lambda: HandoverConnection(listener), sock=sock
            )
            return await connection.request_state()
    except (OSError, TimeoutError) as error:
        reason = str(error) or f"no state received within {STATE_TIMEOUT_S} s"
        log.error("handover_state_missing error=%s", reason)  # noqa: TRY400  # other process at fault
        if connection is not None:
            connection.abandon()
        return None
