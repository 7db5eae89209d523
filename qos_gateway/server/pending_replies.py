"""The replies that a client's connection owes, written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from .backends import FlowControl

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .client_connections import ClientConnections


class PendingReply:
    """The place of one command's reply in the order of its connection."""

    __slots__ = ("client", "reply", "request_number", "stream")

    def __init__(self, client: ClientConnection, request_number: int = -1) -> None:
        self.client = client
        self.request_number = request_number  # of the open request, -1 where there is none
        self.reply: bytes | None = None  # whole, once it is known
        self.stream: StreamedReply | None = None  # where it is a large value that is still being received


class StreamedReply:
    """A large value on its way to a client.

    It is written as it is received once all replies before it are; the backend is read no faster than the
    client takes it.
    """

    __slots__ = ("_buffered", "_client", "_flow_control", "_header", "started")

    def __init__(self, client: ClientConnection, length: int, flow_control: FlowControl) -> None:
        self._client = client
        self._flow_control = flow_control
        self._header = b"$%d\r\n" % length
        self._buffered: list[bytes] = []  # what is received before the replies ahead are written
        self.started = False

    def write(self, data: bytes) -> None:
        """Pass on a part of the value, or keep it and pause the backend until its turn comes."""
        if self.started:
            self._client.write(data)
        else:
            self._buffered.append(data)
            self._flow_control.pause()

    def start(self) -> None:
        """Write what was received so far, and from now on whatever is received."""
        self.started = True
        buffered = self._buffered
        self._buffered = []
        self._client.write(b"".join((self._header, *buffered)))
        self.set_paused(self._client.blocked)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the backend."""
        if paused:
            self._flow_control.pause()
        else:
            self._flow_control.resume()

    def finish(self) -> bytes:
        """Return what is still to be written once the whole value was received."""
        if self.started:
            return b"\r\n"
        return b"".join((self._header, *self._buffered, b"\r\n"))


class ReplyQueue:
    """The pending replies of one connection, the oldest first."""

    __slots__ = ("_owner", "_transport", "pending")

    def __init__(self, owner: ClientConnections) -> None:
        self._owner = owner
        self._transport: asyncio.Transport
        self.pending: deque[PendingReply] = deque()

    def bind(self, transport: asyncio.Transport) -> None:
        """Name the transport that replies are written to; to be called before the first command."""
        self._transport = transport

    def write(self, pending_reply: PendingReply, reply: bytes) -> bool:
        """Write a reply, and those it held up, once all before it are; return whether any was written."""
        pending_reply.reply = reply
        if pending_reply.stream is not None:
            self._end_stream(pending_reply)
        pending = self.pending
        if pending[0] is not pending_reply:
            return False
        if len(pending) == 1:
            pending.popleft()
            self._transport.write(reply)
            return True
        replies = []
        while pending and (ready := pending[0].reply) is not None:
            pending.popleft()
            replies.append(ready)
        self._transport.write(b"".join(replies))
        return True

    def _end_stream(self, pending_reply: PendingReply) -> None:
        if pending_reply.stream is not None and pending_reply.stream.started:
            self._owner.active_streams -= 1
        pending_reply.stream = None
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)

    def start_stream(
        self, pending_reply: PendingReply, length: int, flow_control: FlowControl
    ) -> StreamedReply:
        """Begin a reply that is a large value, at once if it is its turn."""
        stream = StreamedReply(pending_reply.client, length, flow_control)
        pending_reply.stream = stream
        self.start_next_stream()
        return stream

    def abort_stream(self, pending_reply: PendingReply) -> bool:
        """Give up a large value; return whether a part of it was written."""
        stream = pending_reply.stream
        pending_reply.stream = None
        if stream is None or not stream.started:
            return False
        self._owner.active_streams -= 1
        return True

    def start_next_stream(self) -> None:
        """Start the large value whose turn it is, if there is one."""
        stream = self.first_stream()
        if stream is not None and not stream.started:
            self._transport.set_write_buffer_limits(high=self._owner.stream_started())
            stream.start()

    def set_stream_paused(self, paused: bool) -> None:
        """Pause or resume the backend of the large value that is being written, if there is one."""
        stream = self.first_stream()
        if stream is not None and stream.started:
            stream.set_paused(paused)

    def first_stream(self) -> StreamedReply | None:
        """Return the oldest pending reply's large value, or None where it is none."""
        return self.pending[0].stream if self.pending else None

    def unanswered(self) -> list[int]:
        """Return the numbers of the requests without a reply; -1 for other commands."""
        return [pending.request_number for pending in self.pending if pending.reply is None]

    def discard(self) -> list[int]:
        """Drop all replies of a lost connection, and return the numbers of the requests without one."""
        pending = self.pending
        self.pending = deque()
        unanswered = []
        for pending_reply in pending:
            if pending_reply.stream is not None and pending_reply.stream.started:
                self._owner.active_streams -= 1
            pending_reply.stream = None
            if pending_reply.reply is None:
                unanswered.append(pending_reply.request_number)
        return unanswered
