"""Pending replies of one client connection, written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from ..networking.value_stream import FlowControl
from ..observability.close_reasons import CloseReason
from .buffer_budgets import BufferBudget, StreamBudget
from .streamed_reply import StreamedReply, ValueConnection, ValueState


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

    def abort(self, reason: CloseReason) -> None:
        """Close immediately."""


class PendingReply:
    """One command's entry in the reply order of its connection."""

    __slots__ = ("buffered_bytes", "client", "reply", "request_number", "stream")

    def __init__(self, client: ReplyConnection, request_number: int = -1) -> None:
        self.client = client
        self.request_number = request_number  # number of the open request; -1 if there is none
        self.reply: bytes | None = None  # the complete reply, when it is known
        self.stream: StreamedReply | None = None  # a large value that is being received
        # Bytes that are reserved in the buffer budget for a large value that is not written.
        self.buffered_bytes = 0


class ReplyQueue:
    """The pending replies of one connection, the oldest first."""

    __slots__ = ("_buffers", "_streams", "_transport", "_written_buffered_bytes", "pending")

    def __init__(self, transport: asyncio.Transport, buffers: BufferBudget, streams: StreamBudget) -> None:
        self._transport = transport
        self._buffers = buffers
        self._streams = streams
        # Bytes of buffered values that were written and that the client may not have accepted.
        self._written_buffered_bytes = 0
        self.pending: deque[PendingReply] = deque()
        transport.set_write_buffer_limits(high=buffers.write_buffer_bytes)

    def write(self, pending_reply: PendingReply, reply: bytes) -> bool:
        """Write a reply and the complete ones after it if it is the first; return whether it is."""
        pending_reply.reply = reply
        if pending_reply.stream is not None:
            self._end_stream(pending_reply, pending_reply.stream)
        pending = self.pending
        if pending[0] is not pending_reply:
            return False
        if len(pending) == 1:
            self._mark_written(pending.popleft())
            self._transport.write(reply)
            return True
        replies = []
        while pending and (ready := pending[0].reply) is not None:
            self._mark_written(pending.popleft())
            replies.append(ready)
        self._transport.write(b"".join(replies))
        return True

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
        """Release the budget of written values, as the client accepts them."""
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
        self._transport.set_write_buffer_limits(high=self._buffers.write_buffer_bytes)

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
        pending_reply.reply = b""  # the client sees the failure as the end of the connection
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
        self._transport.set_write_buffer_limits(high=self._streams.start())
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
        self.release_written()
        return unanswered
