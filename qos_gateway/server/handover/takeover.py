"""Taking over: the state of the process that still serves, requested over the shared socket."""

from __future__ import annotations

import asyncio
import logging
import socket

from .connection import HandoverConnection, HandoverConnectionListener
from .messages import ReceivedState
from .shared_socket import SharedSocket

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 0.5  # from connecting until the state is received; delays the start by this at most


async def request_state(
    shared_socket: SharedSocket, listener: HandoverConnectionListener
) -> ReceivedState | None:
    """Return the state of the serving process; None if none serves, or if its state is not received in time.

    A connection over which state was received stays open.
    """
    try:
        sock = shared_socket.connect()
    except OSError as error:
        log.error("handover_unreachable error=%s", error)  # noqa: TRY400  # the file system's fault
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
        reason = str(error) or f"no state within {STATE_TIMEOUT_S} s"
        log.error("handover_state_missing error=%s", reason)  # noqa: TRY400  # the other side's fault
        if connection is not None:
            connection.abandon()
        return None
