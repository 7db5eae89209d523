"""Estimates when the bytes of each read of one connection arrived."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from .input_backlog import FULL_BUFFER_THRESHOLD_BYTES, InputBacklog
from .loop_stalls import LoopStallDetector
from .receive_times import ReceiveTimes, estimate_receive_times
from .socket_protocol import SocketAges


class ReadSocket(Protocol):
    """What is asked of a socket after a read."""

    def unread_bytes(self) -> int:
        """Return the number of unread bytes in the open socket."""

    def socket_ages(self) -> SocketAges | None:
        """Return the ages of the open socket's data, or None if the system does not report them."""


class ArrivalTimes:
    """Knows since when the bytes of the next read may have been waiting."""

    __slots__ = ("_backlog", "_queued_since_s", "_stall_detector", "_time")

    def __init__(self, time: Callable[[], float], stall_detector: LoopStallDetector) -> None:
        """Take `time`, which returns the event loop's time in seconds."""
        self._time = time
        self._stall_detector = stall_detector
        self._backlog = InputBacklog()
        # Earliest receive time of the first read, if its bytes arrived before the accept; otherwise None.
        self._queued_since_s: float | None = None

    def note_queued_since(self, queued_since_s: float) -> None:
        """Record that bytes arrived before the accept, no earlier than this time."""
        self._queued_since_s = queued_since_s

    def pause(self) -> None:
        """Record that reading is paused."""
        self._backlog.pause(self._time())

    def resume(self, unread_bytes: int) -> None:
        """Record that reading resumes with this number of bytes in the socket."""
        self._backlog.resume(self._time(), unread_bytes)

    def of_read(self, sock: ReadSocket, size: int) -> ReceiveTimes:
        """Return the receive times of the bytes that are read now."""
        now_s = self._time()
        if self._backlog.exists():
            received_at_s = self._backlog.received_at_s(now_s, size, not sock.unread_bytes())
            return ReceiveTimes(received_at_s, received_at_s)
        unread_since_s = self._unread_since_s(now_s)
        if unread_since_s is not None:
            return self._of_delayed_read(sock, now_s, unread_since_s, size)
        if sock.unread_bytes():
            self._backlog.note_partial_read(now_s)
        return ReceiveTimes(now_s, now_s)

    def _unread_since_s(self, now_s: float) -> float | None:
        """Return the time since which the socket may have been unread, or None if reads were not delayed."""
        queued_since_s = self._queued_since_s
        if queued_since_s is None:
            return self._stall_detector.stalled_since_s(now_s)
        self._queued_since_s = None
        return queued_since_s

    def _of_delayed_read(
        self, sock: ReadSocket, now_s: float, unread_since_s: float, size: int
    ) -> ReceiveTimes:
        """Return the receive times of bytes whose read was delayed.

        Starts a backlog if the socket may have been full, as the client's system then sends more bytes later,
        and if the read leaves bytes in the socket.
        """
        times = estimate_receive_times(now_s, unread_since_s, sock.socket_ages())
        unread_bytes = sock.unread_bytes()
        if unread_bytes or size >= FULL_BUFFER_THRESHOLD_BYTES:
            self._backlog.pause(times.first_s)
            self._backlog.resume(now_s, size + unread_bytes)
        return times
