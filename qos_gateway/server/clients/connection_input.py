"""Input of one client's connection: reading, deferring and executing commands."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..observability.close_reasons import CloseReason
from .accept_drain import DrainState
from .buffer_budgets import BufferBudget, StreamBudget
from .close_guard import CloseGuard
from .command_reader import CommandReader, CommandSyntaxError, DeferredInput
from .commands import CommandExecutor, RequestHandler
from .hangup_monitor import HangupMonitor
from .pending_replies import PendingReply, ReplyConnection, ReplyQueue

MAX_PIPELINED = 32  # commands of one connection without a reply; the commands behind them wait unread
MAX_DISCARDED_BYTES = 1 << 20  # read after the input was closed; more is left unread


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class ConnectionContext:
    """What all connections of clients share."""

    time: Callable[[], float]  # s, on the event loop's clock
    call_soon: Callable[[Callable[[], None]], asyncio.Handle]
    requests: RequestHandler
    commands: CommandExecutor
    buffers: BufferBudget
    streams: StreamBudget
    close_guard: CloseGuard
    hangup_monitor: HangupMonitor
    drain: DrainState


class InputConnection(ReplyConnection, Protocol):
    """The connection as its input sees it."""

    def is_idle(self) -> bool:
        """Return whether it may be closed without loss."""

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""

    def has_unread_bytes(self) -> bool:
        """Return whether the open socket holds bytes that were not read."""

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from the socket."""

    def set_reading(self, may_read: bool) -> bool:
        """Resume or pause reading; return whether that changed it on an open transport."""

    def command_received(self) -> None:
        """Note that the client has sent a complete command."""

    def fail(self, reason: str) -> None:
        """End the connection after a protocol error."""

    def close(self, reason: CloseReason) -> None:
        """Close once all replies are written."""


class ConnectionInput:
    """Executes a client's commands as they are read, while few enough of them have no reply yet.

    Input that may not be executed yet is deferred, and reading is paused. The connection is passed to each
    method: a reference to it would be a cycle, so that closed connections waited for the garbage collector.
    """

    __slots__ = (
        "_backlog_since_s",
        "_context",
        "_discarded_bytes",
        "_replies",
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
        # When reading was paused, until all bytes that have waited since then are read; 0 where none wait.
        self._backlog_since_s = 0.0
        self._discarded_bytes = 0
        self.has_sent_command = False  # a complete one
        self.is_parsing = False  # a command is being executed, and others may follow in the same data
        self.is_closed = False  # no further command is executed; what is read is discarded

    def receive(self, connection: InputConnection, data: bytes) -> None:
        """Execute the commands in the data as far as that is allowed now."""
        if self.is_closed:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.update_reading(connection)
        elif self.deferred.data:
            self._defer(connection, self.deferred.data + data, self.deferred.since_s)
        else:
            received_at_s = (
                self._backlog_received_at_s(connection) if self._backlog_since_s else self._context.time()
            )
            self._execute_commands(connection, data, received_at_s)

    def _backlog_received_at_s(self, connection: InputConnection) -> float:
        """Return the earliest time at which the bytes read now may have been sent.

        Bytes that the socket buffer cannot hold wait at the client and arrive as the buffer is read. Thus
        nothing waits any more once a read has emptied the socket.
        """
        since_s = self._backlog_since_s
        if not connection.has_unread_bytes():
            self._backlog_since_s = 0.0
        return since_s

    def _execute_commands(self, connection: InputConnection, data: bytes, received_at_s: float) -> None:
        context = self._context
        position = 0
        waited_s = context.time() - received_at_s
        self.is_parsing = True
        try:
            while position < len(data) and not self.is_closed:
                if not self._may_execute(connection):
                    self._defer(connection, data[position:], received_at_s)
                    break
                arguments = self.reader.next_command(data, position)
                if arguments is None:
                    break
                position = self.reader.end
                pending_reply = PendingReply(connection)
                self._replies.pending.append(pending_reply)
                self.has_sent_command = True
                connection.command_received()
                context.commands.execute(pending_reply, arguments, waited_s)
        except CommandSyntaxError as error:
            connection.fail(str(error))
        finally:
            self.is_parsing = False
        if context.drain.closes_idle and connection.is_idle():
            connection.close(CloseReason.DRAINED)

    def _may_execute(self, connection: InputConnection) -> bool:
        """Return whether another command may be executed now.

        None may behind a large value that is written in part: if the value fails, the connection closes.
        """
        is_full = len(self._replies.pending) >= MAX_PIPELINED
        return not (is_full or connection.blocked or self._replies.is_value_in_flow())

    def _defer(self, connection: InputConnection, data: bytes, received_at_s: float) -> None:
        """Defer the data and pause reading; reject its requests where the buffer budget is exhausted."""
        if not self.deferred.put(data, received_at_s):
            try:
                self._shed_commands(connection, data)
            except CommandSyntaxError as error:
                connection.fail(str(error))
        self.update_reading(connection)

    def _shed_commands(self, connection: InputConnection, data: bytes) -> None:
        """Reply to each command in the data, as the requests that were read must get a reply."""
        position = 0
        while (arguments := self.reader.next_command(data, position)) is not None:
            position = self.reader.end
            pending_reply = PendingReply(connection)
            self._replies.pending.append(pending_reply)
            self._context.commands.shed(pending_reply, arguments)

    def is_held_back(self, connection: InputConnection) -> bool:
        """Return whether input waits, deferred or unread in the socket."""
        return bool(self.deferred.data) or not connection.is_reading

    def resume(self, connection: InputConnection) -> None:
        """Execute deferred commands as far as that is allowed now, then read on if none remain."""
        if self.deferred.data and not self.is_closed and not connection.is_closing():
            self._execute_commands(connection, self.deferred.take(), self.deferred.since_s)
        self.update_reading(connection)

    def close(self) -> None:
        """Execute no further command; what is read from now on is discarded."""
        self.is_closed = True

    def update_reading(self, connection: InputConnection) -> None:
        """Read while commands may be executed; pause otherwise, and watch for the client's end."""
        if self.is_closed:
            may_read = self._discarded_bytes <= MAX_DISCARDED_BYTES
        else:
            may_read = not self.deferred.data and self._may_execute(connection)
        if connection.set_reading(may_read):
            self._context.hangup_monitor.set_watched(connection, not may_read)
            if not may_read:
                self._backlog_since_s = self._backlog_since_s or self._context.time()
                return
            self.reader.restart_timeout()
            if not connection.has_unread_bytes():
                self._backlog_since_s = 0.0
