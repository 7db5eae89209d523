"""An exact token bucket."""

from __future__ import annotations

from qos_gateway.units import SECOND


class TokenBucket:
    """Refills at `rate` tokens per second up to `burst`, with which it starts at time 0."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0

    def take(self, now: int) -> bool:
        """Remove one token at `now` (ns) and return True, or return False if there is not one whole token."""
        refill = self._rate * (now - self._refilled_at) / SECOND
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
