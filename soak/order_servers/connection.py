"""One connection of a gateway to an order server."""

from __future__ import annotations

import asyncio
import time
from typing import Protocol, cast

import hiredis

from soak.observations import AttemptSeen
from soak.socket_age import last_received_age_s

IDLE_TIMEOUT_S = 0.3


class ServerConnectionListener(Protocol):
    """Receives what happens on a connection to an order server."""

    def on_connected(self, connection: ServerConnection) -> None:
        """Handle a new connection."""

    def on_command(
        self, connection: ServerConnection, words: list[bytes], began_at: float, now: float
    ) -> None:
        """Handle a complete command, whose first byte came at `began_at` and its last one now."""

    def closes_idle_connections(self) -> bool:
        """Return whether connections without open attempts are to be closed early."""

    def on_disconnected(self, connection: ServerConnection) -> None:
        """Handle the end of a connection."""


class ServerConnection(asyncio.Protocol):
    """Reads commands and writes replies; `gateway` is the number of the gateway at the other end."""

    def __init__(self, listener: ServerConnectionListener, gateway: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._listener = listener
        self.gateway = gateway
        self._reader = hiredis.Reader()
        self._command_began_at: float | None = None
        self._open_attempts: list[AttemptSeen] = []
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Report each complete command, with the time at which the system received its last byte.

        A new connection gets its protocol only some turns of the loop after its commands came.
        """
        if self._transport is None:
            return
        # The loop's own time is that of the beginning of its turn.
        now = time.monotonic() - last_received_age_s(self._transport)
        if self._command_began_at is None:
            self._command_began_at = now
        self._reader.feed(data)
        while (command := self._reader.gets()) is not False:
            began_at, self._command_began_at = self._command_began_at or now, None
            self._listener.on_command(self, command, began_at, now)
        if self._reader.has_data() and self._command_began_at is None:
            self._command_began_at = now

    def add_attempt(self, seen: AttemptSeen) -> None:
        """Add an attempt that is open until its reply is written or the connection ends."""
        self._open_attempts.append(seen)

    def reply(self, seen: AttemptSeen | None, data: bytes) -> None:
        """Write a reply, and end its attempt; with None the bytes end no attempt."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if seen is not None and seen.ended_at is None:
            seen.ended_at = self._loop.time()
            self._open_attempts.remove(seen)
        if self._listener.closes_idle_connections():
            self._loop.call_later(IDLE_TIMEOUT_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self._transport is not None and not self._open_attempts:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """End the open attempts, and report the end of the connection."""
        now = self._loop.time()
        for seen in self._open_attempts:
            seen.ended_at = now
        self._open_attempts.clear()
        self._listener.on_disconnected(self)
