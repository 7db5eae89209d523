"""Graceful shutdown of the client side: connections are accepted for a short time, then all are drained."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from ..observability.close_reasons import CloseReason

ACCEPT_QUIET_PERIOD_S = 0.5  # without a new connection; the load balancer in front needs 0.4 s to notice
MAX_ACCEPT_PERIOD_S = 0.9  # as some clients connect without regard to the load balancer
FIRST_COMMAND_GRACE_S = 0.5  # within which a new client may still send its first command
DRAIN_CHECK_INTERVAL_S = 0.02


class DrainState:
    """How far the graceful shutdown has come; changed by `ConnectionDrainer`."""

    __slots__ = ("closes_idle", "is_draining")

    def __init__(self) -> None:
        self.is_draining = False  # the process is stopping
        self.closes_idle = False  # connections are closed as soon as they are idle


class DrainedConnection(Protocol):
    """What the shutdown needs of a connection."""

    @property
    def has_sent_command(self) -> bool:
        """Whether the client has sent a complete command."""

    @property
    def idle_since_s(self) -> float:
        """The time in seconds at which the connection was opened, or last became idle."""

    def is_idle(self) -> bool:
        """Return whether it may be closed without loss."""

    def close(self, reason: CloseReason) -> None:
        """Close once all replies are written."""

    def reject_partial_command(self) -> None:
        """Reply to an incomplete command, and execute no further one."""


class DrainedClients(Protocol):
    """What the shutdown needs of the client side."""

    @property
    def last_connected_at_s(self) -> float:
        """The time in seconds at which the last connection was opened."""

    def time(self) -> float:
        """Return the time in seconds on the event loop's clock."""

    def is_listening(self) -> bool:
        """Return whether the listening socket is open."""

    def stop_listening(self) -> None:
        """Close the listening socket."""

    def has_queued_connection(self) -> bool:
        """Return whether a connection waits to be accepted."""

    def has_connections(self) -> bool:
        """Return whether any connection is open."""

    def connections(self) -> Sequence[DrainedConnection]:
        """Return all connections."""


class ConnectionDrainer:
    """Stops accepting, then closes each connection once it is idle.

    A listening socket that the platform holds is closed at once: the next process accepts what waits on it.
    A socket of this process stays open until no new connection arrives for `ACCEPT_QUIET_PERIOD_S`.
    """

    def __init__(
        self, clients: DrainedClients, state: DrainState, owns_socket: bool, max_drain_s: float
    ) -> None:
        now_s = clients.time()
        self._clients = clients
        self._state = state
        self._owns_socket = owns_socket
        # From then on idle connections are closed.
        self._closing_from_s = now_s + ACCEPT_QUIET_PERIOD_S if owns_socket else now_s
        self._accept_until_s = now_s + MAX_ACCEPT_PERIOD_S if owns_socket else now_s
        # From then on incomplete commands get a reply, and their connections end.
        self._finish_from_s = self._closing_from_s + max_drain_s

    async def run(self) -> None:
        """Return once the listening socket is closed and no connection is left.

        Clients with open requests keep their connections: each request ends with its deadline.
        """
        self._state.is_draining = True
        clients = self._clients
        while clients.is_listening() or clients.has_connections():
            now_s = clients.time()
            if clients.is_listening() and self._is_accepting_over(now_s):
                self._stop_listening()
            self._state.closes_idle = now_s >= self._closing_from_s
            if self._state.closes_idle:
                self._close_connections(now_s)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_accepting_over(self, now_s: float) -> bool:
        if not self._owns_socket:
            return True
        return now_s >= min(self._accept_until_s, self._clients.last_connected_at_s + ACCEPT_QUIET_PERIOD_S)

    def _stop_listening(self) -> None:
        """Close the listening socket, but not while connections wait to be accepted: they would be reset."""
        if not (self._owns_socket and self._clients.has_queued_connection()):
            self._clients.stop_listening()

    def _close_connections(self, now_s: float) -> None:
        for client in self._clients.connections():
            may_close = client.has_sent_command or client.idle_since_s < now_s - FIRST_COMMAND_GRACE_S
            if may_close and client.is_idle():
                client.close(CloseReason.DRAINED)
            elif now_s >= self._finish_from_s:
                client.reject_partial_command()
