"""Time-outs of the clients' connections, by the state that a connection is in."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from ..observability.close_reasons import CloseReason
from . import log
from .connection import ClientConnection

CHECK_INTERVAL_S = 0.25
COMMAND_TIMEOUT_S = 2.6  # from connecting, or from a command's first byte, until the command is complete
WRITE_STALL_TIMEOUT_S = 2.0  # during which a blocked client accepts nothing
LARGE_WRITE_STALL_TIMEOUT_S = 5.0  # the same within a large value, as slow readers pause for longer
IDLE_TIMEOUT_S = 25.0  # below the 30 s that are usual at clients
SCARCE_IDLE_TIMEOUT_S = 2.0  # the same where connections are scarce


class CheckedConnections(Protocol):
    """The calls that the checker makes on the set of connections."""

    def time(self) -> float:
        """Return the time in seconds on the event loop's clock."""

    def connections(self) -> Sequence[ClientConnection]:
        """Return all connections."""

    def are_scarce(self) -> bool:
        """Return whether most of the connections that may be open are open."""


class TimeoutChecker:
    """Checks all connections at an interval, and ends those past their time-outs."""

    def __init__(self, connections: CheckedConnections) -> None:
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check after the interval, and again at this interval."""
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self.check)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """End the connections past their time-outs."""
        self.start()
        now_s = self._connections.time()
        connections_scarce = self._connections.are_scarce()
        for client in self._connections.connections():
            enforce_timeouts(client, now_s, connections_scarce)


def enforce_timeouts(client: ClientConnection, now_s: float, connections_scarce: bool) -> None:
    """End a connection that has been in its state for too long."""
    if client.half_close_ends_at_s:
        if client.is_half_close_over(now_s, WRITE_STALL_TIMEOUT_S):
            client.abort(CloseReason.PROTOCOL_ERROR)
    elif client.blocked:
        timeout_s = LARGE_WRITE_STALL_TIMEOUT_S if client.is_writing_large_value() else WRITE_STALL_TIMEOUT_S
        if client.is_write_stalled(now_s, timeout_s):
            log.warning("client_write_stalled timeout_s=%.1f", timeout_s)
            client.abort(CloseReason.WRITE_STALLED)
    elif client.is_receiving_command():
        if client.command_age_s(now_s) >= COMMAND_TIMEOUT_S:
            client.fail("command without end")
    elif not client.is_awaiting_replies():
        timeout_s = _idle_timeout_s(client, connections_scarce)
        if now_s - client.idle_since_s >= timeout_s and client.is_idle():
            client.close(CloseReason.IDLE)


def _idle_timeout_s(client: ClientConnection, connections_scarce: bool) -> float:
    if not client.has_sent_command:
        return COMMAND_TIMEOUT_S
    return SCARCE_IDLE_TIMEOUT_S if connections_scarce else IDLE_TIMEOUT_S
