"""Log lines of requests: the reason of each rejection and each retry.

They are at debug level, as there is one for each event. The metrics count the same reasons.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from ...types import RejectReason
from ..endpoints.attempt import Attempt
from ..observability.retry_causes import RETRY_CAUSE_BY_OUTCOME, RetryCause

log = logging.getLogger(__name__)


def retry_cause(attempts: Sequence[Attempt]) -> RetryCause:
    """Return the cause of the next attempt of a request, given its attempts so far."""
    if not attempts:
        return RetryCause.NOT_SENT
    last = attempts[-1]
    if last.outcome is None:
        return RetryCause.HEDGED
    return RETRY_CAUSE_BY_OUTCOME.get(last.outcome, RetryCause.ERROR)


def log_retry(request_id: bytes, cause: RetryCause, attempt: int, endpoint: int) -> None:
    """Log a retry with its cause."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            "request_retried request=%s cause=%s attempt=%d endpoint=%d",
            request_id.decode(),
            cause.value,
            attempt,
            endpoint,
        )


def log_rejection(request_id: bytes, reason: RejectReason, attempts: int) -> None:
    """Log a rejection with its reason."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            "request_rejected request=%s reason=%s attempts=%d", request_id.decode(), reason.value, attempts
        )
