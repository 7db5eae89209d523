"""Graceful shutdown of the client side: connections are still accepted for a while, then all are drained."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..observability.close_reasons import CloseReason

if TYPE_CHECKING:
    from .connections import ClientConnections

ACCEPT_DRAIN_QUIET_S = 0.5  # without a new connection, then the socket closes; the front needs 0.4 to notice
ACCEPT_DRAIN_MAX_S = 0.9  # then it closes all the same: not all who connect heed the front
FIRST_COMMAND_GRACE_S = 0.5  # in which a client that connected before that may still send its first command
DRAIN_CHECK_INTERVAL_S = 0.02  # between two looks for connections that became idle


class AcceptDrain:
    """Ends accepting, then closes each connection once it is idle.

    A listening socket that the platform holds is left at once: what is not accepted yet is the next
    process's. One of this process's own is kept open until new connections cease.
    """

    def __init__(self, clients: ClientConnections, owns_socket: bool, max_drain_s: float) -> None:
        now = clients.time()
        self._clients = clients
        self._owns_socket = owns_socket
        self._closing_from = now + ACCEPT_DRAIN_QUIET_S if owns_socket else now  # idle connections close then
        self._accept_until = now + ACCEPT_DRAIN_MAX_S if owns_socket else now
        self._finish_from = self._closing_from + max_drain_s  # incomplete commands end then

    async def run(self) -> None:
        """Return once nothing listens any more and no connection is left.

        Clients with open requests are waited for: each request ends with its deadline.
        """
        clients = self._clients
        while clients.is_listening() or clients.has_connections():
            now = clients.time()
            if clients.is_listening() and self._is_accepting_over(now):
                self._stop_listening()
            clients.closing = now >= self._closing_from
            if clients.closing:
                self._close_connections(now)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_accepting_over(self, now: float) -> bool:
        if not self._owns_socket:
            return True
        return now >= min(self._accept_until, self._clients.last_connected_at + ACCEPT_DRAIN_QUIET_S)

    def _stop_listening(self) -> None:
        """Close the listening socket, but not while connections wait to be accepted: they would be reset."""
        if not (self._owns_socket and self._clients.has_waiting_connection()):
            self._clients.stop_listening()

    def _close_connections(self, now: float) -> None:
        for client in self._clients.connections():
            may_close = client.has_sent_command or client.idle_since < now - FIRST_COMMAND_GRACE_S
            if may_close and client.is_idle():
                client.close(CloseReason.DRAINED)
            elif now >= self._finish_from:
                client.finish()
