"""A client's connection: its states, its replies and how it closes."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..memory.budget import Priority
from ..networking.lingering_close import CloseDecision
from ..networking.socket_queues import (
    SocketQueues,
    has_unread_bytes,
    socket_queues,
    unacknowledged_bytes,
    unread_bytes,
)
from ..networking.value_stream import FlowControl
from ..observability.close_reasons import CloseReason
from ..observability.memory_uses import MemoryUse
from . import log
from .commands import BUSY_REPLY, error_reply
from .connection_input import MAX_PIPELINED, ConnectionContext, ConnectionInput
from .pending_replies import PendingReply, ReplyQueue
from .socket_protocol import ClientSocketProtocol, SocketAges, socket_ages
from .streamed_reply import StreamedReply


class ConnectionObserver(Protocol):
    """Is notified when a connection opens or closes, and of each command."""

    def connection_opened(self, client: ClientConnection, /) -> None:
        """Handle a connection that was opened."""

    def command_received(self, client: ClientConnection, /) -> None:
        """Handle a complete command from a client."""

    def connection_closed(self, client: ClientConnection, /) -> None:
        """Handle a connection that was closed."""


class ClientConnection(ClientSocketProtocol):
    """One client's connection, in one of these states.

    Idle: it can be closed without losing a command or a reply.
    Partial: a command is incomplete, and no reply is pending.
    Awaiting replies: a command has no reply yet, or input is deferred.
    Blocked: the write buffer is full because the client does not read, so its input is not read either.
    Ending: the input is closed, and replies are still pending.
    Half closed: the input is closed, and so is the sending side once the written replies are sent. The
    `ConnectionCloser` closes the socket as soon as that loses nothing.
    """

    memory_use = MemoryUse.COMMANDS  # of the memory that it may wait for

    __slots__ = (
        "_close_reason",
        "_context",
        "_end_reason",
        "_observer",
        "_queued_since_s",
        "_replies",
        "idle_since_s",
        "input",
    )

    def __init__(
        self, observer: ConnectionObserver, context: ConnectionContext, queued_since_s: float | None = None
    ) -> None:
        """`queued_since_s` is the earliest time at which the client can have connected, if accepted late."""
        super().__init__(context.read_buffer)
        self._queued_since_s = queued_since_s
        self._observer = observer
        self._context = context
        self._replies: ReplyQueue  # set by `connection_made`
        self.input: ConnectionInput  # set by `connection_made`
        self._end_reason = CloseReason.PROTOCOL_ERROR  # of the end that follows the last reply
        self._close_reason: CloseReason | None = None  # None until it is ended
        # Time at which the connection was opened or last became idle.
        self.idle_since_s = context.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the parts that need the transport, and notify the observer."""
        super().connection_made(transport)
        context = self._context
        self._replies = ReplyQueue(self._transport, context.buffers, context.streams, context.memory)
        self.input = ConnectionInput(context, self._replies)
        if self._queued_since_s is not None and self.unread_bytes():
            connected_at_s = self._connected_at_s()
            log.debug("client_accepted queued_s=%.3f", context.time() - connected_at_s)
            self.input.note_queued_since(max(self._queued_since_s, connected_at_s))
        self._observer.connection_opened(self)

    def _connected_at_s(self) -> float:
        """Return when the client connected; the current time if the system does not report it.

        Valid only before anything was sent to the client.
        """
        ages = self.socket_ages()
        return self._context.time() - (0.0 if ages is None else ages.last_sent_s)

    def data_received(self, data: bytes) -> None:
        """Execute the commands in the data."""
        self.input.receive(self, data)

    def command_received(self) -> None:
        """Notify the observer of a complete command."""
        self._observer.command_received(self)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - signature of asyncio.Protocol
        """Report the closed connection, and that the client of its open requests has disconnected."""
        close_guard = self._context.close_guard
        if self._close_reason is None:
            self._close_reason = CloseReason.CLIENT_CLOSED
            close_guard.check_answered(self._close_reason, self._replies.unanswered(), False)
        close_guard.connection_ended(self._close_reason)
        self._context.closer.discard(self)
        self._observer.connection_closed(self)
        self._context.scheduler.discard(self)
        self.input.release_memory(self)
        self._give_up_requests()

    # States.

    def is_idle(self) -> bool:
        """Return whether it can be ended without losing a command.

        Replies already written need no wait, as `end` delivers them.
        """
        client_input = self.input
        busy = (
            self.is_awaiting_replies()
            or client_input.is_parsing
            or client_input.reader.has_partial_command
            or client_input.is_closed
        )
        return not (busy or self._transport.is_closing() or has_unread_bytes(self._transport))

    def is_delivered(self) -> bool:
        """Return whether its client has acknowledged all replies, and no received byte is unread."""
        return not self._transport.is_closing() and socket_queues(self._transport).is_empty

    def is_awaiting_replies(self) -> bool:
        """Return whether a command has no reply yet, or input is deferred."""
        return bool(self._replies.pending or self.input.deferred)

    @property
    def has_sent_command(self) -> bool:
        """Whether the client has sent a complete command."""
        return self.input.has_sent_command

    def is_receiving_command(self) -> bool:
        """Return whether a command is incomplete and its remainder would be parsed on arrival."""
        return bool(self.input.reader.partial_since_s) and self.is_reading and not self.input.deferred

    def command_age_s(self, now_s: float) -> float:
        """Return for how many seconds the client has been sending its incomplete command.

        For the first command this is measured from when the client connected.
        """
        return now_s - (self.input.reader.partial_since_s if self.has_sent_command else self.idle_since_s)

    def partial_command_pause_s(self, now_s: float) -> float:
        """Return the seconds since the last bytes of an incomplete command; 0 if others precede it.

        Since the begin of the command if the system does not report when bytes came, and 0 without one.
        """
        partial_since_s = self.input.reader.partial_since_s
        if not partial_since_s or self.is_awaiting_replies() or self.input.is_closed:
            return 0.0
        ages = self.socket_ages()
        age_s = now_s - partial_since_s
        return age_s if ages is None else min(age_s, ages.last_received_s)

    def is_writing_large_value(self) -> bool:
        """Return whether a large value is being written."""
        return self._replies.is_streaming_value()

    def unread_bytes(self) -> int:
        """Return how many received bytes wait in the socket; 0 if it is closing."""
        return 0 if self._transport.is_closing() else unread_bytes(self._transport)

    def socket_ages(self) -> SocketAges | None:
        """Return the ages of the socket's data; None if it is closing or the system does not report them."""
        return None if self._transport.is_closing() else socket_ages(self._transport)

    def has_unread_bytes(self) -> bool:
        """Return whether received bytes wait in the socket."""
        return self.unread_bytes() != 0

    # Memory.

    def read_size(self) -> int:
        """Return how many bytes the next read may return."""
        return self.input.read_size()

    @property
    def needed_bytes(self) -> int:
        """The memory that its incomplete command waits for."""
        return self.input.command_memory.needed_bytes

    @property
    def priority(self) -> Priority:
        """The priority of the memory that its incomplete command needs."""
        return Priority.ADDITIONAL if self._replies.pending else Priority.COMMAND

    def grant_memory(self) -> None:
        """Reserve memory for the incomplete command, and read on."""
        self.input.grant_command_memory(self)

    def memory_priority(self, pending_reply: PendingReply) -> Priority:
        """Return the priority of the memory that the request of a pending reply needs.

        A client that has not received its earlier replies gets no more than for an additional request.
        """
        pending = self._replies.pending
        is_first = bool(pending) and pending[0] is pending_reply
        if not is_first or self.blocked or unacknowledged_bytes(self._transport):
            return Priority.ADDITIONAL
        return Priority.PIPELINED if len(pending) > 1 or self.input.deferred else Priority.FIRST

    @property
    def was_served(self) -> bool:
        """Whether the client has got a reply before."""
        return self._replies.has_written

    def memory_wait_s(self, now_s: float) -> float:
        """Return for how many seconds its incomplete command has waited for memory; 0 if it does not wait."""
        waiting_since_s = self.input.command_memory.waits_since_s
        return now_s - waiting_since_s if waiting_since_s else 0.0

    def command_memory_held(self, now_s: float, min_age_s: float) -> int:
        """Return the memory in bytes of a command that has been incomplete for `min_age_s`.

        Only where the gateway reads what its client sends.
        """
        if not self.is_receiving_command() or self.input.is_closed:
            return 0
        is_old = now_s - self.input.reader.partial_since_s >= min_age_s
        return self.input.command_memory.size_bytes if is_old else 0

    def unread_memory_held(self, now_s: float, min_age_s: float) -> int:
        """Return the memory in bytes of replies of which the client has read nothing for `min_age_s`.

        Not of a client that has been reading, which has the time of any other blocked client.
        """
        if not self.blocked or self.is_reading_replies(now_s) or not self.is_write_stalled(now_s, min_age_s):
            return 0
        return self._replies.held_bytes

    def reject_for_memory(self) -> None:
        """Reject the incomplete command; its remainder is discarded when it comes."""
        log.warning(
            "client_rejected reason=memory_short waited=%s", bool(self.input.command_memory.waits_since_s)
        )
        self.input.discard_command(self)

    def close_for_memory(self) -> None:
        """Close at once, as the client holds the memory of replies that it does not read."""
        log.warning("client_closed_for_memory unread_bytes=%d", self._replies.held_bytes)
        self.abort(CloseReason.MEMORY)

    def write(self, *parts: bytes | bytearray) -> None:
        """Write parts of a large value that is streamed."""
        super().write(*parts)
        self._replies.note_written(sum(map(len, parts)))

    def resume_input(self) -> None:
        """Execute deferred commands, and resume reading."""
        self.input.resume(self)

    def _schedule_input(self) -> None:
        """Have the input resumed, unless its commands are being executed, after which it goes on anyway."""
        if not self.input.is_parsing:
            self._context.scheduler.add(self, has_used_slice=False)

    # Replies.

    def reply(self, pending_reply: PendingReply, reply: bytes) -> None:
        """Reply to a command; the reply is written after those of all earlier commands."""
        if not self._replies.write(pending_reply, reply):
            return
        if not self.blocked:
            self._replies.release_written()
        pending = self._replies.pending
        if pending:
            self._start_next_stream()
            if self.input.has_unprocessed_input(self) and len(pending) < MAX_PIPELINED:
                self._schedule_input()
            return
        self.idle_since_s = self._context.time()
        if self.input.is_closed:
            self._shut_down(self._end_reason)
        elif self.input.has_unprocessed_input(self):
            self._schedule_input()
        elif self._context.drain.closes_idle and self.is_idle():
            # The periodic check of the drain would rarely find a busy client idle.
            self.end(CloseReason.DRAINED)

    def start_stream(self, pending_reply: PendingReply, length: int, flow: FlowControl) -> StreamedReply:
        """Start a streamed reply, a large value of `length` bytes."""
        stream = self._replies.start_stream(pending_reply, length, flow, self._has_commands_behind())
        if stream.started:
            self.input.update_reading(self)
        return stream

    def _has_commands_behind(self) -> bool:
        """Return whether commands, or part of one, came after that of the first pending reply."""
        client_input = self.input
        has_pending = len(self._replies.pending) > 1
        was_read = has_pending or bool(client_input.deferred) or client_input.reader.has_partial_command
        return was_read or self.has_unread_bytes()

    def _start_next_stream(self) -> None:
        """Start writing the first pending reply if it is a large value that is due."""
        if self._replies.start_first_stream(self._has_commands_behind()):
            self.input.update_reading(self)
            if not self.blocked:
                self._replies.release_written()

    def abort_stream(self, pending_reply: PendingReply, reply: bytes) -> None:
        """End a large value that cannot be completed; send `reply` instead if none of it was written.

        Otherwise the connection is closed, and later commands on it get no reply.
        """
        if not self._replies.abort_stream(pending_reply):
            self.reply(pending_reply, reply)
            return
        log.warning("large_value_aborted client_connection=closed")
        self.idle_since_s = self._context.time()
        self.end(CloseReason.VALUE_ABORTED)

    def pause_writing(self) -> None:
        """Stop reading from the client, and from the endpoint whose value is being streamed."""
        self._write_progress.block(self._context.time(), unacknowledged_bytes(self._transport))
        self.input.update_reading(self)
        self._replies.set_stream_paused(True)

    def resume_writing(self) -> None:
        """Resume reading from the client and the endpoint."""
        self._write_progress.unblock()
        self._replies.release_written()
        self._replies.set_stream_paused(False)
        self._schedule_input()

    # Closing.

    def fail(self, reason: str) -> None:
        """Reply with a protocol error and close the input; earlier commands still get their replies.

        Further input is discarded, as the start of the next command is unknown.
        """
        log.warning("client_protocol_error error=%s", reason)
        self._reply_and_end(error_reply(f"Protocol error: {reason}"), discards_input=True)

    def reject_partial_command(self) -> None:
        """Reply with BUSY to an incomplete command at the end of a drain, and execute no further commands.

        A connection with pending replies is left alone: each request ends by its deadline, and then the
        connection is closed.
        """
        if not (self.is_awaiting_replies() or self.input.is_closed or self._transport.is_closing()):
            self._end_reason = CloseReason.DRAINED
            self._reply_and_end(BUSY_REPLY)

    def _reply_and_end(self, reply: bytes, discards_input: bool = False) -> None:
        """Close the input, and end the connection after this last reply."""
        self.input.reader.stop_timeout()
        self.input.close(self, discards_input)
        pending_reply = PendingReply(self)
        self._replies.add(pending_reply)
        self.input.update_reading(self)
        self.reply(pending_reply, reply)

    def end(self, reason: CloseReason) -> None:
        """End the connection without losing a written reply; what the client sends from now on is not read.

        The sending side is shut down after the written replies, and the socket closed once they have arrived.
        """
        if self.is_half_closed or self._transport.is_closing():
            return
        self.input.close(self)
        self.input.update_reading(self)
        self._shut_down(reason)

    def hang_up(self) -> None:
        """End the connection of a client that has closed its sending side; its open requests are given up.

        Written replies are still delivered, as the client may only have shut down its sending side.
        """
        if self.is_half_closed or self._transport.is_closing():
            return
        self._note_end(CloseReason.HANGUP_SEEN)
        self._give_up_requests()
        self.input.close(self, discards_input=True)
        self.input.update_reading(self)
        self._shut_down(CloseReason.HANGUP_SEEN)

    def _give_up_requests(self) -> None:
        for request_number in self._replies.discard():
            self._context.requests.client_disconnected(request_number)

    def _shut_down(self, reason: CloseReason) -> None:
        """Shut down the sending side after the written replies, of which none is pending."""
        if self.is_half_closed or self._transport.is_closing():
            return
        self._note_end(reason)
        self.half_close(self._context.time(), self.idle_since_s)
        self._context.hangup_monitor.discard(self)
        self._context.closer.add(self)

    def continue_closing(self, now_s: float, deadline_s: float) -> None:
        """Close the half-closed socket if its client has received everything, or takes too long for it."""
        queues = socket_queues(self._transport).without_end_of_stream()
        match self.close_decision(now_s, queues, deadline_s):
            case CloseDecision.CLOSE:
                self._close_socket(queues)
            case CloseDecision.ABANDON:
                self._abandon(queues)
            case CloseDecision.WAIT if self.has_hung_up():
                # The client sends nothing more. Unread bytes would reset the connection in the end.
                self.input.discard_remainder(self)

    def evict(self) -> None:
        """Close at once, to admit another connection; the client has everything, or reads nothing."""
        queues = socket_queues(self._transport)
        if queues.unacknowledged_bytes:
            self._abandon(queues)
        else:
            self.abort(CloseReason.EVICTED)

    def _abandon(self, queues: SocketQueues) -> None:
        """Close at once, as the client does not read; whatever ended the connection, this is the reason."""
        log.warning("client_abandoned unacknowledged_bytes=%d", queues.unacknowledged_bytes)
        self._note_end(CloseReason.WRITE_STALLED)
        self._close_reason = CloseReason.WRITE_STALLED
        self._close_socket(queues)

    def abort(self, reason: CloseReason) -> None:
        """Close at once; what the client has not received may be lost."""
        if self._transport.is_closing():
            self._transport.abort()
            return
        self._note_end(reason)
        self._close_socket(socket_queues(self._transport))

    def _note_end(self, reason: CloseReason) -> None:
        """Record the first reason, and check for commands without a reply."""
        if self._close_reason is None:
            self._close_reason = reason
            has_deferred_input = bool(self.input.deferred)
            self._context.close_guard.check_answered(reason, self._replies.unanswered(), has_deferred_input)

    def _close_socket(self, queues: SocketQueues) -> None:
        """Close the socket, in which the system holds these bytes; the end was noted before."""
        assert self._close_reason is not None
        self._context.close_guard.check_delivered(self._close_reason, queues)
        self._transport.abort()
