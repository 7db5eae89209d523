"""Slack for delays of the soak itself and for paused gateways, added to the bounds of the checks."""

from __future__ import annotations

from bisect import bisect_left

from soak.gateways import PAUSE_S
from soak.observations import Record

LAG_MARGIN_S = 1.0  # around a span in which the soak's own lag counts


class Timing:
    """Slack of time spans."""

    def __init__(self, record: Record) -> None:
        self._lags = record.lags  # in the order of their times
        self._lag_times = [lag.at for lag in record.lags]
        self.bounds = 0  # number of bounds that the checks applied
        self.widened_s: list[float] = []  # by how much bounds were widened, where they were
        self._pauses: dict[int, list[float]] = {}
        for process in record.processes:
            self._pauses.setdefault(process.gateway, []).extend(process.paused)

    def slack_s(self, gateway: int, begin: float, end: float) -> float:
        """Return the slack, in s, of a bound on what a gateway did between two times."""
        was_paused = any(begin - 2 * PAUSE_S <= at <= end for at in self._pauses.get(gateway, ()))
        slack_s = self.lag_s(begin, end) + PAUSE_S * was_paused
        self.bounds += 1
        if slack_s > 0.0:
            self.widened_s.append(slack_s)
        return slack_s

    def lag_s(self, begin: float, end: float) -> float:
        """Return the largest delay, in s, of the soak's own event loop between two times."""
        first = bisect_left(self._lag_times, begin - LAG_MARGIN_S)
        last = bisect_left(self._lag_times, end + LAG_MARGIN_S)
        return max((lag.seconds for lag in self._lags[first:last]), default=0.0)
