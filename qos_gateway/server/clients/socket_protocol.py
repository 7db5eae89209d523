"""The socket of a client's connection: ages of its data, reading, writing and half-closing."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from dataclasses import dataclass
from typing import cast

from ..networking.acknowledgements import Acknowledgements
from ..networking.lingering_close import CloseDecision, LingeringClose
from ..networking.socket_queues import SocketQueues, hangup_poll, socket_queues, unacknowledged_bytes

# `struct tcp_info` in linux/tcp.h: 8 bytes, then 32-bit fields; these two are in ms.
_LAST_DATA_SENT_OFFSET = 44
_LAST_DATA_RECEIVED_OFFSET = 52
_TCP_INFO_BYTES = 56
_MILLISECONDS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SocketAges:
    """Seconds since the kernel last received data on a connection, and since it last sent data.

    If no data was sent yet, `last_sent_s` is the age of the connection.
    """

    last_received_s: float
    last_sent_s: float


def socket_ages(transport: asyncio.Transport) -> SocketAges | None:
    """Return the ages of the open socket's data; None if the system does not report them."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _TCP_INFO_BYTES:
        return None
    (sent_ms,) = struct.unpack_from("I", info, _LAST_DATA_SENT_OFFSET)
    (received_ms,) = struct.unpack_from("I", info, _LAST_DATA_RECEIVED_OFFSET)
    return SocketAges(
        last_received_s=received_ms / _MILLISECONDS_PER_S, last_sent_s=sent_ms / _MILLISECONDS_PER_S
    )


class WriteProgress:
    """Tracks whether a client acknowledges data while the write buffer is full."""

    __slots__ = ("_unacknowledged_bytes", "blocked_since_s")

    def __init__(self) -> None:
        self.blocked_since_s = 0.0  # time of the last progress; 0 while the write buffer is not full
        self._unacknowledged_bytes = 0  # bytes not acknowledged at the time of the last progress

    def block(self, now_s: float, unacknowledged: int) -> None:
        """Record the time and the unacknowledged bytes: the write buffer is full."""
        self.blocked_since_s = now_s
        self._unacknowledged_bytes = unacknowledged

    def unblock(self) -> None:
        """Stop tracking, as the write buffer is no longer full."""
        self.blocked_since_s = 0.0

    def is_stalled(self, now_s: float, unacknowledged: int, timeout_s: float) -> bool:
        """Return whether the client has acknowledged nothing for `timeout_s`; records any progress."""
        if unacknowledged < self._unacknowledged_bytes:
            self.block(now_s, unacknowledged)
            return False
        return now_s - self.blocked_since_s >= timeout_s


class ClientSocketProtocol(asyncio.BufferedProtocol):
    """The transport level of a connection: flow control, write stalls, hangups and half-closing."""

    __slots__ = (
        "_acknowledgements",
        "_hangup_poll",
        "_is_reading",
        "_lingering_close",
        "_read_buffer",
        "_transport",
        "_write_progress",
    )

    def __init__(self, read_buffer: memoryview) -> None:
        """`read_buffer` may be shared: its content is copied after each read."""
        self._read_buffer = read_buffer
        self._transport: asyncio.Transport  # set by `connection_made`
        self._hangup_poll: select.poll | None = None
        self._is_reading = True
        self._write_progress = WriteProgress()
        self._acknowledgements = Acknowledgements()
        self._lingering_close: LingeringClose | None = None  # None until the sending side is shut down

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection's transport."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - signature of asyncio.BufferedProtocol
        """Return the buffer for the next read."""
        return self._read_buffer[: self.read_size()]

    def read_size(self) -> int:
        """Return how many bytes the next read may return."""
        return len(self._read_buffer)

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes of a read."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""
        return self._transport.is_closing()

    def has_hung_up(self) -> bool:
        """Return whether the client has closed or shut down its sending side.

        This asks the kernel, as the event loop may not have read the end of the input yet.
        """
        if self._transport.is_closing():
            return True
        if self._hangup_poll is None:
            self._hangup_poll = hangup_poll(self._transport)
        return bool(self._hangup_poll.poll(0))

    @property
    def blocked(self) -> bool:
        """Whether the write buffer is full because the client does not read its replies."""
        return self._write_progress.blocked_since_s > 0.0

    def is_write_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the blocked client has acknowledged nothing for `timeout_s`."""
        return self._write_progress.is_stalled(now_s, unacknowledged_bytes(self._transport), timeout_s)

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from the socket."""
        return self._is_reading

    def write(self, *parts: bytes | bytearray) -> None:
        """Write parts of the first pending reply, unless the transport is closing."""
        if not self._transport.is_closing():
            self._transport.writelines(parts)

    def set_reading(self, may_read: bool) -> bool:
        """Resume or pause reading; return whether that changed the state of an open transport."""
        if may_read is self._is_reading:
            return False
        self._is_reading = may_read
        if self._transport.is_closing():
            return False
        if may_read:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
        return True

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes of replies the client has not acknowledged."""
        return unacknowledged_bytes(self._transport)

    def record_acknowledgements(self, now_s: float) -> None:
        """Note whether the client has read since the last call, which is to be made a few times a second.

        After the half-close `close_decision` does that.
        """
        if not self.is_half_closed:
            self._acknowledgements.record(now_s, self.unacknowledged_bytes())

    def is_reading_replies(self, now_s: float) -> bool:
        """Return whether the client has read replies that had to wait for it, not long ago."""
        return self._acknowledgements.is_reading(now_s)

    @property
    def is_half_closed(self) -> bool:
        """Whether the sending side is shut down, or will be once the written bytes are sent."""
        return self._lingering_close is not None

    def half_close(self, now_s: float, last_written_at_s: float) -> None:
        """Shut down the sending side once the written bytes are sent; `close_decision` tells what follows."""
        if self._lingering_close is None and not self._transport.is_closing():
            queues = socket_queues(self._transport)
            self._lingering_close = LingeringClose(now_s, last_written_at_s, queues, self._acknowledgements)
            self._transport.write_eof()

    def close_decision(self, now_s: float, queues: SocketQueues, deadline_s: float) -> CloseDecision:
        """Return whether the half-closed connection may be closed.

        After `deadline_s` only clients that are still reading may keep their connection.
        """
        assert self._lingering_close is not None  # callers ask after `half_close` only
        is_buffered = self._transport.get_write_buffer_size() > 0
        return self._lingering_close.decide(now_s, queues, self.has_hung_up(), is_buffered, deadline_s)
