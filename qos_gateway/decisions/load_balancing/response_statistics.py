"""Statistics on answered and timed-out attempts over all endpoints."""

from __future__ import annotations

from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS

UNANSWERED_PRIOR_WEIGHT = 3.0  # assumed prior answered attempts of each class


class ResponseStatistics:
    """Tracks the time-out ratio of each request class and the latest send time of a successful attempt."""

    def __init__(self, class_count: int) -> None:
        # By class: time-outs / (answered attempts + time-outs).
        self.unanswered_ratio = [DecayingMean(LONG_TIME_CONSTANT_NS) for _ in range(class_count)]
        self.latest_successful_send = 0  # ns; latest send time of any successful attempt

    def record_class_result(self, now: int, class_index: int, unanswered: float) -> None:
        """Record whether an attempt of a request class was answered (0.0) or timed out (1.0)."""
        self.unanswered_ratio[class_index].add(now, unanswered)

    def record_successful_send(self, sent_at: int) -> None:
        """Record the send time of a successful attempt."""
        self.latest_successful_send = max(self.latest_successful_send, sent_at)

    def expected_unanswered(self, now: int, class_index: int) -> float:
        """Return the expected time-out ratio of a class's attempts, 0 without samples."""
        return self.unanswered_ratio[class_index].mean_with_prior(now, 0.0, UNANSWERED_PRIOR_WEIGHT)
