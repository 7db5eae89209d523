"""Graceful shutdown of the client side: keeps accepting for a short time, then drains all connections."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from math import inf
from typing import Protocol

from ..observability.close_reasons import CloseReason

# Accepting ends this long after the last new connection. The load balancer takes 0.4 s to see a shutdown.
ACCEPT_QUIET_PERIOD_S = 0.5
MAX_ACCEPT_PERIOD_S = 0.9  # bounds the wait, as some clients bypass the load balancer and keep connecting
FIRST_COMMAND_GRACE_S = 0.5  # a new client has this time to send its first command
DRAIN_CHECK_INTERVAL_S = 0.02
# From this time after the start of the drain, commands that follow others without a reply are rejected:
# clients that always have some in flight would keep their connections from becoming idle.
PIPELINING_GRACE_S = 0.7


class DrainState:
    """Progress of the graceful shutdown; updated by `ConnectionDrainer`."""

    __slots__ = ("closes_idle", "deadline_s", "is_draining", "rejects_pipelined")

    def __init__(self) -> None:
        self.is_draining = False  # the process is stopping
        self.closes_idle = False  # connections are ended as soon as they become idle
        self.rejects_pipelined = False  # commands that follow others without a reply are rejected
        # From then on, ended connections are kept only for clients that are still reading.
        self.deadline_s = inf


class DrainedConnection(Protocol):
    """The part of a connection that the shutdown uses."""

    @property
    def has_sent_command(self) -> bool:
        """Whether the client has sent a complete command."""

    @property
    def idle_since_s(self) -> float:
        """The time in seconds at which the connection was opened or last became idle."""

    def is_idle(self) -> bool:
        """Return whether it can be ended without losing a command."""

    def end(self, reason: CloseReason) -> None:
        """End the connection; the written replies are delivered."""

    def reject_partial_command(self) -> None:
        """Reply with an error to an incomplete command, and execute no further commands."""


class DrainedClients(Protocol):
    """The part of the client side that the shutdown uses."""

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
        """Return whether the accept queue holds a connection."""

    def has_connections(self) -> bool:
        """Return whether any connection is open."""

    def connections(self) -> Sequence[DrainedConnection]:
        """Return all connections."""


class ConnectionDrainer:
    """Stops accepting connections, then ends each open one once it is idle.

    A listening socket inherited from the platform is closed at once: the next process accepts the connections
    in its queue. A socket that this process created stays open until no new connection has arrived for
    `ACCEPT_QUIET_PERIOD_S`, or for at most `MAX_ACCEPT_PERIOD_S` plus the time to empty its queue.
    """

    def __init__(
        self, clients: DrainedClients, state: DrainState, owns_socket: bool, max_drain_s: float
    ) -> None:
        now_s = clients.time()
        self._clients = clients
        self._state = state
        self._owns_socket = owns_socket
        # Idle connections are ended from this time on.
        self._closing_from_s = now_s + ACCEPT_QUIET_PERIOD_S if owns_socket else now_s
        self._accept_until_s = now_s + MAX_ACCEPT_PERIOD_S if owns_socket else now_s
        self._reject_pipelined_from_s = now_s + PIPELINING_GRACE_S
        # Incomplete commands are rejected and their connections closed from this time on.
        self._finish_from_s = self._closing_from_s + max_drain_s

    async def run(self) -> None:
        """Return once the listening socket is closed and no connection is open.

        Clients with open requests keep their connections, as each request ends by its deadline, and ended
        ones are kept open by the connection closer until the client has everything.
        """
        self._state.is_draining = True
        clients = self._clients
        while clients.is_listening() or clients.has_connections():
            now_s = clients.time()
            if clients.is_listening() and self._is_accepting_over(now_s):
                self._stop_listening()
            self._state.rejects_pipelined = now_s >= self._reject_pipelined_from_s
            self._state.closes_idle = now_s >= self._closing_from_s
            if self._state.closes_idle:
                self._end_connections(now_s)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    def _is_accepting_over(self, now_s: float) -> bool:
        if not self._owns_socket:
            return True
        return now_s >= min(self._accept_until_s, self._clients.last_connected_at_s + ACCEPT_QUIET_PERIOD_S)

    def _stop_listening(self) -> None:
        """Close the listening socket, unless that would reset connections in its accept queue."""
        if not (self._owns_socket and self._clients.has_queued_connection()):
            self._clients.stop_listening()

    def _end_connections(self, now_s: float) -> None:
        for client in self._clients.connections():
            may_close = client.has_sent_command or client.idle_since_s < now_s - FIRST_COMMAND_GRACE_S
            if may_close and client.is_idle():
                client.end(CloseReason.DRAINED)
            elif now_s >= self._finish_from_s:
                client.reject_partial_command()
