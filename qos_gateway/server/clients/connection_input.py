"""Reads, defers and executes the commands of one client connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..memory.budget import MemoryBudget, MemoryWaiter, Priority
from ..networking.read_size import (
    MIN_READ_BYTES,
    READ_BUFFER_BYTES,
    read_size_bytes,
    value_read_size_bytes,
)
from ..observability.close_reasons import CloseReason
from .accept_drain import DrainState
from .arrival_times import ArrivalTimes
from .buffer_budgets import ActiveStreams, BufferBudget
from .close_guard import CloseGuard
from .command_memory import CommandMemory
from .command_reader import DISCARDED, CommandReader, CommandSyntaxError
from .commands import BUSY_REPLY, CommandExecutor, RequestHandler
from .connection_closer import ConnectionCloser
from .deferred_input import DeferredInput, InputChunk
from .hangup_monitor import HangupMonitor
from .input_scheduler import (
    FIRST_SLICE_TIME_S,
    SLICE_TIME_S,
    InputScheduler,
    ScheduledConnection,
)
from .loop_stalls import LoopStallDetector
from .pending_replies import PendingReply, ReplyConnection, ReplyQueue
from .socket_protocol import SocketAges

MAX_PIPELINED = 32  # commands per connection without a reply; later commands are deferred
# Reading from a connection pauses at this number of pending replies, including those of rejected commands.
MAX_PENDING_REPLIES = 1024
# Reading stops when more than this was received after the input was closed.
MAX_DISCARDED_BYTES = 1 << 20


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class ConnectionContext:
    """The state and services that all client connections share."""

    time: Callable[[], float]  # returns the event loop's time in seconds
    stall_detector: LoopStallDetector
    read_buffer: memoryview  # holds the bytes of one read until they are copied
    scheduler: InputScheduler
    requests: RequestHandler
    commands: CommandExecutor
    memory: MemoryBudget
    buffers: BufferBudget
    streams: ActiveStreams
    close_guard: CloseGuard
    closer: ConnectionCloser
    hangup_monitor: HangupMonitor
    drain: DrainState


class InputConnection(ReplyConnection, ScheduledConnection, MemoryWaiter, Protocol):
    """The operations of a connection that its input uses."""

    def is_idle(self) -> bool:
        """Return whether it can be ended without losing a command."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""

    def unread_bytes(self) -> int:
        """Return the number of unread bytes in the open socket."""

    def socket_ages(self) -> SocketAges | None:
        """Return the ages of the open socket's data, or None if the system does not report them."""

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from the socket."""

    def set_reading(self, may_read: bool) -> bool:
        """Resume or pause reading; return whether that changed it on an open transport."""

    def command_received(self) -> None:
        """Record that the client has sent a complete command."""

    def fail(self, reason: str) -> None:
        """End the connection after a protocol error."""

    def end(self, reason: CloseReason) -> None:
        """End the connection; the written replies are delivered."""


def _slice_time_s(connection: InputConnection) -> float:
    """Return the time for which the connection's commands are executed before those of others."""
    return SLICE_TIME_S if connection.was_served else FIRST_SLICE_TIME_S


class ConnectionInput:
    """Executes a client's commands as they are read, up to a limit on commands without a reply.

    Commands beyond the limit are read and deferred, so that their receive times are known; the oldest are
    rejected when they use too much memory. Commands that take longer than a slice of the scheduler are
    deferred as well, and executed in the connection's next slices. Reading is paused only while the client
    does not accept its replies, while a large value is streamed, while `MAX_PENDING_REPLIES` replies are
    pending, while much deferred input waits for the next slice, or while an incomplete command waits for
    memory. The connection is passed to each method: a reference to it would form a cycle, and closed
    connections would stay in memory until the garbage collector runs.
    """

    __slots__ = (
        "_arrival_times",
        "_context",
        "_discarded_bytes",
        "_discards_input",
        "_replies",
        "command_memory",
        "deferred",
        "has_sent_command",
        "is_closed",
        "is_parsing",
        "reader",
    )

    def __init__(self, context: ConnectionContext, replies: ReplyQueue) -> None:
        self._context = context
        self._replies = replies
        self.reader = CommandReader(context.time)
        self.deferred = DeferredInput(context.buffers)
        self.command_memory = CommandMemory(context.memory, self.reader, context.time)
        self._arrival_times = ArrivalTimes(context.time, context.stall_detector)
        self._discarded_bytes = 0
        self._discards_input = False  # input that comes after the close is read and discarded
        self.has_sent_command = False  # the client has sent at least one complete command
        self.is_parsing = False  # a command is being executed, and more may follow in the same data
        self.is_closed = False  # no further command is executed

    def note_queued_since(self, queued_since_s: float) -> None:
        """Record that bytes arrived before the accept, no earlier than this time."""
        self._arrival_times.note_queued_since(queued_since_s)

    def receive(self, connection: InputConnection, data: bytes) -> None:
        """Execute the commands in the data up to the limit, and defer the remainder."""
        if self.is_closed:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.update_reading(connection)
            return
        chunk = InputChunk(data, self._arrival_times.of_read(connection, len(data)))
        scheduler = self._context.scheduler
        has_used_slice = True
        if not self.deferred and scheduler.has_time():
            started_at_s = self._context.time()
            self._execute_commands(connection, chunk, started_at_s + _slice_time_s(connection))
            scheduler.record(self._context.time() - started_at_s)
        else:
            self.deferred.append(chunk)
            has_used_slice = scheduler.has_time() and self._must_shed(connection)
            if has_used_slice:
                self._run_slice(connection)
        self._reserve_command_memory(connection)
        if self.deferred:
            self._schedule(connection, has_used_slice)
            self.update_reading(connection)

    # Memory of an incomplete command.

    def read_size(self) -> int:
        """Return the size of the next read."""
        context = self._context
        if self.is_closed:
            return READ_BUFFER_BYTES  # it is discarded
        if context.buffers.is_read_ahead_over_limit(0):
            return MIN_READ_BYTES
        if self.command_memory.size_bytes:
            return value_read_size_bytes(context.memory, self.reader.missing_bytes, is_reserved=True)
        return read_size_bytes(context.memory)

    def _reserve_command_memory(self, connection: InputConnection) -> None:
        """Reserve memory for an incomplete command, or pause reading until there is room."""
        if not self.is_closed and not self.command_memory.reserve(connection):
            self.update_reading(connection)

    def grant_command_memory(self, connection: InputConnection) -> None:
        """Reserve the memory that the incomplete command waits for, and read on."""
        self.command_memory.grant()
        self.update_reading(connection, restarts_timeout=False)

    def discard_command(self, connection: InputConnection) -> None:
        """Give up the memory of the incomplete command; it is rejected when its last byte has come."""
        self.reader.discard_partial()
        self.command_memory.release(connection)
        self.update_reading(connection, restarts_timeout=False)

    def release_memory(self, connection: InputConnection) -> None:
        """Drop all input."""
        self.deferred.clear()
        self.reader.discard_partial()
        self.command_memory.release(connection)

    # Executing commands.

    def _run_slice(self, connection: InputConnection) -> None:
        """Execute or reject deferred commands until the slice ends or the remaining ones have to wait."""
        context = self._context
        started_at_s = context.time()
        ends_at_s = started_at_s + _slice_time_s(connection)
        while self._is_runnable(connection) and context.time() < ends_at_s:
            sheds = self._must_shed(connection)
            self._execute_commands(connection, self.deferred.pop_first(), ends_at_s, sheds)
        context.scheduler.record(context.time() - started_at_s)

    def _execute_commands(
        self, connection: InputConnection, chunk: InputChunk, ends_at_s: float, sheds: bool = False
    ) -> None:
        """Execute the commands in a chunk up to the limit until the slice ends, and defer the remainder.

        With `sheds`, commands beyond the limit are rejected, as each command that was read must get a reply.
        """
        context = self._context
        data = chunk.data
        position = chunk.position
        now_s = context.time()
        self.is_parsing = True
        try:
            while position < len(data) and not self.is_closed:
                may_execute = self._may_execute(connection)
                if now_s >= ends_at_s or not (may_execute or sheds or self._rejects_pipelined()):
                    chunk.position = position
                    self.deferred.prepend(chunk)
                    break
                arguments = self.reader.next_command(data, position)
                if arguments is None:
                    break
                position = self.reader.command_end
                pending_reply = PendingReply(connection)
                self._replies.add(pending_reply)
                self.command_memory.end_command()
                self.has_sent_command = True
                connection.command_received()
                if arguments is DISCARDED:
                    connection.reply(pending_reply, BUSY_REPLY)
                elif may_execute:
                    waited_s = now_s - chunk.received_at_s(position)
                    context.commands.execute(pending_reply, arguments, waited_s)
                else:
                    context.commands.shed(pending_reply, arguments)
                now_s = context.time()
        except CommandSyntaxError as error:
            self.deferred.clear()  # the start of the next command is unknown
            connection.fail(str(error))
        finally:
            self.is_parsing = False
        if context.drain.closes_idle and connection.is_idle():
            connection.end(CloseReason.DRAINED)

    def _may_execute(self, connection: InputConnection) -> bool:
        """Return whether the next command may be executed now.

        Not while a large value is streamed: the connection closes if the value fails, and the commands after
        it would get no reply.
        """
        open_count = len(self._replies.pending)
        has_capacity = not open_count or (open_count < MAX_PIPELINED and self._has_additional_memory())
        if self._rejects_pipelined():
            return False
        return has_capacity and not (connection.blocked or self._replies.is_streaming_value())

    def _rejects_pipelined(self) -> bool:
        """Return whether a command that follows others without a reply is rejected, as the process stops."""
        return bool(self._replies.pending) and self._context.drain.rejects_pipelined

    def _has_additional_memory(self) -> bool:
        """Return whether there is memory for more than the first command of a connection."""
        return self._context.memory.has_room(0, Priority.ADDITIONAL)

    def _must_shed(self, connection: InputConnection) -> bool:
        """Return whether the oldest deferred command has to be rejected."""
        return self._has_to_shed() and not self._may_execute(connection)

    def _has_to_shed(self) -> bool:
        """Return whether deferred commands use too much memory, and there is some for their replies."""
        return self.deferred.is_over_limit() and self._has_additional_memory()

    def _is_runnable(self, connection: InputConnection) -> bool:
        """Return whether a deferred command may be executed, or has to be rejected."""
        if not self.deferred or self.is_closed:
            return False
        return self._may_execute(connection) or self._has_to_shed() or self._rejects_pipelined()

    def _may_read(self, connection: InputConnection) -> bool:
        """Return whether more commands may be read."""
        is_full = len(self._replies.pending) >= MAX_PENDING_REPLIES
        if is_full or connection.blocked or self._replies.is_streaming_value():
            return False
        if self.command_memory.waits_since_s or (self.deferred and not self._has_additional_memory()):
            return False
        return not (self._is_runnable(connection) and self.deferred.is_read_ahead_over_limit())

    def has_unprocessed_input(self, connection: InputConnection) -> bool:
        """Return whether input is deferred, or may be unread because reading is paused."""
        return bool(self.deferred) or not connection.is_reading

    def resume(self, connection: InputConnection) -> None:
        """Execute deferred commands for one slice, and resume reading."""
        if self.deferred and not connection.is_closing():
            self._run_slice(connection)
            if not self.deferred:
                self.reader.restart_timeout()
            self._schedule(connection, has_used_slice=True)
            self._reserve_command_memory(connection)
        self.update_reading(connection)

    def _schedule(self, connection: InputConnection, has_used_slice: bool) -> None:
        """Have deferred commands executed or rejected in the next slice, unless they wait for replies."""
        if self._is_runnable(connection):
            self._context.scheduler.add(connection, has_used_slice)

    def close(self, connection: InputConnection, discards_input: bool = False) -> None:
        """Stop executing commands, and read nothing more or discard it; what is deferred stays until the end.

        A request that is read must be answered. One that is left unread is sent again by its client.
        """
        self.is_closed = True
        self._discards_input = discards_input
        self.reader.discard_partial()
        self.command_memory.release(connection)

    def discard_remainder(self, connection: InputConnection) -> None:
        """Read and discard what is left, as the client has closed its sending side."""
        self._discards_input = True
        self.update_reading(connection)

    def update_reading(self, connection: InputConnection, restarts_timeout: bool = True) -> None:
        """Resume or pause reading; while it is paused, watch for the client to disconnect.

        The timeout of an incomplete command is restarted unless the command itself waited for memory.
        """
        if self.is_closed:
            may_read = self._discards_input and self._discarded_bytes <= MAX_DISCARDED_BYTES
        else:
            may_read = self._may_read(connection)
        if connection.set_reading(may_read):
            self._context.hangup_monitor.set_watched(connection, not may_read)
            if not may_read:
                self._arrival_times.pause()
                return
            if restarts_timeout:
                self.reader.restart_timeout()
            self._arrival_times.resume(connection.unread_bytes())
