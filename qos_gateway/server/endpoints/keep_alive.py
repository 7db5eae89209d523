"""Estimates how long idle connections may be kept, from resets of reused connections."""

from __future__ import annotations

from bisect import bisect

IDLE_TIME_BOUNDS_S = tuple(0.05 * 2**exponent for exponent in range(9))  # upper bounds of the buckets
MIN_STALE_RESETS = 3.0  # a bucket with fewer resets never counts as stale: they may be coincidence
STALE_RESET_RATIO = 0.15  # resets per reuse at which a bucket counts as stale
DECAY_PER_S = 0.97  # factor on each count, so that a stale bucket is tried again after minutes


class KeepAliveEstimator:
    """Estimates the idle time after which a connection is unlikely to serve a request.

    A middlebox or the endpoint may silently drop an idle connection before the configured time. The next
    request on it is answered by a reset and counts as possibly executed.
    """

    def __init__(self, max_idle_s: float) -> None:
        """Start with the limit at its maximum, `max_idle_s`."""
        self.max_idle_s = max_idle_s
        self.idle_limit_s = max_idle_s
        bucket_count = len(IDLE_TIME_BOUNDS_S) + 1
        self._reuses = [0.0] * bucket_count
        self._resets = [0.0] * bucket_count

    def record_reuse(self, idle_s: float) -> None:
        """Count a request sent on a connection that had been idle for `idle_s`."""
        self._reuses[bisect(IDLE_TIME_BOUNDS_S, idle_s)] += 1.0

    def record_reset(self, idle_s: float) -> None:
        """Count a reset in reply to a request on a connection that had been idle for `idle_s`."""
        self._resets[bisect(IDLE_TIME_BOUNDS_S, idle_s)] += 1.0
        self._update_limit()

    def decay(self) -> None:
        """Decay the counts; to be called once a second."""
        for counts in (self._reuses, self._resets):
            counts[:] = [DECAY_PER_S * count for count in counts]
        self._update_limit()

    def _update_limit(self) -> None:
        self.idle_limit_s = self.max_idle_s
        # The first bucket is ignored: an endpoint that resets fresh connections resets them at any idle time.
        for bucket in range(1, len(self._reuses)):
            if self._is_stale(bucket):
                self.idle_limit_s = min(self.max_idle_s, IDLE_TIME_BOUNDS_S[bucket - 1])
                return

    def _is_stale(self, bucket: int) -> bool:
        resets = self._resets[bucket]
        return resets >= MIN_STALE_RESETS and resets >= STALE_RESET_RATIO * self._reuses[bucket]
