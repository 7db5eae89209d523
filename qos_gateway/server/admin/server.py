"""The server of the admin API: its listening socket, and a bounded number of connections."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Coroutine
from itertools import chain

from ..clients.listener import bound_socket
from ..config import Address
from ..networking.transient_errors import is_transient
from ..observability.logs import RateLimitFilter
from .connection import AdminConnection
from .http import AdminRequest, HttpResponse
from .routes import AdminHandler, find_route

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

# A further connection closes an earlier one, preferably the oldest with an incomplete request.
MAX_CONNECTIONS = 24
BACKLOG_CONNECTIONS = 64  # queued by the kernel until the process accepts them
# At the end of the process, requests are answered and the responses sent within this time.
STOP_TIMEOUT_S = 1.0
STOP_CHECK_INTERVAL_S = 0.02
BIND_RETRY_INTERVAL_S = 0.25  # the previous process may still hold the address


class AdminServer:
    """Serves the admin API on its own address."""

    def __init__(self, address: Address, handler: AdminHandler) -> None:
        """Set the handler that carries out the requests; no socket is opened before `start`."""
        self._loop = asyncio.get_running_loop()
        self.port = 0  # set when the server listens; the kernel chooses it if the address has port 0
        self._address = address
        self._handler = handler
        self._connections: dict[AdminConnection, None] = {}  # oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; after a transient error or with the address in use, retry in the background.

        The start of the process does not wait for the retries.
        """
        try:
            await self._listen()
        except OSError as error:
            # An address in use is an expected error, which needs no traceback.
            log.error("admin_listen_failed address=%s:%d error=%s", *self._address, error)  # noqa: TRY400
            if error.errno == errno.EADDRINUSE or is_transient(error):
                self._spawn(self._retry_listening())

    async def stop(self) -> None:
        """Stop listening, answer the requests in progress, and close all connections within a time limit."""
        if self._server is not None:
            self._server.close()
        gives_up_at_s = self._loop.time() + STOP_TIMEOUT_S
        while self._has_undelivered() and self._loop.time() < gives_up_at_s:
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        self.close()

    def _has_undelivered(self) -> bool:
        """Return whether a client that has sent its request is still to get all of its response."""
        return any(not each.awaits_request and not each.is_delivered() for each in self._connections)

    def close(self) -> None:
        """Stop listening, cancel the requests in progress, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register an open connection; if there are already `MAX_CONNECTIONS`, close the oldest."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self._close_oldest()
        self._connections[connection] = None

    def connection_closed(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""
        self._connections.pop(connection, None)

    def handle(self, connection: AdminConnection, request: AdminRequest) -> None:
        """Answer a request immediately, or from a task if its route returns an awaitable."""
        result = find_route(request.head).handle(self._handler, request)
        if isinstance(result, HttpResponse):
            connection.answer(result)
        else:
            self._spawn(self._answer_later(connection, result))

    async def _answer_later(self, connection: AdminConnection, result: Awaitable[HttpResponse]) -> None:
        connection.answer(await result)

    async def _listen(self) -> None:
        sock = bound_socket(self._address, BACKLOG_CONNECTIONS)
        try:
            self._server = await self._loop.create_server(lambda: AdminConnection(self), sock=sock)
        except OSError:
            sock.close()
            raise
        self.port = int(sock.getsockname()[1])
        log.info("admin_started address=%s:%d", self._address[0], self.port)

    async def _retry_listening(self) -> None:
        while self._server is None:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            try:
                await self._listen()
            except OSError:
                continue

    def _close_oldest(self) -> None:
        """Close the oldest connection with an incomplete request, a delivered response, or any."""
        incomplete = (connection for connection in self._connections if connection.awaits_request)
        delivered = (connection for connection in self._connections if connection.is_delivered())
        oldest = next(chain(incomplete, delivered, self._connections))
        log.warning("admin_connections_exceeded limit=%d action=close_oldest", MAX_CONNECTIONS)
        self.connection_closed(oldest)
        oldest.abort()

    def _spawn(self, work: Coroutine[object, object, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
