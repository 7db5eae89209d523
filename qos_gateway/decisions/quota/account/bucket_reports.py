"""Reports of a customer's bucket from its owner, the counter or the endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ....units import SECOND
from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import RARE_REPORT_TIME_CONSTANT_NS

NEVER = -(1 << 62)  # ns; earlier than any other time
REPORT_FRESH_FOR_NS = 1 * SECOND  # age up to which a report has its full weight
REPORT_EXPIRES_AFTER_NS = 3 * SECOND  # age from which a report is ignored
REPORT_CURRENT_FOR_NS = REPORT_FRESH_FOR_NS // 4  # age up to which a report alone decides a request


@dataclass(slots=True)
class BucketReports:
    """The latest reports of a customer's bucket and of its requests in flight. Times are in ns."""

    grant_ratio: DecayingMean = field(default_factory=lambda: DecayingMean(RARE_REPORT_TIME_CONSTANT_NS))
    reported_at: int = -REPORT_EXPIRES_AFTER_NS  # time of the last report of the bucket's tokens
    tokens: float = inf  # tokens in the last report
    in_flight_elsewhere_at: int = NEVER  # time of the last report of `in_flight_elsewhere`
    in_flight_elsewhere: int = 0  # requests in flight at other gateways

    def record(self, now: int, tokens: float, granted: bool) -> None:
        """Record the reported tokens, and whether the requested units were granted."""
        self.tokens = tokens
        self.reported_at = now
        self.grant_ratio.add(now, float(granted))

    def record_grant(self, now: int, probability: float) -> None:
        """Record the probability (0 to 1) of a grant that a usage report implies."""
        self.grant_ratio.add(now, probability)

    def record_in_flight(self, now: int, elsewhere: int) -> None:
        """Record the number of requests in flight at other gateways."""
        self.in_flight_elsewhere_at = now
        self.in_flight_elsewhere = elsewhere

    def restore(self, reported_at: int, grant_ratio: DecayingMean) -> None:
        """Restore the reports that the previous process handed over."""
        self.reported_at = reported_at
        self.grant_ratio = grant_ratio


def share_by_report_age(now: int, slices: int, reported_at: list[int]) -> float:
    """Return a gateway's fraction of a quota: its even slice, plus the others as far as reports are fresh.

    A report's weight falls linearly from 1 at `REPORT_FRESH_FOR_NS` to 0 at `REPORT_EXPIRES_AFTER_NS`.
    """
    span = REPORT_EXPIRES_AFTER_NS - REPORT_FRESH_FOR_NS
    freshness = [min(1.0, max(0.0, (REPORT_EXPIRES_AFTER_NS - now + at) / span)) for at in reported_at]
    return (1.0 + sum(freshness) / len(reported_at) * (slices - 1)) / slices
