"""Detects clients that disconnect while reading is paused, which the event loop does not report."""

from __future__ import annotations

import asyncio
from typing import Protocol

HANGUP_CHECK_INTERVAL_S = 0.05  # a disconnect must be detected within 0.3 s


class WatchedConnection(Protocol):
    """The part of a connection that the monitor uses."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""

    def has_hung_up(self) -> bool:
        """Return whether the client has closed or shut down its sending side."""

    def hang_up(self) -> None:
        """End the connection, as its client has closed its sending side."""


class HangupMonitor:
    """Ends watched connections whose clients have closed or shut down their sending side."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._watched: set[WatchedConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    def set_watched(self, client: WatchedConnection, watched: bool) -> None:
        """Start or stop watching a connection."""
        if watched:
            self._watched.add(client)
        else:
            self._watched.discard(client)
        if self._watched and self._timer is None:
            self._schedule_check()

    def discard(self, client: WatchedConnection) -> None:
        """Stop watching a connection that has closed."""
        self._watched.discard(client)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(HANGUP_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._schedule_check()
        for client in list(self._watched):
            if not client.is_closing() and client.has_hung_up():
                client.hang_up()
        if not self._watched:
            self.close()
