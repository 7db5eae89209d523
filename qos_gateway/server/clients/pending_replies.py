"""Pending replies of one client connection, written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from ..memory.budget import MemoryBudget, MemoryReservation, Priority
from ..networking.value_stream import FlowControl
from ..observability.memory_uses import MemoryUse
from .buffer_budgets import ActiveStreams, BufferBudget
from .streamed_reply import StreamedReply, ValueConnection, ValueState

PENDING_REPLY_BYTES = 192  # memory of the objects of one pending reply


class ReplyConnection(ValueConnection, Protocol):
    """The operations of a client connection that writing a reply needs."""

    def reply(self, pending_reply: PendingReply, reply: bytes, /) -> None:
        """Reply to a command."""

    def start_stream(self, pending_reply: PendingReply, length: int, flow: FlowControl, /) -> StreamedReply:
        """Start a reply that is a large value of `length` bytes."""

    def abort_stream(self, pending_reply: PendingReply, reply: bytes, /) -> None:
        """Abort an incomplete large value; send `reply` if no part of the value was written."""

    def has_hung_up(self) -> bool:
        """Return whether the client has closed its sending side, which the loop may not have read yet."""

    def hang_up(self) -> None:
        """End the connection, as its client has closed its sending side."""

    def memory_priority(self, pending_reply: PendingReply, /) -> Priority:
        """Return the priority of the memory that the request of this reply needs."""

    @property
    def was_served(self) -> bool:
        """Whether the client has got a reply before."""


class PendingReply:
    """One command's entry in the reply order of its connection."""

    __slots__ = ("buffered", "buffered_bytes", "client", "reply", "request_number", "stream")

    def __init__(self, client: ReplyConnection, request_number: int = -1) -> None:
        self.client = client
        self.request_number = request_number  # number of the open request; -1 if there is none
        self.reply: bytes | None = None  # the complete reply, or its end after `buffered`
        self.buffered: tuple[bytes, bytearray] | None = None  # the start of a large value, with its header
        self.stream: StreamedReply | None = None  # a large value that is being received
        # Bytes that are reserved in the buffer budget for a large value that is not written.
        self.buffered_bytes = 0


class ReplyQueue:
    """The pending replies of one connection, the oldest first.

    Replies that wait for earlier ones, and written ones that the client does not accept, are counted in the
    memory budget. The transport blocks the connection as soon as anything written waits for the client.
    """

    __slots__ = (
        "_buffers",
        "_memory",
        "_streams",
        "_transport",
        "_unaccepted_bytes",
        "_waiting_bytes",
        "_written_buffered_bytes",
        "has_written",
        "pending",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        buffers: BufferBudget,
        streams: ActiveStreams,
        memory: MemoryBudget,
    ) -> None:
        self._transport = transport
        self._buffers = buffers
        self._streams = streams
        self._memory = MemoryReservation(memory, MemoryUse.REPLIES)
        self._waiting_bytes = 0  # complete replies that wait for earlier ones
        self._unaccepted_bytes = 0  # written ones that the client may not have accepted
        # Bytes of buffered values that were written and that the client may not have accepted.
        self._written_buffered_bytes = 0
        self.has_written = False  # a whole reply
        self.pending: deque[PendingReply] = deque()
        transport.set_write_buffer_limits(high=0)

    @property
    def held_bytes(self) -> int:
        """The memory of replies that wait or that the client has not accepted."""
        return self._memory.size_bytes + self._written_buffered_bytes

    def add(self, pending_reply: PendingReply) -> None:
        """Add the reply to the newest command."""
        self.pending.append(pending_reply)
        if len(self.pending) > 1:
            self._update_memory()

    def _update_memory(self) -> None:
        objects_bytes = len(self.pending) * PENDING_REPLY_BYTES if len(self.pending) > 1 else 0
        self._memory.set_size(objects_bytes + self._waiting_bytes + self._unaccepted_bytes)

    def write(self, pending_reply: PendingReply, reply: bytes) -> bool:
        """Write a reply and the complete ones after it if it is the first; return whether it is."""
        pending_reply.reply = reply
        if pending_reply.stream is not None:
            self._end_stream(pending_reply, pending_reply.stream)
        pending = self.pending
        self._waiting_bytes += len(reply)
        if pending[0] is not pending_reply:
            self._update_memory()
            return False
        parts: list[bytes | bytearray] = []
        written_bytes = 0
        while pending and (ready := pending[0].reply) is not None:
            written = pending.popleft()
            if written.buffered is not None:
                parts += written.buffered
            parts.append(ready)
            written_bytes += len(ready)
            self._mark_written(written)
        self._waiting_bytes -= written_bytes
        self.has_written = True
        self._write_parts(parts)
        self.note_written(written_bytes)
        return True

    def _write_parts(self, parts: list[bytes | bytearray]) -> None:
        if len(parts) == 1:
            self._transport.write(parts[0])
        else:
            self._transport.writelines(parts)

    def note_written(self, size_bytes: int) -> None:
        """Count bytes that were written until the client has accepted them."""
        if self._transport.get_write_buffer_size():
            self._unaccepted_bytes += size_bytes
        self._update_memory()

    # Memory of large values.

    def _reserve(self, pending_reply: PendingReply, stream: StreamedReply) -> None:
        """Reserve memory for a large value that must not be streamed now, or have it wait."""
        is_first = self.pending[0] is pending_reply
        if stream.state is ValueState.BUFFERING or stream.state is ValueState.QUEUED:
            return
        reserve = self._buffers.reserve_first if is_first else self._buffers.reserve
        if reserve(stream.length):
            stream.buffer()
            return
        stream.wait(is_first)
        if is_first:
            self._buffers.enqueue(stream)

    def _mark_written(self, pending_reply: PendingReply) -> None:
        self._written_buffered_bytes += pending_reply.buffered_bytes
        pending_reply.buffered_bytes = 0

    def release_written(self) -> None:
        """Release the memory of what was written, as the client has accepted it."""
        if self._unaccepted_bytes:
            self._unaccepted_bytes = 0
            self._update_memory()
        if self._written_buffered_bytes:
            self._buffers.release_buffered(self._written_buffered_bytes)
            self._written_buffered_bytes = 0

    # Streaming of large values.

    def _end_stream(self, pending_reply: PendingReply, stream: StreamedReply) -> None:
        """End a large value of which all bytes were received."""
        pending_reply.stream = None
        if stream.started:
            self._streams.end()
        else:
            self._buffers.discard(stream)
            if stream.state is not ValueState.BUFFERING:  # its last bytes came with those that paused it
                self._buffers.add_buffered(stream.length)
            pending_reply.buffered_bytes = stream.length
            pending_reply.buffered = stream.take_buffered()

    def start_stream(
        self, pending_reply: PendingReply, length: int, flow_control: FlowControl, has_commands_behind: bool
    ) -> StreamedReply:
        """Start a reply that is a large value of `length` bytes."""
        stream = StreamedReply(pending_reply.client, length, flow_control)
        pending_reply.stream = stream
        if not self.start_first_stream(has_commands_behind):
            self._reserve(pending_reply, stream)
        return stream

    def abort_stream(self, pending_reply: PendingReply) -> bool:
        """Abort an incomplete large value; return whether part of it was written."""
        stream = pending_reply.stream
        pending_reply.stream = None
        if stream is None:
            return False
        self._discard_stream(stream)
        if not stream.started:
            return False
        self.pending.remove(pending_reply)  # the client sees the failure as the end of the connection
        return True

    def _discard_stream(self, stream: StreamedReply) -> None:
        """Release what an incomplete large value uses."""
        if stream.started:
            self._streams.end()
        elif stream.state is ValueState.BUFFERING:
            self._buffers.release_buffered(stream.length)
        else:
            self._buffers.discard(stream)

    def start_first_stream(self, has_commands_behind: bool) -> bool:
        """Start to write the first pending reply if it is a large value that is due; return whether it was.

        While commands follow it, it is not due: it would end their connection if it failed. It is buffered
        instead, or waits for memory.
        """
        stream = self.first_stream()
        if stream is None or stream.started:
            return False
        if has_commands_behind:
            self._reserve(self.pending[0], stream)
            return False
        self._streams.start()
        if stream.state is ValueState.BUFFERING:
            self._written_buffered_bytes += stream.received_bytes
            self._buffers.release_buffered(stream.length - stream.received_bytes)
        elif stream.is_waiting:
            self._buffers.discard(stream)
        stream.start()
        return True

    def is_streaming_value(self) -> bool:
        """Return whether the first pending reply is a large value that is partly written."""
        stream = self.first_stream()
        return stream is not None and stream.started

    def set_stream_paused(self, paused: bool) -> None:
        """Pause or resume reading from the endpoint of the large value that is being written, if any."""
        stream = self.first_stream()
        if stream is not None and stream.started:
            stream.set_paused(paused)

    def first_stream(self) -> StreamedReply | None:
        """Return the large value of the first pending reply, or None if it has none."""
        return self.pending[0].stream if self.pending else None

    def unanswered(self) -> list[int]:
        """Return the numbers of requests without a reply, and -1 for each other command without one."""
        return [pending.request_number for pending in self.pending if pending.reply is None]

    def discard(self) -> list[int]:
        """Drop all replies of a lost connection; return the numbers of the requests without a reply."""
        pending = self.pending
        self.pending = deque()
        unanswered = []
        for pending_reply in pending:
            if pending_reply.stream is not None:
                self._discard_stream(pending_reply.stream)
            pending_reply.stream = None
            self._mark_written(pending_reply)
            if pending_reply.reply is None:
                unanswered.append(pending_reply.request_number)
        self._waiting_bytes = 0
        self.release_written()
        self._memory.release()
        return unanswered
