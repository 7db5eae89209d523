"""The causes of retries, and the cause that corresponds to each outcome of an attempt."""

from __future__ import annotations

from enum import Enum

from ...types import Outcome


class RetryCause(Enum):
    """Why a further attempt is made; the values are parts of the metrics' names."""

    HEDGED = "hedged"  # an earlier attempt is still in flight
    ERROR = "error"
    OVERLOADED = "overloaded"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


RETRY_CAUSE_BY_OUTCOME = {
    Outcome.ERROR: RetryCause.ERROR,
    Outcome.OVERLOADED: RetryCause.OVERLOADED,
    Outcome.TIMEOUT: RetryCause.TIMEOUT,
    Outcome.CONNECT_FAILED: RetryCause.CONNECT_FAILED,
    Outcome.RESET: RetryCause.RESET,
    Outcome.CANCELLED: RetryCause.CANCELLED,
    Outcome.NOT_SENT: RetryCause.NOT_SENT,
}
