"""Decides when a connection may be closed whose sending side has been shut down.

A close while bytes of the peer are unread, or a byte that the peer sends after it, resets the connection. The
system then drops what the peer has not acknowledged, and some peers drop what they have not read. So the
socket stays open, half-closed, until the peer has closed its own side or has had time to read everything.
RFC 1122, section 4.2.2.13, describes the reset; the remedy is known as a lingering close.
"""

from __future__ import annotations

from enum import Enum, auto

from .acknowledgements import READING_TIMEOUT_S, Acknowledgements
from .socket_queues import SocketQueues

# A peer that has acknowledged everything has this time to read it and to close its side.
DELIVERED_LINGER_S = 1.0
# A peer counts as stalled if it acknowledges nothing for this time while the process holds bytes for it.
BUFFERED_STALL_TIMEOUT_S = 2.0
# The same of a peer that has been reading, as slow readers pause for longer.
BUFFERED_READER_STALL_TIMEOUT_S = 5.0
MAX_LINGER_S = 30.0  # bounds the time of a peer that acknowledges a little now and then


class CloseDecision(Enum):
    """What to do with a half-closed connection."""

    WAIT = auto()
    CLOSE = auto()  # the peer has everything, as far as its system can tell
    ABANDON = auto()  # the peer does not take what was written for it


class LingeringClose:
    """Tracks one half-closed connection until it may be closed."""

    __slots__ = ("_acknowledgements", "_active_at_s", "_started_at_s", "_unread_bytes")

    def __init__(
        self,
        now_s: float,
        last_written_at_s: float,
        queues: SocketQueues,
        acknowledgements: Acknowledgements,
    ) -> None:
        """Start at the shutdown of the sending side; times are in seconds on the event loop's clock.

        `acknowledgements` are those of the connection so far; further ones are recorded there.
        """
        self._started_at_s = now_s
        self._active_at_s = now_s if queues.unacknowledged_bytes else last_written_at_s
        self._unread_bytes = queues.unread_bytes
        self._acknowledgements = acknowledgements

    def decide(
        self, now_s: float, queues: SocketQueues, has_hung_up: bool, is_buffered: bool, deadline_s: float
    ) -> CloseDecision:
        """Return what to do with the connection now.

        `queues` are without the end of the stream. `is_buffered`: whether the process still holds written
        bytes. After `deadline_s` only a peer that reads may keep the connection.
        """
        self._acknowledgements.record(now_s, queues.unacknowledged_bytes)
        if queues.unread_bytes > self._unread_bytes:
            self._active_at_s = now_s  # a peer that sends has not read the end of the stream yet
        self._unread_bytes = queues.unread_bytes
        self._active_at_s = max(self._active_at_s, self._last_progress_at_s())
        if has_hung_up and not queues.unacknowledged_bytes:
            return CloseDecision.CLOSE
        is_due = now_s >= deadline_s and not self._acknowledgements.is_reading(now_s)
        if is_due or self._is_stalled(now_s, is_buffered) or now_s - self._started_at_s >= MAX_LINGER_S:
            return CloseDecision.ABANDON if queues.unacknowledged_bytes else CloseDecision.CLOSE
        if queues.is_empty and now_s - self._active_at_s >= DELIVERED_LINGER_S:
            return CloseDecision.CLOSE
        return CloseDecision.WAIT

    def _last_progress_at_s(self) -> float:
        """Return when the peer last acknowledged something that had waited for it; 0 if it never did."""
        return self._acknowledgements.last_progress_at_s or 0.0

    def _is_stalled(self, now_s: float, is_buffered: bool) -> bool:
        """Return whether the peer has taken nothing for too long; its input frees no memory."""
        if is_buffered:
            is_reading = self._acknowledgements.is_reading(now_s)
            timeout_s = BUFFERED_READER_STALL_TIMEOUT_S if is_reading else BUFFERED_STALL_TIMEOUT_S
            return now_s - max(self._last_progress_at_s(), self._started_at_s) >= timeout_s
        return now_s - max(self._active_at_s, self._started_at_s) >= READING_TIMEOUT_S
