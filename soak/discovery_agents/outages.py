"""When a discovery agent is down, and when it lags behind the source."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class TimeSpan(NamedTuple):
    """A span of the loop's time."""

    begin_at: float
    end_at: float


class Outages:
    """The outages and lags of one agent."""

    def __init__(self) -> None:
        self._time = asyncio.get_running_loop().time
        self._down_until = 0.0
        self._lags_until = 0.0
        self.outages: list[TimeSpan] = []
        self.lags: list[TimeSpan] = []

    def begin_outage(self, duration_s: float) -> None:
        """Begin an outage, or extend it."""
        self._down_until = max(self._down_until, self._time() + duration_s)
        self.outages.append(TimeSpan(self._time(), self._down_until))

    def begin_lag(self, duration_s: float) -> None:
        """Begin a lag; it ends after this duration even if an earlier one would last longer."""
        self._lags_until = self._time() + duration_s
        self.lags.append(TimeSpan(self._time(), self._lags_until))

    def time_left_s(self) -> float:
        """Return the time until the last outage and the last lag are over; 0 or less afterwards."""
        return max(self._down_until, self._lags_until) - self._time()

    def is_down(self) -> bool:
        """Return whether an outage lasts."""
        return self._time() < self._down_until

    def is_down_or_lagging(self) -> bool:
        """Return whether an outage or a lag lasts."""
        return self.is_down() or self._time() < self._lags_until
