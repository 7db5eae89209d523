"""Which attempts were answered, as statistics over all endpoints."""

from __future__ import annotations

from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS

UNANSWERED_PRIOR_WEIGHT = 3.0  # answered attempts that a class's ratio starts from


class ResponseStatistics:
    """Ratio of time-outs by request class, and the start of the newest attempt that succeeded."""

    def __init__(self, class_count: int) -> None:
        # Time-outs among all attempts that were answered or timed out, by class.
        self.unanswered_ratio = [DecayingMean(LONG_TIME_CONSTANT_NS) for _ in range(class_count)]
        self.latest_answered_send = 0  # ns; start of the most recently started attempt that succeeded

    def record_class_result(self, now: int, class_index: int, unanswered: float) -> None:
        """Record whether an attempt of a request class was answered (0.0) or timed out (1.0)."""
        self.unanswered_ratio[class_index].add(now, unanswered)

    def record_answered_send(self, sent_at: int) -> None:
        """Record when an attempt was sent that succeeded."""
        self.latest_answered_send = max(self.latest_answered_send, sent_at)

    def expected_unanswered(self, now: int, class_index: int) -> float:
        """Return the ratio of a class's attempts that time out, 0 without samples."""
        return self.unanswered_ratio[class_index].mean_with_prior(now, 0.0, UNANSWERED_PRIOR_WEIGHT)
