"""The socket of a client's connection: its buffers in the system, reading, writing and half-closing."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from dataclasses import dataclass
from typing import cast

HALF_CLOSE_TIMEOUT_S = 0.75  # during which bytes are read and discarded after the last reply
_IOCTL_INT_FORMAT = "i"  # the result type of the ioctl requests below, as `struct` writes it
# Of `struct tcp_info` in linux/tcp.h: eight bytes, then numbers of 32 bits, these two in ms.
_LAST_DATA_SENT_OFFSET = 44
_LAST_DATA_RECEIVED_OFFSET = 52
_TCP_INFO_BYTES = 56
_MILLISECONDS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class SocketAges:
    """How long ago the system last received data on a connection, and last sent any, in s.

    Where it has sent none, `last_sent_s` is the age of the connection.
    """

    last_received_s: float
    last_sent_s: float


def _queued_bytes(transport: asyncio.Transport, request: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    result = fcntl.ioctl(descriptor, request, bytes(struct.calcsize(_IOCTL_INT_FORMAT)))
    return int(struct.unpack(_IOCTL_INT_FORMAT, result)[0])


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the open socket holds bytes that the event loop has not read."""
    return unread_bytes(transport) != 0


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the open socket holds that the event loop has not read."""
    return _queued_bytes(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the client has not acknowledged, in this process and in the system.

    Both are counted, because with a slow reader the system's buffer shrinks before the process's does.
    """
    buffered = transport.get_write_buffer_size()
    if transport.is_closing():
        return buffered
    return buffered + _queued_bytes(transport, termios.TIOCOUTQ)


def socket_ages(transport: asyncio.Transport) -> SocketAges | None:
    """Return the ages of the open socket's data; None where the system does not report them."""
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


def hangup_poll(transport: asyncio.Transport) -> select.poll:
    """Return a poll object that reports an event once the client has ended its sending.

    The event loop may notice that late: it reads all input first, and it may lag.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return poll


class WriteProgress:
    """Whether a client accepts the bytes that wait to be written to it."""

    __slots__ = ("_unacknowledged_bytes", "blocked_since_s")

    def __init__(self) -> None:
        self.blocked_since_s = 0.0  # when progress was last seen; 0 while the write buffer is not full
        self._unacknowledged_bytes = 0  # unacknowledged at that time

    def block(self, now_s: float, unacknowledged: int) -> None:
        """Start to watch progress: the write buffer is full."""
        self.blocked_since_s = now_s
        self._unacknowledged_bytes = unacknowledged

    def unblock(self) -> None:
        """Stop watching progress: the write buffer is no longer full."""
        self.blocked_since_s = 0.0

    def is_stalled(self, now_s: float, unacknowledged: int, timeout_s: float) -> bool:
        """Return whether the client has acknowledged nothing during the time-out."""
        if unacknowledged < self._unacknowledged_bytes:
            self.block(now_s, unacknowledged)
            return False
        return now_s - self.blocked_since_s >= timeout_s


class ClientSocketProtocol(asyncio.Protocol):
    """A connection without regard to its contents: reading, writing, blocking and half-closing."""

    __slots__ = (
        "_final_write_progress",
        "_hangup_poll",
        "_is_reading",
        "_transport",
        "_write_progress",
        "half_close_ends_at_s",
    )

    def __init__(self) -> None:
        self._transport: asyncio.Transport  # from `connection_made` on
        self._hangup_poll: select.poll | None = None
        self._is_reading = True
        self._write_progress = WriteProgress()
        self._final_write_progress = WriteProgress()  # from the half-close on
        self.half_close_ends_at_s = 0.0  # 0 before the half-close

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection's transport."""
        self._transport = cast(asyncio.Transport, transport)

    def is_closing(self) -> bool:
        """Return whether the transport is closed or being closed."""
        return self._transport.is_closing()

    def has_hung_up(self) -> bool:
        """Return whether the client has ended its sending, though the event loop may not have read that."""
        if self._transport.is_closing():
            return True
        if self._hangup_poll is None:
            self._hangup_poll = hangup_poll(self._transport)
        return bool(self._hangup_poll.poll(0))

    @property
    def blocked(self) -> bool:
        """Whether the write buffer is full, as the client does not accept its replies."""
        return self._write_progress.blocked_since_s > 0.0

    def is_write_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the blocked client has acknowledged nothing during the time-out."""
        return self._write_progress.is_stalled(now_s, unacknowledged_bytes(self._transport), timeout_s)

    @property
    def is_reading(self) -> bool:
        """Whether the event loop reads from the socket."""
        return self._is_reading

    def write(self, data: bytes) -> None:
        """Write a part of the first pending reply."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def set_reading(self, may_read: bool) -> bool:
        """Resume or pause reading; return whether that changed it on an open transport."""
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

    def half_close(self, now_s: float) -> None:
        """End the sending, and read for `HALF_CLOSE_TIMEOUT_S` longer.

        Closing a socket with unread bytes resets the connection, and the client may lose replies that it
        has not read yet.
        """
        if not self.half_close_ends_at_s and not self._transport.is_closing():
            self.half_close_ends_at_s = now_s + HALF_CLOSE_TIMEOUT_S
            self._final_write_progress.block(now_s, unacknowledged_bytes(self._transport))
            self._transport.write_eof()

    def is_half_close_over(self, now_s: float, stall_timeout_s: float) -> bool:
        """Return whether a half-closed connection may be closed: its replies are written, or stalled."""
        if now_s < self.half_close_ends_at_s:
            return False
        unacknowledged = unacknowledged_bytes(self._transport)
        is_written = not self._transport.get_write_buffer_size()
        return is_written or self._final_write_progress.is_stalled(now_s, unacknowledged, stall_timeout_s)
