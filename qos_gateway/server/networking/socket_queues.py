"""What the system holds of an open connection: bytes that its peer or this process has not taken yet."""

from __future__ import annotations

import asyncio
import fcntl
import select
import struct
import termios
from dataclasses import dataclass

_IOCTL_INT_FORMAT = "i"  # result of the ioctl requests below, as a `struct` format


@dataclass(frozen=True, slots=True)
class SocketQueues:
    """Bytes of one connection in transit.

    `unacknowledged_bytes` were written and are not acknowledged by the peer's system; `unread_bytes` were
    received by this system and not read by the process.
    """

    unacknowledged_bytes: int
    unread_bytes: int

    def without_end_of_stream(self) -> SocketQueues:
        """Return the queues of a connection whose sending side is shut down, without the end of its stream.

        The system counts the end as a byte, which the peer acknowledges up to 40 ms later than what precedes.
        """
        return SocketQueues(max(0, self.unacknowledged_bytes - 1), self.unread_bytes)

    @property
    def is_empty(self) -> bool:
        """Whether a close can neither lose written bytes nor reset the connection."""
        return not (self.unacknowledged_bytes or self.unread_bytes)


def socket_queues(transport: asyncio.Transport) -> SocketQueues:
    """Return what is in transit on a connection; unread bytes count as 0 once its transport is closing."""
    unread = 0 if transport.is_closing() else unread_bytes(transport)
    return SocketQueues(unacknowledged_bytes(transport), unread)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the open socket's receive buffer holds."""
    return _queued_bytes(transport, termios.FIONREAD)


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether the open socket's receive buffer holds bytes."""
    return unread_bytes(transport) != 0


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many written bytes the peer has not acknowledged.

    Counts the transport's buffer and the kernel's, because with a slow reader the kernel's shrinks first.
    """
    buffered = transport.get_write_buffer_size()
    if transport.is_closing():
        return buffered
    return buffered + _queued_bytes(transport, termios.TIOCOUTQ)


def hangup_poll(transport: asyncio.Transport) -> select.poll:
    """Return a poll object that reports an event once the peer has closed or shut down its sending side.

    The event loop may notice this late, as it reads all input first and may lag behind.
    """
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return poll


def _queued_bytes(transport: asyncio.Transport, request: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    result = fcntl.ioctl(descriptor, request, bytes(struct.calcsize(_IOCTL_INT_FORMAT)))
    return int(struct.unpack(_IOCTL_INT_FORMAT, result)[0])
