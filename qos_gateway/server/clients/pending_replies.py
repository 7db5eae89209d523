"""The replies that a client's connection owes, written in the order of its commands."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from ..networking.value_stream import FlowControl

if TYPE_CHECKING:
    from .connection import ClientConnection
    from .connections import ClientConnections


class PendingReply:
    """The place of one command's reply in the order of its connection."""

    __slots__ = ("client", "held_bytes", "reply", "request_number", "stream")

    def __init__(self, client: ClientConnection, request_number: int = -1) -> None:
        self.client = client
        self.request_number = request_number  # of the open request, -1 where there is none
        self.reply: bytes | None = None  # whole, once it is known
        self.stream: StreamedReply | None = None  # where it is a large value that is still being received
        self.held_bytes = 0  # of a large value that was received and is not written yet


class StreamedReply:
    """A large value on its way to a client.

    It is written as it is received where its turn has come and no command waits behind it: a value that
    breaks off after that ends the connection. Until then it is held as far as there is room; the endpoint is
    read no faster than that, and no faster than the client takes it.
    """

    __slots__ = (
        "_buffered",
        "_client",
        "_flow_control",
        "_header",
        "_reserve_room",
        "is_out_of_room",
        "started",
    )

    def __init__(
        self,
        client: ClientConnection,
        length: int,
        flow_control: FlowControl,
        reserve_room: Callable[[int], bool],
    ) -> None:
        """Take `reserve_room` to count bytes as held, which returns whether there was room for them."""
        self._client = client
        self._flow_control = flow_control
        self._reserve_room = reserve_room
        self._header = b"$%d\r\n" % length
        self._buffered: list[bytes] = []  # what is received before it is started
        self.is_out_of_room = False  # it waits to be started, and the endpoint is paused
        self.started = False

    def write(self, data: bytes) -> None:
        """Pass on a part of the value, or hold it; without room pause the endpoint until it is started."""
        if self.started:
            self._client.write(data)
            return
        self._buffered.append(data)
        if not self._reserve_room(len(data)):
            self.is_out_of_room = True
            self._flow_control.pause()
            self._client.start_next_stream()

    def start(self) -> None:
        """Write what was received so far, and from now on whatever is received."""
        self.started = True
        buffered = self._buffered
        self._buffered = []
        self._client.write(b"".join((self._header, *buffered)))
        self.set_paused(self._client.blocked)

    def may_outlast_deadline(self) -> bool:
        """Return whether a part of it may have reached the client, or it waits for the client."""
        return self.started or self.is_out_of_room

    def set_paused(self, paused: bool) -> None:
        """Pause or resume reading from the endpoint."""
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

    __slots__ = ("_owner", "_transport", "_written_held_bytes", "pending")

    def __init__(self, owner: ClientConnections) -> None:
        self._owner = owner
        self._written_held_bytes = 0  # of values that were held, are written, and may not be taken yet
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
            self._count_written(pending.popleft())
            self._transport.write(reply)
            return True
        replies = []
        while pending and (ready := pending[0].reply) is not None:
            self._count_written(pending.popleft())
            replies.append(ready)
        self._transport.write(b"".join(replies))
        return True

    # The memory of large values.

    def _reserve_room(self, pending_reply: PendingReply, size: int) -> bool:
        """Count so many bytes as held, unless all connections together would hold too many."""
        if self._owner.held_bytes + size > self._owner.buffer_memory:
            return False
        self._owner.held_bytes += size
        pending_reply.held_bytes += size
        return True

    def _count_written(self, pending_reply: PendingReply) -> None:
        self._written_held_bytes += pending_reply.held_bytes
        pending_reply.held_bytes = 0

    def release_written(self) -> None:
        """Count what was held and written as held no longer: the client takes it."""
        if self._written_held_bytes:
            self._owner.held_bytes -= self._written_held_bytes
            self._written_held_bytes = 0

    # Large values.

    def _end_stream(self, pending_reply: PendingReply) -> None:
        if pending_reply.stream is not None and pending_reply.stream.started:
            self._owner.active_streams -= 1
        pending_reply.stream = None
        self._transport.set_write_buffer_limits(high=self._owner.write_buffer_bytes)

    def start_stream(
        self, pending_reply: PendingReply, length: int, flow_control: FlowControl
    ) -> StreamedReply:
        """Begin a reply that is a large value; it is held until it is started."""
        stream = StreamedReply(
            pending_reply.client, length, flow_control, partial(self._reserve_room, pending_reply)
        )
        pending_reply.stream = stream
        return stream

    def abort_stream(self, pending_reply: PendingReply) -> bool:
        """Give up a large value; return whether a part of it was written."""
        stream = pending_reply.stream
        pending_reply.stream = None
        self._count_written(pending_reply)
        self.release_written()
        if stream is None or not stream.started:
            return False
        self._owner.active_streams -= 1
        pending_reply.reply = b""  # it has failed: the end of the connection tells the client so
        return True

    def start_first_stream(self, has_commands_behind: bool) -> bool:
        """Start the large value whose turn it is, if there is one that should be; return whether it was.

        With commands behind it that is one for which there is no more room.
        """
        stream = self.first_stream()
        if stream is None or stream.started or (has_commands_behind and not stream.is_out_of_room):
            return False
        self._transport.set_write_buffer_limits(high=self._owner.stream_started())
        self._count_written(self.pending[0])
        stream.start()
        return True

    def is_value_in_flow(self) -> bool:
        """Return whether a part of a large value was written, and not all of it."""
        stream = self.first_stream()
        return stream is not None and stream.started

    def set_stream_paused(self, paused: bool) -> None:
        """Pause or resume the endpoint of the large value that is being written, if there is one."""
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
            self._count_written(pending_reply)
            if pending_reply.reply is None:
                unanswered.append(pending_reply.request_number)
        self.release_written()
        return unanswered
