"""The deadline by which more of a response that has begun must arrive."""

from __future__ import annotations

MAX_OVERTIME_S = 0.3  # of a large value beyond its client's deadline; 0.5 s late counts as lost


class ResponseDeadline:
    """The deadline of one response at a time, in s on the event loop's clock.

    Time in which the client takes no data is not counted.
    """

    __slots__ = ("is_paused", "last_data_at", "overtime_since")

    def __init__(self) -> None:
        self.is_paused = False  # the client takes no data, so that none is read
        self.last_data_at = 0.0
        self.overtime_since = 0.0  # when the client's deadline passed; 0 before, moved on by pauses

    def reset(self) -> None:
        """Begin to wait for the response to a new request."""
        self.overtime_since = 0.0

    def resume(self, now: float) -> None:
        """End a pause: the wait for more data starts again."""
        self.is_paused = False
        self.last_data_at = now

    def start_overtime(self, now: float) -> None:
        """Let the response end within `MAX_OVERTIME_S`, as its client's deadline has passed."""
        self.overtime_since = now

    def time_left_s(self, now: float, stall_timeout_s: float) -> float:
        """Return the time left for more data; not above 0 if the deadline has passed."""
        if self.is_paused:
            self.last_data_at = now
            self.overtime_since = now if self.overtime_since else 0.0
        if self.overtime_since:
            return self.overtime_since + MAX_OVERTIME_S - now
        return self.last_data_at + stall_timeout_s - now
