"""The age of bytes that waited unread, in the socket or with the client, before they were read."""

from __future__ import annotations

FULL_BUFFER_THRESHOLD_BYTES = 4 << 10  # unread at the end of a pause; below it the socket buffer was not full
SEND_BUFFER_FLUSH_S = 0.25  # until a client's system has sent what it held back while the socket was full
MAX_SOCKET_BUFFER_BYTES = 12 << 20  # in the largest receive and send buffers that Linux uses by default


class InputBacklog:
    """Tells since when the bytes of a read may have been waiting.

    A backlog begins with a pause of reading, or with a read that leaves bytes behind. An empty socket proves
    little after a pause: bytes beyond its buffer are sent by the client's system some time later. All these
    bytes count from the beginning of the backlog, so that no deadline exceeds the client's remaining time.
    """

    __slots__ = (
        "_emptied_at_s",
        "_may_have_been_full",
        "_read_bytes",
        "_started_at_s",
        "_window_started_at_s",
    )

    def __init__(self) -> None:
        self._started_at_s = 0.0  # 0 without a backlog
        self._emptied_at_s = 0.0  # when the socket was found empty after a pause; 0 before that
        self._may_have_been_full = False  # the socket may have been full
        self._read_bytes = 0  # since the backlog began, or since `_window_started_at_s`
        self._window_started_at_s = 0.0  # when half of what can wait was read; 0 before that

    def exists(self) -> bool:
        """Return whether a read may return bytes that have waited."""
        return self._started_at_s > 0.0

    def pause(self, now_s: float) -> None:
        """Note that reading is paused."""
        self._started_at_s = self._started_at_s or now_s
        self._emptied_at_s = 0.0

    def resume(self, now_s: float, unread_bytes: int) -> None:
        """Note that reading resumes, with this number of bytes in the socket."""
        if unread_bytes >= FULL_BUFFER_THRESHOLD_BYTES:
            self._may_have_been_full = True
        elif unread_bytes == 0:
            self._emptied_at_s = now_s
            if not self._may_have_been_full:
                self._end()

    def note_partial_read(self, received_at_s: float) -> None:
        """Note that a read of bytes received then left others in the socket."""
        self._started_at_s = self._started_at_s or received_at_s

    def received_at_s(self, now_s: float, read_bytes: int, socket_is_empty: bool) -> float:
        """Return the earliest time at which the bytes read now may have been sent."""
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
        """Let the backlog begin later once more was read than can have waited since its beginning."""
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
