"""Rate limiting of log lines that clients, endpoints or operators can trigger."""

from __future__ import annotations

import logging
import time

MAX_LINES_PER_WINDOW = 10  # for each logger
WINDOW_S = 10.0


class RateLimitFilter(logging.Filter):
    """Passes only the first lines of each window.

    Faulty clients, endpoints or peers could otherwise exhaust the CPU with logging.
    The first line of the next window includes the number of suppressed lines.
    """

    def __init__(self) -> None:
        super().__init__()
        self._window_started_at_s = float("-inf")
        self._line_count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written; append the number of suppressed lines if there are any."""
        now_s = time.monotonic()
        if now_s - self._window_started_at_s >= WINDOW_S:
            suppressed = max(0, self._line_count - MAX_LINES_PER_WINDOW)
            self._window_started_at_s = now_s
            self._line_count = 0
            if suppressed:
                record.msg = f"{record.msg} suppressed_lines={suppressed}"
        self._line_count += 1
        return self._line_count <= MAX_LINES_PER_WINDOW
