"""The socket side of a client's connection: its state in the system, reading and writing, and its end."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios
from typing import cast

HALF_CLOSE_TIMEOUT_S = 0.75  # for which a client's bytes are read and dropped after the last reply
_INT = "i"  # the type that the requests below fill in, in the notation of `struct`


def _queued_bytes(transport: asyncio.Transport, request: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    result = fcntl.ioctl(descriptor, request, bytes(struct.calcsize(_INT)))
    return int(struct.unpack(_INT, result)[0])


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the open socket holds bytes that the event loop has not read."""
    return unread_bytes(transport) != 0


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the open socket holds that the event loop has not read."""
    return _queued_bytes(transport, termios.FIONREAD)


def untaken_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the client has not acknowledged, in this process and in the system.

    The two are counted together because a slow reader empties the system's buffer first.
    """
    buffered = transport.get_write_buffer_size()
    if transport.is_closing():
        return buffered
    return buffered + _queued_bytes(transport, termios.TIOCOUTQ)


def hangup_poll(transport: asyncio.Transport) -> select.poll:
    """Return a poll object that reports an event once the client has ended its sending.

    The event loop may see that late: not before it has read all input, and not while it lags.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return poll


class WriteProgress:
    """Whether a client takes what waits to be written to it."""

    __slots__ = ("_untaken_bytes", "blocked_since_s")

    def __init__(self) -> None:
        self.blocked_since_s = (
            0.0  # since when the untaken bytes have not grown fewer, 0 where writing is free
        )
        self._untaken_bytes = 0  # at that time

    def block(self, now_s: float, untaken: int) -> None:
        """Begin to watch: the write buffer is full."""
        self.blocked_since_s = now_s
        self._untaken_bytes = untaken

    def unblock(self) -> None:
        """Stop watching: the write buffer has room again."""
        self.blocked_since_s = 0.0

    def is_stalled(self, now_s: float, untaken: int, timeout_s: float) -> bool:
        """Return whether the client has taken nothing for as long as the time-out."""
        if untaken < self._untaken_bytes:
            self.block(now_s, untaken)
            return False
        return now_s - self.blocked_since_s >= timeout_s


class ClientSocketProtocol(asyncio.Protocol):
    """What a connection does whatever is sent on it: it reads, is written to, blocks, and ends."""

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
        """Take the connection's transport."""
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
        """Whether the client has not taken what waits for it, up to the limit of the write buffer."""
        return self._write_progress.blocked_since_s > 0.0

    def is_write_stalled(self, now_s: float, timeout_s: float) -> bool:
        """Return whether the blocked client has taken nothing for as long as the time-out."""
        return self._write_progress.is_stalled(now_s, untaken_bytes(self._transport), timeout_s)

    @property
    def is_reading(self) -> bool:
        """Whether what the client sends is read as it comes."""
        return self._is_reading

    def write(self, data: bytes) -> None:
        """Write a part of the reply whose turn it is."""
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
        """End the sending, but read on for a while.

        To close while there are unread bytes is to reset, and a reset may take replies along that the
        client has not read yet.
        """
        if not self.half_close_ends_at_s and not self._transport.is_closing():
            self.half_close_ends_at_s = now_s + HALF_CLOSE_TIMEOUT_S
            self._final_write_progress.block(now_s, untaken_bytes(self._transport))
            self._transport.write_eof()

    def is_half_close_over(self, now_s: float, stall_timeout_s: float) -> bool:
        """Return whether a half-closed connection may be closed: its replies are written, or not taken."""
        if now_s < self.half_close_ends_at_s:
            return False
        untaken = untaken_bytes(self._transport)
        is_written = not self._transport.get_write_buffer_size()
        return is_written or self._final_write_progress.is_stalled(now_s, untaken, stall_timeout_s)
