"""Whether a peer reads what is written to it, as far as its acknowledgements show."""

from __future__ import annotations

# A system acknowledges in steps of half of its receive buffer or more while its application reads slowly.
READING_TIMEOUT_S = 10.0
# A system whose application does not read fills its receive buffer, the last part some 0.2 s later than the
# others (RFC 9293, section 3.8.6.2.1). That looks like one step of a reader.
MIN_STEPS_OF_READER = 2


class Acknowledgements:
    """Records when a peer acknowledged bytes that had been waiting for it.

    Bytes that still wait at one sample and are acknowledged by the next, more than once, show that the peer's
    application reads: otherwise its system would have accepted them at once, or not at all.
    """

    __slots__ = ("_steps", "_unacknowledged_bytes", "last_progress_at_s")

    def __init__(self) -> None:
        self._steps = 0
        self._unacknowledged_bytes = 0
        self.last_progress_at_s: float | None = None  # None until there was any

    def record(self, now_s: float, unacknowledged_bytes: int) -> None:
        """Take a sample; the time is in seconds on the event loop's clock."""
        if unacknowledged_bytes < self._unacknowledged_bytes:
            self._steps += 1
            self.last_progress_at_s = now_s
        self._unacknowledged_bytes = unacknowledged_bytes

    def is_reading(self, now_s: float) -> bool:
        """Return whether the peer's application has read something not long ago."""
        last_s = self.last_progress_at_s
        has_read = last_s is not None and now_s - last_s < READING_TIMEOUT_S
        return has_read and self._steps >= MIN_STEPS_OF_READER
