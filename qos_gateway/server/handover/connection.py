"""A connection between two processes of a gateway: sends messages, and handles those received."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol, cast

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

MAX_LINE_BYTES = 16 << 20  # fits the state of about 100,000 customers


class HandoverConnectionListener(Protocol):
    """Receives the events of a connection, called on its event loop."""

    def connection_opened(self, connection: HandoverConnection) -> None:
        """Add the connection to the open ones."""

    def connection_closed(self, connection: HandoverConnection) -> None:
        """Remove the connection from the open ones."""

    def capture_state(self) -> HandoverState:
        """Return the state for the other process."""

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Apply an admin call that the other process received."""


class HandoverConnection(asyncio.Protocol):
    """Exchanges newline-delimited messages with the other process."""

    def __init__(self, listener: HandoverConnectionListener) -> None:
        """Report all events of the connection to `listener`; requires a running event loop."""
        self.state_shared = False  # whether state was sent or received over this connection
        self._loop = asyncio.get_running_loop()
        self._received_state: asyncio.Future[ReceivedState] = self._loop.create_future()
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._unacknowledged: dict[int, asyncio.Future[None]] = {}
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection as open."""
        self._transport = cast(asyncio.Transport, transport)
        self._listener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Handle every complete line; abort the connection on an invalid message."""
        self._buffer += data
        try:
            self._handle_lines()
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log.error("handover_message_invalid error=%s", error)  # noqa: TRY400  # other process at fault
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # asyncio's signature
        """Complete every future of the connection, then report it as closed."""
        if not self._received_state.done():
            error = ConnectionResetError("the other process closed the connection")
            self._received_state.set_exception(error)
            self._received_state.exception()  # asyncio logs exceptions that nobody retrieves
        for acknowledged in self._unacknowledged.values():
            if not acknowledged.done():
                acknowledged.set_result(None)
        self._listener.connection_closed(self)

    async def request_state(self) -> ReceivedState:
        """Return the other process's state; raise OSError if the connection closes first."""
        self._send(StateRequest())
        return await self._received_state

    def send_acknowledged(self, message: EndpointDisabled) -> asyncio.Future[None]:
        """Send a message; the future completes on its acknowledgement or when the connection closes."""
        acknowledged = self._loop.create_future()
        self._unacknowledged[message.sequence_number] = acknowledged
        self._send(message)
        return acknowledged

    def close(self) -> None:
        """Close after the written messages are sent, without treating it as the end of the other process."""
        self.state_shared = False
        if self._transport is not None:
            self._transport.close()

    def abandon(self) -> None:
        """Close immediately, without treating it as the end of the other process."""
        self.state_shared = False
        self._abort()

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def _handle_lines(self) -> None:
        while (end := self._buffer.find(b"\n")) >= 0:
            line = bytes(self._buffer[:end])
            del self._buffer[: end + 1]
            message = decode_message(line)
            if message is not None:
                self._handle(message)
        if len(self._buffer) > MAX_LINE_BYTES:
            raise HandoverMessageError(
                f"handover message: line of at least {len(self._buffer)} bytes, maximum {MAX_LINE_BYTES}"
            )

    def _handle(self, message: ReceivedMessage) -> None:
        match message:
            case StateRequest():
                log.info("handover_requested")
                self.state_shared = True
                self._send(StateResponse(self._listener.capture_state()))
            case ReceivedState():
                if not self._received_state.done():
                    self.state_shared = True
                    self._received_state.set_result(message)
            case EndpointDisabled(endpoint, disabled, sequence_number):
                self._listener.apply_admin_disabled(endpoint, disabled)
                self._send(Acknowledgement(sequence_number))
            case Acknowledgement(sequence_number):
                acknowledged = self._unacknowledged.pop(sequence_number, None)
                if acknowledged is not None and not acknowledged.done():
                    acknowledged.set_result(None)

    def _send(self, message: SentMessage) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(encode_message(message))
