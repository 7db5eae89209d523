"""Pending replies of one client connection, written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..networking.value_stream import FlowControl
from ..observability.close_reasons import CloseReason
from .buffer_budgets import BufferBudget, StreamBudget


class ReplyConnection(Protocol):
    """The operations of a client connection that writing a reply needs."""

    @property
    def blocked(self) -> bool:
        """Whether the write buffer is full because the client does not accept its replies."""

    def reply(self, pending_reply: PendingReply, reply: bytes, /) -> None:
        """Reply to a command."""

    def start_stream(self, pending_reply: PendingReply, length: int, flow: FlowControl, /) -> StreamedReply:
        """Start a reply that is a large value of `length` bytes."""

    def abort_stream(self, pending_reply: PendingReply, reply: bytes, /) -> None:
        """Abort an incomplete large value; send `reply` if no part of the value was written."""

    def start_next_stream(self) -> None:
        """Start to write the first pending reply if it is a large value that is due."""

    def write(self, data: bytes) -> None:
        """Write part of the first pending reply."""

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
        # Bytes of a large value that are counted in the buffer budget and not written.
        self.buffered_bytes = 0


class StreamedReply:
    """A large value that is being received from an endpoint.

    It is streamed to the client when it is the first pending reply and no command follows it, because a value
    that fails after its start closes the connection. Until then it is buffered within the buffer budget.
    Reading from the endpoint is paused while the budget is exhausted, or while the client does not accept
    the value.
    """

    __slots__ = (
        "_buffered",
        "_client",
        "_flow_control",
        "_header",
        "_reserve_buffered",
        "is_out_of_budget",
        "started",
    )

    def __init__(
        self,
        client: ReplyConnection,
        length: int,
        flow_control: FlowControl,
        reserve_buffered: Callable[[int], bool],
    ) -> None:
        """Take `reserve_buffered` to count bytes as buffered; it returns False if that exceeds the limit."""
        self._client = client
        self._flow_control = flow_control
        self._reserve_buffered = reserve_buffered
        self._header = b"$%d\r\n" % length
        self._buffered: list[bytes] = []  # parts received before streaming started
        self.is_out_of_budget = False  # reading from the endpoint is paused until streaming starts
        self.started = False

    def write(self, data: bytes) -> None:
        """Write part of the value, or buffer it; pause the endpoint if the budget is exhausted."""
        if self.started:
            self._client.write(data)
            return
        self._buffered.append(data)
        if not self._reserve_buffered(len(data)):
            self.is_out_of_budget = True
            self._flow_control.pause()
            self._client.start_next_stream()

    def start(self) -> None:
        """Write the buffered parts; later parts are written as they are received."""
        self.started = True
        buffered = self._buffered
        self._buffered = []
        self._client.write(b"".join((self._header, *buffered)))
        self.set_paused(self._client.blocked)

    def may_outlast_deadline(self) -> bool:
        """Return whether streaming has started, or the endpoint is paused until it starts."""
        return self.started or self.is_out_of_budget

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the endpoint."""
        if paused:
            self._flow_control.pause()
        else:
            self._flow_control.resume()

    def finish(self) -> bytes:
        """Return the bytes that remain to be written after the whole value was received."""
        if self.started:
            return b"\r\n"
        return b"".join((self._header, *self._buffered, b"\r\n"))


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
            self._end_stream(pending_reply)
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

    def _reserve_buffered(self, pending_reply: PendingReply, size: int) -> bool:
        """Count bytes of a large value as buffered; return False if that exceeds the limit."""
        if not self._buffers.reserve_buffered(size):
            return False
        pending_reply.buffered_bytes += size
        return True

    def _mark_written(self, pending_reply: PendingReply) -> None:
        self._written_buffered_bytes += pending_reply.buffered_bytes
        pending_reply.buffered_bytes = 0

    def release_written(self) -> None:
        """Release the budget of written values, as the client accepts them."""
        if self._written_buffered_bytes:
            self._buffers.release_buffered(self._written_buffered_bytes)
            self._written_buffered_bytes = 0

    # Streaming of large values.

    def _end_stream(self, pending_reply: PendingReply) -> None:
        if pending_reply.stream is not None and pending_reply.stream.started:
            self._streams.end()
        pending_reply.stream = None
        self._transport.set_write_buffer_limits(high=self._buffers.write_buffer_bytes)

    def start_stream(
        self, pending_reply: PendingReply, length: int, flow_control: FlowControl
    ) -> StreamedReply:
        """Start a reply that is a large value; it is buffered until streaming starts."""
        stream = StreamedReply(
            pending_reply.client, length, flow_control, partial(self._reserve_buffered, pending_reply)
        )
        pending_reply.stream = stream
        return stream

    def abort_stream(self, pending_reply: PendingReply) -> bool:
        """Abort an incomplete large value; return whether part of it was written."""
        stream = pending_reply.stream
        pending_reply.stream = None
        self._mark_written(pending_reply)
        self.release_written()
        if stream is None or not stream.started:
            return False
        self._streams.end()
        pending_reply.reply = b""  # the client sees the failure as the end of the connection
        return True

    def start_first_stream(self, has_commands_behind: bool) -> bool:
        """Start to write the first pending reply if it is a large value that is due; return whether it was.

        While commands follow it, a value is due only if the buffer budget is exhausted.
        """
        stream = self.first_stream()
        if stream is None or stream.started or (has_commands_behind and not stream.is_out_of_budget):
            return False
        self._transport.set_write_buffer_limits(high=self._streams.start())
        self._mark_written(self.pending[0])
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
            if pending_reply.stream is not None and pending_reply.stream.started:
                self._streams.end()
            pending_reply.stream = None
            self._mark_written(pending_reply)
            if pending_reply.reply is None:
                unanswered.append(pending_reply.request_number)
        self.release_written()
        return unanswered
