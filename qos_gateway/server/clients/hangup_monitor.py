"""Finds the clients that leave while their input is not read, which the event loop does not report."""

from __future__ import annotations

import asyncio

from ..observability.close_reasons import CloseReason
from .connection import ClientConnection

HANGUP_CHECK_INTERVAL_S = 0.05  # a client's end has to be noticed within 0.3 s


class HangupMonitor:
    """Aborts watched connections whose clients have ended their sending."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._watched: set[ClientConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    def set_watched(self, client: ClientConnection, watched: bool) -> None:
        """Begin to watch a connection, or cease."""
        if watched:
            self._watched.add(client)
        else:
            self._watched.discard(client)
        if self._watched and self._timer is None:
            self._schedule_check()

    def discard(self, client: ClientConnection) -> None:
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
