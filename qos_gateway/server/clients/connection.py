"""One client's connection: commands in, their replies out in the same order."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from ..networking.value_stream import FlowControl
from ..observability.close_reasons import CloseReason
from ..observability.logs import RateLimitFilter
from .command_reader import CommandReader, CommandSyntaxError, DeferredInput
from .commands import one_line, serve_command, shed_command
from .pending_replies import PendingReply, ReplyQueue, StreamedReply
from .socket_protocol import ClientSocketProtocol, has_unread_bytes, untaken_bytes

if TYPE_CHECKING:
    from .connections import ClientConnections

log = logging.getLogger("qos_gateway.server.clients")  # one for all of the client side, limited in common
log.addFilter(RateLimitFilter())

MAX_PIPELINED = 32  # commands of one connection without a reply; those behind them wait unread
MAX_DISCARDED_BYTES = 1 << 20  # read and dropped while closing; more is left unread
SHUTDOWN_REPLY = b"-BUSY\r\n"  # to a command that is incomplete at the end of a drain


class ClientConnection(ClientSocketProtocol):
    """One client's connection, in one of these states.

    Idle: it may be closed without loss. Partial: a command has begun and not ended. Awaiting replies.
    Blocked: the client does not take its replies, so nothing more is read from it. Closing: nothing more is
    taken, though what was taken gets its replies. Half closed: after the last of these.
    """

    __slots__ = (
        "_backlog_since",
        "_close_reason",
        "_closing",
        "_deferred",
        "_discarded_bytes",
        "_is_parsing",
        "_owner",
        "_replies",
        "commands",
        "has_sent_command",
        "idle_since",
    )

    def __init__(self, owner: ClientConnections) -> None:
        super().__init__()
        self._owner = owner
        self.commands = CommandReader(owner.time)
        self._deferred = DeferredInput(owner)
        self._replies = ReplyQueue(owner)
        self._closing = False
        self._close_reason: CloseReason | None = None  # None while the gateway has not closed it
        self._discarded_bytes = 0  # received while closing
        # When reading was paused, until all that has waited since then is read; 0 where nothing waits.
        self._backlog_since = 0.0
        self._is_parsing = False  # there may be more behind the command that is being served
        self.has_sent_command = False  # whether a whole command ever came
        self.idle_since = owner.time()  # when it was opened, or became idle last

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with its owner."""
        super().connection_made(transport)
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)
        self._replies.bind(self._transport)
        self._owner.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio names it
        """Report the client's open requests as abandoned."""
        if self._close_reason is None:
            self._close_reason = CloseReason.CLIENT_CLOSED
            self._owner.close_guard.check(self._close_reason, self._replies.unanswered(), False)
        self._owner.close_guard.connection_ended(self._close_reason)
        self._owner.connection_closed(self)
        self._deferred.take()
        for request_number in self._replies.discard():
            self._owner.requests.client_disconnected(request_number)

    # States.

    def is_idle(self) -> bool:
        """Return whether it may be closed without loss: unwritten replies go out before a close."""
        busy = self.is_awaiting_replies() or self._is_parsing or self.commands.is_midway or self._closing
        return not (busy or self._transport.is_closing() or has_unread_bytes(self._transport))

    def has_unread_bytes(self) -> bool:
        """Return whether the socket holds bytes that were not read."""
        return not self._transport.is_closing() and has_unread_bytes(self._transport)

    def is_awaiting_replies(self) -> bool:
        """Return whether a command waits for its reply, or to be parsed."""
        return bool(self._replies.pending or self._deferred.data)

    def partial_command_age(self, now: float) -> float:
        """Return the seconds since an incomplete command began; 0 where replies are pending."""
        if not self.commands.partial_since or self._replies.pending or self._closing:
            return 0.0
        return now - self.commands.partial_since

    def is_writing_large_value(self) -> bool:
        """Return whether a large value is being written."""
        return self._replies.is_value_in_flow()

    # Input.

    def data_received(self, data: bytes) -> None:
        """Serve the commands in the data as far as they may be taken now."""
        if self._closing:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._update_reading()
        elif self._deferred.data:
            self._defer(self._deferred.data + data, self._deferred.since)
        else:
            self._serve_commands(data, self._received_at())

    def _received_at(self) -> float:
        """Return when the bytes read now were sent, at the earliest: some waited while reading was paused.

        What the socket had no room for waited with the client. It comes as room is made, so that nothing
        waits any more once a read has left the socket empty.
        """
        if not self._backlog_since:
            return self._owner.time()
        since = self._backlog_since
        if not has_unread_bytes(self._transport):
            self._backlog_since = 0.0
        return since

    def _serve_commands(self, data: bytes, received_at: float) -> None:
        """Serve command by command; each has waited here since the data was received."""
        position = 0
        waited_s = self._owner.time() - received_at
        self._is_parsing = True
        try:
            while position < len(data) and not self._closing:
                if not self._may_take_command():
                    self._defer(data[position:], received_at)
                    break
                arguments = self.commands.next_command(data, position)
                if arguments is None:
                    break
                position = self.commands.end
                pending_reply = PendingReply(self)
                self._replies.pending.append(pending_reply)
                self._owner.command_received(self)
                serve_command(self._owner, pending_reply, arguments, waited_s)
        except CommandSyntaxError as error:
            self.fail(str(error))
        finally:
            self._is_parsing = False
        if self._owner.closing and self.is_idle():
            self.close(CloseReason.DRAINED)

    def _defer(self, data: bytes, received_at: float) -> None:
        """Keep what may not be taken yet, and read no more; reject it where all sent too much."""
        if not self._deferred.put(data, received_at):
            try:
                self._shed_commands(data)
            except CommandSyntaxError as error:
                self.fail(str(error))
        self._update_reading()

    def _shed_commands(self, data: bytes) -> None:
        """Reject the requests in the data, each with its reply: what was read may not be dropped."""
        position = 0
        while (arguments := self.commands.next_command(data, position)) is not None:
            position = self.commands.end
            pending_reply = PendingReply(self)
            self._replies.pending.append(pending_reply)
            shed_command(self._owner, pending_reply, arguments)

    def _is_held_back(self) -> bool:
        """Return whether there is input that could not be taken, here or unread in the socket."""
        return bool(self._deferred.data) or not self.is_reading

    def _resume_serving(self) -> None:
        if self._deferred.data and not self._closing and not self._transport.is_closing():
            self._serve_commands(self._deferred.take(), self._deferred.since)
        self._update_reading()

    def _may_take_command(self) -> bool:
        """Return whether another command may be taken; none behind a value that may yet break off."""
        is_full = len(self._replies.pending) >= MAX_PIPELINED
        return not (is_full or self.blocked or self._replies.is_value_in_flow())

    def _update_reading(self) -> None:
        """Read only what can be taken."""
        if self._closing:
            may_read = self._discarded_bytes <= MAX_DISCARDED_BYTES
        else:
            may_read = not self._deferred.data and self._may_take_command()
        if self.set_reading(may_read):
            self._owner.hangup_monitor.set_watched(self, not may_read)
            if not may_read:
                self._backlog_since = self._backlog_since or self._owner.time()
                return
            self.commands.restart_timeout()
            if not has_unread_bytes(self._transport):
                self._backlog_since = 0.0

    # Output.

    def reply(self, pending_reply: PendingReply, reply: bytes) -> None:
        """Give a command its reply, which is written once all before it on this connection are."""
        if not self._replies.write(pending_reply, reply):
            return
        if not self.blocked:
            self._replies.release_written()
        pending = self._replies.pending
        if pending:
            self.start_next_stream()
            if self._is_held_back() and len(pending) < MAX_PIPELINED:
                self._owner.call_soon(self._resume_serving)
            return
        self.idle_since = self._owner.time()
        if self._closing:
            self.half_close(self.idle_since)
        elif self._is_held_back():
            self._owner.call_soon(self._resume_serving)
        elif self._owner.closing and self.is_idle():
            # The periodic check of a drain would hardly ever find a busy client idle.
            self.close(CloseReason.DRAINED)

    def start_stream(self, pending_reply: PendingReply, length: int, flow: FlowControl) -> StreamedReply:
        """Begin a reply that is a large value of so many bytes."""
        stream = self._replies.start_stream(pending_reply, length, flow)
        self.start_next_stream()
        return stream

    def start_next_stream(self) -> None:
        """Let the large value whose turn it is flow, unless it has to be held for what is behind it."""
        has_commands_behind = len(self._replies.pending) > 1 or self._deferred.data or self.commands.is_midway
        if self._replies.start_first_stream(bool(has_commands_behind)):
            self._update_reading()

    def abort_stream(self, pending_reply: PendingReply, reply: bytes) -> None:
        """End a large value that stays incomplete, with this reply if nothing of it was written.

        Otherwise the connection's end tells the client so; the commands behind it get no reply.
        """
        if not self._replies.abort_stream(pending_reply):
            self.reply(pending_reply, reply)
            return
        log.warning("large_value_aborted client_connection=closed")
        self._closing = True
        self.close(CloseReason.VALUE_ABORTED)

    def pause_writing(self) -> None:
        """Stop reading from the client, and from the endpoint whose value is being written."""
        self._write_progress.block(self._owner.time(), untaken_bytes(self._transport))
        self._update_reading()
        self._replies.set_stream_paused(True)

    def resume_writing(self) -> None:
        """Go on reading."""
        self._write_progress.unblock()
        self._replies.release_written()
        self._replies.set_stream_paused(False)
        self._resume_serving()

    # The end of the connection.

    def fail(self, reason: str) -> None:
        """Take nothing more after a protocol error; what was taken is still answered, as rule 1 asks."""
        log.warning("client_protocol_error error=%s", reason)
        self._reply_and_close(b"-ERR Protocol error: %b\r\n" % one_line(reason))

    def finish(self) -> None:
        """Reply to an incomplete command at the end of a drain, and take nothing more.

        Where a reply is pending the connection ends by itself, as requests end with their deadlines.
        """
        if not (self.is_awaiting_replies() or self._closing or self._transport.is_closing()):
            self._reply_and_close(SHUTDOWN_REPLY)

    def close(self, reason: CloseReason) -> None:
        """Close once all that waits is written."""
        self._note_close(reason)
        self._transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""
        self._note_close(reason)
        self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        """Keep the first reason, and let the guard see what is still owed."""
        if self._close_reason is None and not self._transport.is_closing():
            self._close_reason = reason
            self._owner.close_guard.check(reason, self._replies.unanswered(), bool(self._deferred.data))

    def _reply_and_close(self, reply: bytes) -> None:
        self.commands.partial_since = 0.0
        self._closing = True
        pending_reply = PendingReply(self)
        self._replies.pending.append(pending_reply)
        self._update_reading()
        self.reply(pending_reply, reply)
