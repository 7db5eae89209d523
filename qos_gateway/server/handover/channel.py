"""The channel between the serving process and the next one: a Unix socket in a shared folder.

The serving process listens. The next process connects, requests the state, and then listens under the same
name itself. While both run, each forwards the admin calls that it receives to the other.
"""

from __future__ import annotations

import asyncio
import logging

from .connection import HandoverConnection
from .messages import ReceivedState
from .open_connections import HandoverDelegate, OpenHandoverConnections
from .shared_socket import SharedSocket
from .takeover import request_state

log = logging.getLogger(__name__)


class HandoverChannel:
    """This process's end of the channel: requests state at the start, then serves the next process."""

    def __init__(self, folder: str, gateway_name: str, delegate: HandoverDelegate) -> None:
        """Use the socket in `folder`, which the gateway's processes share; requires a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._shared_socket = SharedSocket(folder, gateway_name)
        self._open = OpenHandoverConnections(delegate)
        self._server: asyncio.Server | None = None

    async def request_state(self) -> ReceivedState | None:
        """Return the state of the serving process; None if there is none or it does not respond in time."""
        return await request_state(self._shared_socket, self._open)

    async def listen(self) -> None:
        """Start listening for the next process; if that fails, log it and run without the channel."""
        sock = None
        try:
            sock = self._shared_socket.listen()
            self._server = await self._loop.create_unix_server(
                lambda: HandoverConnection(self._open), sock=sock
            )
        except OSError as error:
            if sock is not None:
                sock.close()
            log.error("handover_listen_failed error=%s", error)  # noqa: TRY400  # file system error

    async def broadcast_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Forward an admin call to the other process, if one runs; wait briefly for its acknowledgement."""
        await self._open.broadcast_admin_disabled(endpoint, disabled)

    async def close(self) -> None:
        """Close the socket, and all connections once their messages are sent, when this process ends."""
        if self._server is not None:
            self._server.close()
        await self._open.close()
