"""Timeouts of client connections, which depend on the state of the connection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol

from ..observability.close_reasons import CloseReason
from . import log
from .connection import ClientConnection
from .memory_reclaim import reclaim_memory

CHECK_INTERVAL_S = 0.25
SHORT_MEMORY_CHECK_INTERVAL_S = 0.05  # while something waits for memory
# A command must be complete within this time of its first byte, and the first one within it of the connect.
COMMAND_TIMEOUT_S = 2.6
# An incomplete command that waits for memory is rejected after this time.
MEMORY_WAIT_TIMEOUT_S = 0.75
# A blocked client that acknowledges nothing for this time is disconnected.
WRITE_STALL_TIMEOUT_S = 2.0
# The timeout is longer for clients that have been reading and while a large value is written, as slow readers
# pause for longer.
LARGE_WRITE_STALL_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 25.0  # shorter than the idle timeout of 30 s that is usual for clients
# Idle connections are closed sooner while the number of connections is close to its limit.
NEAR_LIMIT_IDLE_TIMEOUT_S = 2.0


class CheckedConnections(Protocol):
    """The part of the set of connections that the checker uses."""

    def time(self) -> float:
        """Return the time in seconds on the event loop's clock."""

    def connections(self) -> Sequence[ClientConnection]:
        """Return all connections."""

    def is_near_limit(self) -> bool:
        """Return whether the number of connections is close to its limit."""

    def memory_to_reclaim(self) -> int:
        """Return how many bytes of memory the first requests of connections wait for."""


class TimeoutChecker:
    """Checks all connections periodically, and ends those past their timeouts."""

    def __init__(self, connections: CheckedConnections) -> None:
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Schedule the next check; each check schedules the one after it."""
        is_short = self._connections.memory_to_reclaim() > 0
        interval_s = SHORT_MEMORY_CHECK_INTERVAL_S if is_short else CHECK_INTERVAL_S
        self._timer = self._loop.call_later(interval_s, self.check)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def check(self) -> None:
        """End the connections past their timeouts."""
        self.start()
        now_s = self._connections.time()
        is_near_limit = self._connections.is_near_limit()
        clients = self._connections.connections()
        for client in clients:
            client.record_acknowledgements(now_s)
            enforce_timeouts(client, now_s, is_near_limit)
        needed_bytes = self._connections.memory_to_reclaim()
        if needed_bytes:
            reclaim_memory(clients, now_s, needed_bytes)


def enforce_timeouts(client: ClientConnection, now_s: float, is_near_limit: bool) -> None:
    """End a connection that has exceeded the timeout of its state."""
    if client.is_half_closed:
        return  # the connection closer times it out
    if client.memory_wait_s(now_s) >= MEMORY_WAIT_TIMEOUT_S:
        client.reject_for_memory()
    elif client.blocked:
        is_slow = client.is_writing_large_value() or client.is_reading_replies(now_s)
        timeout_s = LARGE_WRITE_STALL_TIMEOUT_S if is_slow else WRITE_STALL_TIMEOUT_S
        if client.is_write_stalled(now_s, timeout_s):
            log.warning("client_write_stalled timeout_s=%.1f", timeout_s)
            client.abort(CloseReason.WRITE_STALLED)
    elif client.is_receiving_command():
        if client.command_age_s(now_s) >= COMMAND_TIMEOUT_S:
            client.fail("command without end")
    elif not client.is_awaiting_replies():
        timeout_s = _idle_timeout_s(client, is_near_limit)
        if now_s - client.idle_since_s >= timeout_s and client.is_idle():
            client.end(CloseReason.IDLE)


def _idle_timeout_s(client: ClientConnection, is_near_limit: bool) -> float:
    if not client.has_sent_command:
        return COMMAND_TIMEOUT_S
    return NEAR_LIMIT_IDLE_TIMEOUT_S if is_near_limit else IDLE_TIMEOUT_S
