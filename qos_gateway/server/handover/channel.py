"""The channel between the process that serves and the one that takes over: a Unix socket that they share.

Whoever serves listens on the socket. The next process connects, asks for the state, and then listens under
the same name itself. While both live each tells the other what operators call for.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Protocol, cast
from urllib.parse import quote

from .messages import (
    Acknowledgement,
    EndpointDisabled,
    HandoverMessageError,
    HandoverState,
    ReceivedMessage,
    ReceivedState,
    SentMessage,
    StateRequest,
    StateResponse,
    decode_message,
    encode_message,
)

log = logging.getLogger(__name__)

STATE_TIMEOUT_S = 0.5  # from connecting until the state has come: so long is the start held up at most
ACKNOWLEDGE_TIMEOUT_S = 0.3  # of an operator's call, who waits a second for its answer
MAX_LINE_BYTES = 16 << 20  # the state of some 100,000 customers
MAX_PATH_BYTES = 100  # of a Unix socket's path: the system takes 108
LISTEN_BACKLOG = 4  # one process takes over at a time


class HandoverDelegate(Protocol):
    """What the channel needs of the gateway."""

    def capture_state(self) -> HandoverState:
        """Return the state for the next process."""

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Follow an operator's call that came to the other process."""

    def on_other_process_ended(self) -> None:
        """Take the whole of what the two processes shared."""


class HandoverConnection(asyncio.Protocol):
    """One connection between two processes."""

    def __init__(self, channel: HandoverChannel) -> None:
        self.received_state: asyncio.Future[ReceivedState] = channel.loop.create_future()
        self.state_shared = False  # state went over it, one way or the other
        self._channel = channel
        self._transport: asyncio.Transport | None = None
        self._unacknowledged: dict[int, asyncio.Future[None]] = {}
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection among the open ones."""
        self._transport = cast(asyncio.Transport, transport)
        self._channel.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take in every line that has come whole; what cannot be read ends the connection."""
        self._buffer += data
        try:
            self._handle_lines()
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.error("handover_message_invalid error=%s", error)  # noqa: TRY400  # the other side's fault
            self.abort()

    def _handle_lines(self) -> None:
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            message = decode_message(line)
            if message is not None:
                self._handle(message)
        if len(self._buffer) > MAX_LINE_BYTES:
            raise HandoverMessageError(
                f"handover message: over {len(self._buffer)} bytes, {MAX_LINE_BYTES} at most are wanted"
            )

    def _handle(self, message: ReceivedMessage) -> None:
        match message:
            case StateRequest():
                log.info("handover_requested")
                self.state_shared = True
                self.send(StateResponse(self._channel.delegate.capture_state()))
            case ReceivedState():
                if not self.received_state.done():
                    self.state_shared = True
                    self.received_state.set_result(message)
            case EndpointDisabled(endpoint, disabled, sequence_number):
                self._channel.delegate.apply_admin_disabled(endpoint, disabled)
                self.send(Acknowledgement(sequence_number))
            case Acknowledgement(sequence_number):
                acknowledged = self._unacknowledged.pop(sequence_number, None)
                if acknowledged is not None and not acknowledged.done():
                    acknowledged.set_result(None)

    def send(self, message: SentMessage) -> None:
        """Write a message, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_message(message))

    def send_acknowledged(self, message: EndpointDisabled) -> asyncio.Future[None]:
        """Write a message; the future is done once it is acknowledged or the connection has ended."""
        acknowledged = self._channel.loop.create_future()
        self._unacknowledged[message.sequence_number] = acknowledged
        self.send(message)
        return acknowledged

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Let nobody wait on, and tell the channel if this was the other process's end."""
        self._channel.connections.discard(self)
        if not self.received_state.done():
            self.received_state.set_exception(ConnectionResetError("the other process closed the connection"))
            self.received_state.exception()  # read here, as nobody may be waiting for it
        for acknowledged in self._unacknowledged.values():
            if not acknowledged.done():
                acknowledged.set_result(None)
        if self.state_shared:
            self._channel.on_shared_connection_lost()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def _close(sock: socket.socket | None) -> None:
    if sock is not None:
        sock.close()


class HandoverChannel:
    """The shared socket, under the gateway's name in the folder that its processes share."""

    def __init__(self, folder: str, gateway_name: str, delegate: HandoverDelegate) -> None:
        self.loop = asyncio.get_running_loop()
        self.delegate = delegate
        self.connections: set[HandoverConnection] = set()
        self._folder = Path(folder)
        self._file_name = f"upgrade-{quote(gateway_name, safe='')}.sock"
        self._sequence_numbers = count(1)
        self._server: asyncio.Server | None = None

    async def request_state(self) -> ReceivedState | None:
        """Return the state of the process that still serves; None without one, or if it is not in time."""
        sock = self._connect()
        if sock is None:
            return None
        connection = None
        try:
            async with asyncio.timeout(STATE_TIMEOUT_S):
                _, connection = await self.loop.create_unix_connection(
                    lambda: HandoverConnection(self), sock=sock
                )
                connection.send(StateRequest())
                return await connection.received_state
        except (OSError, TimeoutError) as error:
            reason = str(error) or f"no state within {STATE_TIMEOUT_S} s"
            log.error("handover_state_missing error=%s", reason)  # noqa: TRY400  # the other side's fault
            if connection is not None:
                connection.state_shared = False
                connection.abort()
            return None

    def _connect(self) -> socket.socket | None:
        """Return a socket connected to the process that serves; None if there is none, the usual start."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            self._with_short_path(self._file_name, sock.connect)
        except (FileNotFoundError, ConnectionRefusedError):
            _close(sock)
            return None
        except OSError as error:
            _close(sock)
            log.error("handover_unreachable error=%s", error)  # noqa: TRY400  # the file system's fault
            return None
        return sock

    async def listen(self) -> None:
        """Be the process that the next one asks; a socket there already is replaced in one step."""
        new_name = f"{self._file_name}.{os.getpid()}"
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            (self._folder / new_name).unlink(missing_ok=True)
            self._with_short_path(new_name, sock.bind)
            sock.listen(LISTEN_BACKLOG)
            (self._folder / new_name).replace(self._folder / self._file_name)
            self._server = await self.loop.create_unix_server(lambda: HandoverConnection(self), sock=sock)
        except OSError as error:
            _close(sock)
            log.error("handover_listen_failed error=%s", error)  # noqa: TRY400  # the file system's fault

    def _with_short_path(self, file_name: str, use: Callable[[str], None]) -> None:
        """Call `use` with a path that fits into a Unix socket's address, however long the folder's is."""
        path = str(self._folder / file_name)
        if len(os.fsencode(path)) <= MAX_PATH_BYTES:
            use(path)
            return
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            use(f"/proc/self/fd/{descriptor}/{file_name}")
        finally:
            os.close(descriptor)

    async def broadcast_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Tell the other process, if one lives, and wait a moment until it has taken it in."""
        pending = [
            connection.send_acknowledged(EndpointDisabled(endpoint, disabled, next(self._sequence_numbers)))
            for connection in self.connections
            if connection.state_shared
        ]
        if not pending:
            return
        _, unacknowledged = await asyncio.wait(pending, timeout=ACKNOWLEDGE_TIMEOUT_S)
        if unacknowledged:
            log.error("handover_call_unacknowledged endpoint=%d disabled=%s", endpoint, disabled)

    def on_shared_connection_lost(self) -> None:
        """Note that the other process has ended, if this was the last connection that state went over."""
        if not any(connection.state_shared for connection in self.connections):
            log.info("handover_other_process_ended")
            self.delegate.on_other_process_ended()

    def close(self) -> None:
        """Close the socket and all connections: it is this process that ends."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.state_shared = False
            connection.abort()
