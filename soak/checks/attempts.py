"""Checks of single attempts: sent for a client that waits, unchanged, with no more time than it has."""

from __future__ import annotations

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import AttemptSeen, RequestSeen

DEADLINE_SLACK_S = 0.15  # by which an attempt's deadline may exceed the client's remaining time
CLIENT_LEFT_SLACK_S = 0.1 + 0.05  # after the client closed its connection


def check_attempts(history: History) -> list[Violation]:
    """Find attempts for clients that had closed, with a changed command, or with too long a deadline."""
    found = []
    for seen in history.record.requests:
        for attempt in history.attempts_of(seen.request_id):
            sent_again_at = _sent_again_at(seen)
            is_later = sent_again_at is not None and attempt.first_byte_at >= sent_again_at
            if attempt.gateway == seen.gateway and attempt.last_byte_at >= seen.sent_at and not is_later:
                found += _check_attempt(history, seen, attempt)
    return found


def _sent_again_at(seen: RequestSeen) -> float | None:
    """Return when the client sent the request once more, with a body of its own; None if it did not."""
    if seen.is_retried and seen.connection_end is not None:
        return seen.connection_end.at
    return seen.sent_again_at


def _check_attempt(history: History, seen: RequestSeen, attempt: AttemptSeen) -> list[Violation]:
    found = []
    slack_s = history.timing.slack_s(seen.gateway, seen.sent_at, attempt.last_byte_at)
    closed_at = seen.client_closed_at
    if closed_at is not None and attempt.first_byte_at > closed_at + CLIENT_LEFT_SLACK_S + slack_s:
        late_s = attempt.first_byte_at - closed_at
        text = f"attempt {late_s:.3f} after the client left request={seen.request_id}"
        found.append(Violation(Rule.CLIENT_LEFT, attempt.first_byte_at, text))
    if attempt.content != seen.content:
        text = f"command was changed request={seen.request_id} gateway={seen.gateway}"
        found.append(Violation(Rule.ALTERED, attempt.last_byte_at, text))
    remaining_s = seen.sent_at + seen.wait_s - attempt.last_byte_at
    excess_s = attempt.wait_ms / 1000 - remaining_s
    if excess_s > DEADLINE_SLACK_S + slack_s:
        text = f"tells {excess_s:.3f} more than is left request={seen.request_id} gateway={seen.gateway}"
        found.append(Violation(Rule.DEADLINE, attempt.last_byte_at, text))
    return found
