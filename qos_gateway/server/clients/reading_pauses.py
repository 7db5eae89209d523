"""The age of bytes that waited unread, in the socket or with the client, while reading was paused."""

from __future__ import annotations

MIN_HELD_BACK_BYTES = 4 << 10  # unread at the end of a pause; a socket with fewer has room for more
HELD_BACK_GRACE_S = 0.25  # until a client's system has sent what it held back while the socket was full


class ReadingPauses:
    """Tells since when the bytes of a read may have been waiting.

    Reading an empty socket proves little: what the socket had no room for is sent by the client's system some
    time after there is room. Such bytes count from the beginning of the pause, so that they never get more
    time than their client has left.
    """

    __slots__ = ("_emptied_at_s", "_may_be_held_back", "_paused_at_s")

    def __init__(self) -> None:
        self._paused_at_s = 0.0  # of the first pause of which bytes may be unread; 0 where none may be
        self._emptied_at_s = 0.0  # when the socket was found empty after the pause; 0 before that
        self._may_be_held_back = False  # the socket may have been full

    def begin(self, now_s: float) -> None:
        """Note that reading is paused."""
        self._paused_at_s = self._paused_at_s or now_s
        self._emptied_at_s = 0.0

    def end(self, now_s: float, unread_bytes: int) -> None:
        """Note that reading goes on, with so many bytes in the socket."""
        if unread_bytes >= MIN_HELD_BACK_BYTES:
            self._may_be_held_back = True
        elif unread_bytes == 0:
            self._emptied_at_s = now_s
            if not self._may_be_held_back:
                self._paused_at_s = 0.0

    def has_unread_input(self) -> bool:
        """Return whether a read may return bytes that waited during a pause."""
        return self._paused_at_s > 0.0

    def received_at_s(self, now_s: float, socket_is_empty: bool) -> float:
        """Return the earliest time at which the bytes read now may have been sent."""
        paused_at_s = self._paused_at_s
        if not socket_is_empty:
            self._emptied_at_s = 0.0
            return paused_at_s
        if not self._may_be_held_back:
            self._paused_at_s = 0.0
            return paused_at_s
        if not self._emptied_at_s:
            self._emptied_at_s = now_s
        elif now_s - self._emptied_at_s >= HELD_BACK_GRACE_S:
            self._paused_at_s = 0.0
            self._may_be_held_back = False
            return now_s
        return paused_at_s
