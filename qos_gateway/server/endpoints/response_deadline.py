"""The deadline for receiving more data of a partially received response."""

from __future__ import annotations

# Bounds the time for which a large value is still received after its client's deadline, because a value that
# is 0.5 s late counts as lost.
DEADLINE_GRACE_S = 0.3


class ResponseDeadline:
    """The deadline of the current response, in s on the event loop's clock.

    Time during which the client accepts no data is not counted.
    """

    __slots__ = ("grace_started_at", "is_paused", "last_data_at")

    def __init__(self) -> None:
        self.is_paused = False  # reading is paused because the client accepts no data
        self.last_data_at = 0.0
        # When the client's deadline passed; 0 before that. It advances with the clock during a pause.
        self.grace_started_at = 0.0

    def reset(self) -> None:
        """Reset for the response to a new request."""
        self.grace_started_at = 0.0

    def resume(self, now: float) -> None:
        """End a pause and restart the stall timeout."""
        self.is_paused = False
        self.last_data_at = now

    def start_grace(self, now: float) -> None:
        """Start the grace period, because the client's deadline has passed."""
        self.grace_started_at = now

    def time_left_s(self, now: float, stall_timeout_s: float) -> float:
        """Return the time left to receive more data; 0 or negative once the deadline has passed."""
        if self.is_paused:
            self.last_data_at = now
            self.grace_started_at = now if self.grace_started_at else 0.0
        if self.grace_started_at:
            return self.grace_started_at + DEADLINE_GRACE_S - now
        return self.last_data_at + stall_timeout_s - now
