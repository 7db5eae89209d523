"""The verdict on a run: all violations, and how its requests ended."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from soak.checks.attempts import check_attempts
from soak.checks.endpoints import check_drains, check_maintenance
from soak.checks.history import History
from soak.checks.processes import check_memory, check_processes
from soak.checks.quota import check_ceilings
from soak.checks.recovery import check_recovery, final_share
from soak.checks.rejections import check_rejections
from soak.checks.responses import check_bad_clients, check_responses
from soak.checks.retries import check_retries
from soak.checks.slow_start import check_slow_starts
from soak.checks.violations import Violation
from soak.observations import Record, RequestSeen
from soak.settings import Deployment

CHECKS = (
    check_responses,
    check_attempts,
    check_retries,
    check_rejections,
    check_drains,
    check_maintenance,
    check_slow_starts,
    check_ceilings,
    check_processes,
    check_memory,
    check_bad_clients,
    check_recovery,
)


class ServiceLevel(Enum):
    """How a request ended for its client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    LEFT = "left"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """The result of all checks on a run."""

    violations: list[Violation]  # in the order of their times
    levels: Counter[ServiceLevel]
    attempts: int
    bounds: int  # of time, that the checks applied
    widened_s: list[float]  # by how much bounds were widened for lags of the soak and pauses, where they were
    final_share: float | None  # of requests served after recovery; None if they are too few


def reach_verdict(deployment: Deployment, record: Record) -> Verdict:
    """Run all checks on the observations of a run."""
    history = History(deployment, record)
    violations = [violation for check in CHECKS for violation in check(history)]
    return Verdict(
        violations=sorted(violations, key=lambda violation: violation.at),
        levels=Counter(_level(seen) for seen in record.requests),
        attempts=len(record.attempts),
        bounds=history.timing.bounds,
        widened_s=history.timing.widened_s,
        final_share=final_share(record),
    )


def _level(seen: RequestSeen) -> ServiceLevel:
    if seen.client_closed_at is not None:
        return ServiceLevel.LEFT
    if seen.response is None:
        return ServiceLevel.UNANSWERED
    return ServiceLevel[seen.response.answer.name]
