"""One connection of a gateway to its discovery agent."""

from __future__ import annotations

import asyncio
from typing import Protocol, cast
from urllib.parse import parse_qs, urlsplit

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD_END = b"\r\n\r\n"


class WatchListener(Protocol):
    """Receives what happens on the connection of a watch."""

    def on_connected(self, watch: WatchConnection) -> None:
        """Handle a new connection."""

    def on_request(self, watch: WatchConnection) -> None:
        """Handle a complete request."""

    def on_disconnected(self, watch: WatchConnection) -> None:
        """Handle the end of a connection."""


class WatchConnection(asyncio.Protocol):
    """Reads one request, and writes a response without an end, line by line."""

    def __init__(self, listener: WatchListener) -> None:
        self._listener = listener
        self._head = b""
        self.sent_version: int | None = None  # None until the request is answered
        self.requested_version: int | None = None
        self.is_mute = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Report the request once it is complete."""
        self._head += data
        if HEAD_END not in self._head or self.requested_version is not None:
            return
        target = self._head.split(b" ", 2)[1].decode()
        self.requested_version = int(parse_qs(urlsplit(target).query).get("index", ["0"])[0])
        self._listener.on_request(self)

    def send_head(self) -> None:
        """Begin the response."""
        if self._transport is not None:
            self._transport.write(RESPONSE_HEAD)

    def send(self, line: bytes) -> None:
        """Write a line of the response as one chunk."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Report the end of the connection."""
        self._listener.on_disconnected(self)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
