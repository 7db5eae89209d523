"""What the owner of a bucket or the counter reports of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ....units import SECOND
from ...statistics.decaying_mean import DecayingMean
from ...statistics.time_constants import RARE_REPORT_TIME_CONSTANT_NS

NEVER = -(1 << 62)  # ns; before all other times
REPORT_FRESH_FOR_NS = 1 * SECOND  # age up to which a report of usage elsewhere counts in full
REPORT_EXPIRES_AFTER_NS = 3 * SECOND  # age from which a report does not count
CURRENT_REPORT_NS = REPORT_FRESH_FOR_NS // 4  # age up to which a decision relies on a report alone


@dataclass(slots=True)
class BucketReports:
    """The newest reports of a customer's bucket and of its requests in flight. Times are in ns."""

    grant_ratio: DecayingMean = field(default_factory=lambda: DecayingMean(RARE_REPORT_TIME_CONSTANT_NS))
    reported_at: int = -REPORT_EXPIRES_AFTER_NS  # when the bucket's tokens were last reported
    tokens: float = inf  # the tokens that were last reported
    in_flight_elsewhere_at: int = NEVER  # when the requests in flight elsewhere were last reported
    in_flight_elsewhere: int = 0  # requests in flight at other gateways

    def record(self, now: int, tokens: float, granted: bool) -> None:
        """Record the bucket's tokens, and whether the units were granted."""
        self.tokens = tokens
        self.reported_at = now
        self.grant_ratio.add(now, float(granted))

    def record_grant(self, now: int, grant: float) -> None:
        """Record how likely a grant is, 0 to 1, by a report of usage."""
        self.grant_ratio.add(now, grant)

    def record_in_flight(self, now: int, elsewhere: int) -> None:
        """Record the requests in flight at other gateways."""
        self.in_flight_elsewhere_at = now
        self.in_flight_elsewhere = elsewhere

    def restore(self, reported_at: int, grant_ratio: DecayingMean) -> None:
        """Continue with the reports of the process before."""
        self.reported_at = reported_at
        self.grant_ratio = grant_ratio


def fresh_share(now: int, slices: int, reported_at: list[int]) -> float:
    """Return the even slice of a quota, and the part of the others for which these reports are fresh."""
    span = REPORT_EXPIRES_AFTER_NS - REPORT_FRESH_FOR_NS
    freshness = [min(1.0, max(0.0, (REPORT_EXPIRES_AFTER_NS - now + at) / span)) for at in reported_at]
    return (1.0 + sum(freshness) / len(reported_at) * (slices - 1)) / slices
