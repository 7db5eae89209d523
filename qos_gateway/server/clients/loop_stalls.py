"""Detects stalls of the event loop, as when the process was suspended or the machine overloaded."""

from __future__ import annotations

import asyncio
import logging
import time

from ..observability.logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

CHECK_INTERVAL_S = 0.1
MIN_STALL_S = 0.05  # delay of a check that counts as a stall
# Bytes from the time of a stall may still be read for this long after the delayed check.
STALL_RECOVERY_S = 0.05
MIN_LOGGED_STALL_S = 0.25


class LoopStallDetector:
    """Detects stalls by a periodic timer that fires late, or is overdue when a caller asks."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._checked_at_s = 0.0
        self._stalled_from_s = 0.0  # time of the last check before the latest stall
        self._stall_detected_at_s = 0.0  # time of the first check after the latest stall

    def start(self) -> None:
        """Start checking."""
        self._checked_at_s = time.monotonic()
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return the time since which the loop may not have read sockets; None without a recent stall."""
        if self._timer is None:
            return None
        if now_s - self._checked_at_s >= CHECK_INTERVAL_S + MIN_STALL_S:
            return self._checked_at_s
        if now_s - self._stall_detected_at_s < STALL_RECOVERY_S:
            return self._stalled_from_s
        return None

    def _check(self) -> None:
        now_s = time.monotonic()
        if now_s - self._checked_at_s >= CHECK_INTERVAL_S + MIN_STALL_S:
            self._stalled_from_s = self._checked_at_s
            self._stall_detected_at_s = now_s
            _log_stall(now_s - self._checked_at_s - CHECK_INTERVAL_S)
        self._checked_at_s = now_s
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)


def _log_stall(stall_s: float) -> None:
    if stall_s >= MIN_LOGGED_STALL_S:
        log.warning("event_loop_stalled stall_s=%.2f", stall_s)
