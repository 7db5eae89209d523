"""One client's connection: its states, its replies, and its end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..networking.value_stream import FlowControl
from ..observability.close_reasons import CloseReason
from . import log
from .commands import error_reply
from .connection_input import MAX_PIPELINED, ConnectionContext, ConnectionInput
from .pending_replies import PendingReply, ReplyQueue, StreamedReply
from .socket_protocol import (
    ClientSocketProtocol,
    SocketAges,
    has_unread_bytes,
    socket_ages,
    unacknowledged_bytes,
    unread_bytes,
)

SHUTDOWN_REPLY = b"-BUSY\r\n"  # to a command that is incomplete at the end of a drain


class ConnectionListener(Protocol):
    """Is notified of the connections that open and close, and of their commands."""

    def connection_opened(self, client: ClientConnection, /) -> None:
        """Note a connection that was opened."""

    def command_received(self, client: ClientConnection, /) -> None:
        """Note that a client has sent a complete command."""

    def connection_closed(self, client: ClientConnection, /) -> None:
        """Note a connection that was closed."""


class ClientConnection(ClientSocketProtocol):
    """One client's connection, in one of these states.

    Idle: it may be closed without loss.
    Partial: a command is incomplete, and no reply is pending.
    Awaiting replies: a command has no reply yet, or input is deferred.
    Blocked: the client does not accept its replies, so nothing is read from it.
    Ending: its input is closed, and pending replies are still written.
    Half closed: all replies are written after its input was closed.
    """

    __slots__ = (
        "_close_reason",
        "_context",
        "_listener",
        "_queued_since_s",
        "_replies",
        "idle_since_s",
        "input",
    )

    def __init__(
        self, listener: ConnectionListener, context: ConnectionContext, queued_since_s: float | None = None
    ) -> None:
        """Take the earliest time at which the client can have connected, if the accept may have been late."""
        super().__init__()
        self._queued_since_s = queued_since_s
        self._listener = listener
        self._context = context
        self._replies: ReplyQueue  # from `connection_made` on
        self.input: ConnectionInput  # from `connection_made` on
        self._close_reason: CloseReason | None = None  # None until the gateway closes it
        self.idle_since_s = context.time()  # when it was opened, or last became idle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Build the parts that need the transport, and notify the listener."""
        super().connection_made(transport)
        context = self._context
        self._replies = ReplyQueue(self._transport, context.buffers, context.streams)
        self.input = ConnectionInput(context, self._replies)
        if self._queued_since_s is not None and self.unread_bytes():
            self.input.note_queued_since(max(self._queued_since_s, self._connected_at_s()))
        self._listener.connection_opened(self)

    def _connected_at_s(self) -> float:
        """Return when the client connected, if nothing was sent to it yet; now, if that is not known."""
        ages = self.socket_ages()
        return self._context.time() - (0.0 if ages is None else ages.last_sent_s)

    def data_received(self, data: bytes) -> None:
        """Execute the commands in the data."""
        self.input.receive(self, data)

    def command_received(self) -> None:
        """Notify the listener of a complete command."""
        self._listener.command_received(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Report the client's open requests as abandoned."""
        close_guard = self._context.close_guard
        if self._close_reason is None:
            self._close_reason = CloseReason.CLIENT_CLOSED
            close_guard.check(self._close_reason, self._replies.unanswered(), False)
        close_guard.connection_ended(self._close_reason)
        self._listener.connection_closed(self)
        self.input.deferred.clear()
        for request_number in self._replies.discard():
            self._context.requests.client_disconnected(request_number)

    # States.

    def is_idle(self) -> bool:
        """Return whether it may be closed without loss: written replies still go out after a close."""
        client_input = self.input
        busy = (
            self.is_awaiting_replies()
            or client_input.is_parsing
            or client_input.reader.has_partial_command
            or client_input.is_closed
        )
        return not (busy or self._transport.is_closing() or has_unread_bytes(self._transport))

    def is_awaiting_replies(self) -> bool:
        """Return whether a command has no reply yet, or input is deferred."""
        return bool(self._replies.pending or self.input.deferred)

    @property
    def has_sent_command(self) -> bool:
        """Whether the client has sent a complete command."""
        return self.input.has_sent_command

    def is_receiving_command(self) -> bool:
        """Return whether a command is incomplete and its remainder is parsed as it arrives."""
        return bool(self.input.reader.partial_since_s) and self.is_reading and not self.input.deferred

    def command_age_s(self, now_s: float) -> float:
        """Return the seconds for which the client has been sending its incomplete command.

        They count from connecting on where the command is the client's first.
        """
        return now_s - (self.input.reader.partial_since_s if self.has_sent_command else self.idle_since_s)

    def partial_command_age_s(self, now_s: float) -> float:
        """Return the seconds since an incomplete command began; 0 where replies are pending."""
        partial_since_s = self.input.reader.partial_since_s
        if not partial_since_s or self._replies.pending or self.input.is_closed:
            return 0.0
        return now_s - partial_since_s

    def is_writing_large_value(self) -> bool:
        """Return whether a large value is being written."""
        return self._replies.is_streaming_value()

    def unread_bytes(self) -> int:
        """Return how many bytes the open socket holds that were not read."""
        return 0 if self._transport.is_closing() else unread_bytes(self._transport)

    def socket_ages(self) -> SocketAges | None:
        """Return the ages of the open socket's data; None where the system does not report them."""
        return None if self._transport.is_closing() else socket_ages(self._transport)

    def has_unread_bytes(self) -> bool:
        """Return whether the open socket holds bytes that were not read."""
        return self.unread_bytes() != 0

    def _resume_input(self) -> None:
        self.input.resume(self)

    # Replies.

    def reply(self, pending_reply: PendingReply, reply: bytes) -> None:
        """Reply to a command; the reply is written after all that precede it on this connection."""
        if not self._replies.write(pending_reply, reply):
            return
        if not self.blocked:
            self._replies.release_written()
        pending = self._replies.pending
        if pending:
            self.start_next_stream()
            if self.input.has_unprocessed_input(self) and len(pending) < MAX_PIPELINED:
                self._context.call_soon(self._resume_input)
            return
        self.idle_since_s = self._context.time()
        if self.input.is_closed:
            self.half_close(self.idle_since_s)
        elif self.input.has_unprocessed_input(self):
            self._context.call_soon(self._resume_input)
        elif self._context.drain.closes_idle and self.is_idle():
            # The periodic check of a drain would hardly ever find a busy client idle.
            self.close(CloseReason.DRAINED)

    def start_stream(self, pending_reply: PendingReply, length: int, flow: FlowControl) -> StreamedReply:
        """Begin a reply that is a large value of `length` bytes."""
        stream = self._replies.start_stream(pending_reply, length, flow)
        self.start_next_stream()
        return stream

    def start_next_stream(self) -> None:
        """Start to write the first large value where that is due, considering the commands behind it."""
        client_input = self.input
        has_commands_behind = (
            len(self._replies.pending) > 1 or client_input.deferred or client_input.reader.has_partial_command
        )
        if self._replies.start_first_stream(bool(has_commands_behind)):
            client_input.update_reading(self)

    def abort_stream(self, pending_reply: PendingReply, reply: bytes) -> None:
        """End a large value that stays incomplete; reply with `reply` if nothing of it was written.

        Otherwise the connection is closed, and the commands behind it get no reply.
        """
        if not self._replies.abort_stream(pending_reply):
            self.reply(pending_reply, reply)
            return
        log.warning("large_value_aborted client_connection=closed")
        self.input.close()
        self.close(CloseReason.VALUE_ABORTED)

    def pause_writing(self) -> None:
        """Stop reading from the client, and from the endpoint whose value is being written."""
        self._write_progress.block(self._context.time(), unacknowledged_bytes(self._transport))
        self.input.update_reading(self)
        self._replies.set_stream_paused(True)

    def resume_writing(self) -> None:
        """Resume reading."""
        self._write_progress.unblock()
        self._replies.release_written()
        self._replies.set_stream_paused(False)
        self.input.resume(self)

    # The end of the connection.

    def fail(self, reason: str) -> None:
        """Close the input after a protocol error; commands before the error still get their replies."""
        log.warning("client_protocol_error error=%s", reason)
        self._reply_and_end(error_reply(f"Protocol error: {reason}"))

    def finish(self) -> None:
        """Reply to an incomplete command at the end of a drain, and execute no further one.

        A connection with pending replies ends by itself, as each request ends with its deadline.
        """
        if not (self.is_awaiting_replies() or self.input.is_closed or self._transport.is_closing()):
            self._reply_and_end(SHUTDOWN_REPLY)

    def _reply_and_end(self, reply: bytes) -> None:
        """Close the input, and half-close the connection after this reply."""
        self.input.reader.stop_timeout()
        self.input.close()
        pending_reply = PendingReply(self)
        self._replies.pending.append(pending_reply)
        self.input.update_reading(self)
        self.reply(pending_reply, reply)

    def close(self, reason: CloseReason) -> None:
        """Close once all replies are written."""
        self._note_close(reason)
        self._transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""
        self._note_close(reason)
        self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        """Keep the first reason, and have the guard check for commands without a reply."""
        if self._close_reason is None and not self._transport.is_closing():
            self._close_reason = reason
            has_deferred_input = bool(self.input.deferred)
            self._context.close_guard.check(reason, self._replies.unanswered(), has_deferred_input)
