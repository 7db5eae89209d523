"""Estimates how long bytes waited in the socket or on the client's system before they were read."""

from __future__ import annotations

FULL_BUFFER_THRESHOLD_BYTES = 4 << 10  # a receive buffer with fewer unread bytes was not full
# A client's system sends the data that did not fit into a full socket within this time.
SEND_BUFFER_FLUSH_S = 0.25
MAX_SOCKET_BUFFER_BYTES = 12 << 20  # total of the largest receive and send buffers that Linux uses by default


class InputBacklog:
    """Tracks since when the bytes of the next read may have been waiting.

    A backlog starts when reading is paused, or when a read leaves bytes in the socket. An empty socket does
    not always end it: if the receive buffer was full, the client's system sends the remaining bytes later.
    All these bytes get the start of the backlog as their receive time, so that no deadline exceeds the time
    that the client still waits.
    """

    __slots__ = (
        "_emptied_at_s",
        "_may_have_been_full",
        "_read_bytes",
        "_started_at_s",
        "_window_started_at_s",
    )

    def __init__(self) -> None:
        self._started_at_s = 0.0  # 0 if there is no backlog
        # Time since which the socket has been found empty; 0 after a pause or a read that left bytes.
        self._emptied_at_s = 0.0
        # Whether the receive buffer may have been full at some time since the backlog started.
        self._may_have_been_full = False
        # Number of bytes read since the backlog or the current window started.
        self._read_bytes = 0
        # Start of the current window of `MAX_SOCKET_BUFFER_BYTES`; 0 in the first window.
        self._window_started_at_s = 0.0

    def exists(self) -> bool:
        """Return whether the next read may return bytes that have waited."""
        return self._started_at_s > 0.0

    def pause(self, now_s: float) -> None:
        """Record that reading is paused."""
        self._started_at_s = self._started_at_s or now_s
        self._emptied_at_s = 0.0

    def resume(self, now_s: float, unread_bytes: int) -> None:
        """Record that reading resumes with this number of bytes in the socket."""
        if unread_bytes >= FULL_BUFFER_THRESHOLD_BYTES:
            self._may_have_been_full = True
        elif unread_bytes == 0:
            self._emptied_at_s = now_s
            if not self._may_have_been_full:
                self._end()

    def note_partial_read(self, received_at_s: float) -> None:
        """Record that a read of bytes received at this time left more in the socket."""
        self._started_at_s = self._started_at_s or received_at_s

    def received_at_s(self, now_s: float, read_bytes: int, socket_is_empty: bool) -> float:
        """Return the earliest time at which the bytes that are read now may have been sent."""
        started_at_s = self._started_at_s
        self._advance_start(now_s, read_bytes)
        if not socket_is_empty:
            self._emptied_at_s = 0.0
            return started_at_s
        if not self._may_have_been_full:
            self._end()
            return started_at_s
        if not self._emptied_at_s:
            self._emptied_at_s = now_s
        elif now_s - self._emptied_at_s >= SEND_BUFFER_FLUSH_S:
            self._end()
            return now_s
        return started_at_s

    def _advance_start(self, now_s: float, read_bytes: int) -> None:
        """Move the start of the backlog forward as bytes are read.

        The socket buffers hold at most `MAX_SOCKET_BUFFER_BYTES`: bytes that are read after a window of this
        size were sent after the window started.
        """
        self._read_bytes += read_bytes
        if self._read_bytes < MAX_SOCKET_BUFFER_BYTES:
            return
        self._started_at_s = self._window_started_at_s or self._started_at_s
        self._window_started_at_s = now_s
        self._read_bytes = 0

    def _end(self) -> None:
        self._started_at_s = 0.0
        self._window_started_at_s = 0.0
        self._read_bytes = 0
        self._may_have_been_full = False
