"""Finds clients that close while their input is not read; the event loop does not report these."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..observability.close_reasons import CloseReason

HANGUP_CHECK_INTERVAL_S = 0.05  # the end of a client has to be noticed within 0.3 s


class WatchedConnection(Protocol):
    """The calls that the monitor makes on a connection."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""

    def has_hung_up(self) -> bool:
        """Return whether the client has ended its sending."""

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""


class HangupMonitor:
    """Aborts watched connections whose clients have ended their sending."""

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
        """Forget a connection that has ended."""
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
                client.abort(CloseReason.HANGUP_SEEN)
        if not self._watched:
            self.close()
