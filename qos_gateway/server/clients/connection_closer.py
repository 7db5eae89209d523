"""Closes the sockets of ended connections, once their clients have received what was written for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from .accept_drain import DrainState

CLOSE_CHECK_INTERVAL_S = 0.05


class EndingConnection(Protocol):
    """The part of an ended connection that the closer uses."""

    def continue_closing(self, now_s: float, deadline_s: float) -> None:
        """Close the socket if the client has received everything, or takes too long for it."""


class ConnectionCloser:
    """The connections whose sending side is shut down; the only place that ends their wait."""

    def __init__(self, time: Callable[[], float], drain: DrainState) -> None:
        self._time = time
        self._drain = drain
        self._loop = asyncio.get_running_loop()
        self._ending: dict[EndingConnection, None] = {}  # in the order of their ends
        self._timer: asyncio.TimerHandle | None = None

    def add(self, client: EndingConnection) -> None:
        """Close a connection's socket as soon as that loses nothing."""
        self._ending[client] = None
        if self._timer is None:
            self._schedule_check()

    def discard(self, client: EndingConnection) -> None:
        """Forget a connection that is closed."""
        self._ending.pop(client, None)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule_check(self) -> None:
        self._timer = self._loop.call_later(CLOSE_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        now_s = self._time()
        for client in list(self._ending):
            client.continue_closing(now_s, self._drain.deadline_s)
        if self._ending:
            self._schedule_check()
