"""Reasons for the end of a watch on discovery."""

from __future__ import annotations

from enum import Enum


class WatchEndReason(Enum):
    """The reason in the log event discovery_watch_ended; each value is its format string."""

    RESPONSE_ENDED = "response_ended"
    CONNECTION_CLOSED = "connection_closed"
    CONNECTION_LOST = "connection_lost error={detail}"
    IDLE_TIMEOUT = "idle_timeout"
    INVALID_RESPONSE = "invalid_response error={detail}"
    OBJECT_TOO_LONG = "object_too_long"
    REJECTED = "status_{detail}"

    def log_text(self, detail: object = None) -> str:
        """Return the reason with its detail: an error, or the HTTP status of a rejection."""
        return self.value.format(detail=detail)
