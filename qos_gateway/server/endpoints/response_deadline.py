"""The deadline by which more of a response that has begun must arrive."""

from __future__ import annotations

DEADLINE_GRACE_S = 0.3  # of a large value beyond its client's deadline; 0.5 s late counts as lost


class ResponseDeadline:
    """The deadline of one response at a time, in s on the event loop's clock.

    Time in which the client takes no data is not counted.
    """

    __slots__ = ("grace_started_at", "is_paused", "last_data_at")

    def __init__(self) -> None:
        self.is_paused = False  # the client takes no data, so that none is read
        self.last_data_at = 0.0
        self.grace_started_at = 0.0  # when the client's deadline passed; 0 before, moved on by pauses

    def reset(self) -> None:
        """Begin to wait for the response to a new request."""
        self.grace_started_at = 0.0

    def resume(self, now: float) -> None:
        """End a pause: the wait for more data starts again."""
        self.is_paused = False
        self.last_data_at = now

    def start_grace(self, now: float) -> None:
        """Let the response end within `DEADLINE_GRACE_S`, as its client's deadline has passed."""
        self.grace_started_at = now

    def time_left_s(self, now: float, stall_timeout_s: float) -> float:
        """Return the time left for more data; not above 0 if the deadline has passed."""
        if self.is_paused:
            self.last_data_at = now
            self.grace_started_at = now if self.grace_started_at else 0.0
        if self.grace_started_at:
            return self.grace_started_at + DEADLINE_GRACE_S - now
        return self.last_data_at + stall_timeout_s - now
