"""How late the soak itself and paused gateways were: what the judge allows on top of each limit."""

from __future__ import annotations

from bisect import bisect_left

from soak.gateways import PAUSE_S
from soak.observations import Record, RequestSeen

LAG_MARGIN_S = 1.0  # around a span in which the soak's own lag counts


class Timing:
    """Slack of time spans, and requests by id."""

    def __init__(self, record: Record) -> None:
        self._lags = record.lags  # in the order of their times
        self._lag_times = [lag.at for lag in record.lags]
        self._pauses: dict[int, list[float]] = {}
        for process in record.processes:
            self._pauses.setdefault(process.gateway, []).extend(process.paused)
        self._requests: dict[str, RequestSeen] = {}
        for seen in record.requests:
            self._requests.setdefault(seen.request_id, seen)

    def request(self, request_id: str) -> RequestSeen:
        """Return a request as its client first saw it."""
        return self._requests[request_id]

    def slack_s(self, gateway: int, begin: float, end: float) -> float:
        """Return what is allowed on top of a limit for what happened between two times."""
        was_paused = any(begin - 2 * PAUSE_S <= at <= end for at in self._pauses.get(gateway, ()))
        return self.lag_s(begin, end) + PAUSE_S * was_paused

    def lag_s(self, begin: float, end: float) -> float:
        """Return how late the soak itself was between two times."""
        first = bisect_left(self._lag_times, begin - LAG_MARGIN_S)
        last = bisect_left(self._lag_times, end + LAG_MARGIN_S)
        return max((lag.seconds for lag in self._lags[first:last]), default=0.0)
