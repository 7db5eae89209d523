"""Checks of retries: no request takes effect twice, and attempts are limited in number and one at a time."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import AttemptSeen
from soak.settings import Deployment, Effect, RequestKind

KEY_WINDOW_SLACK_S = 0.05 + 0.15
CONCURRENCY_SLACK_S = 0.02  # between the end of an attempt and the next one, as order servers observe them


def check_retries(history: History) -> list[Violation]:
    """Find requests with too many or concurrent attempts, and attempts that may repeat an effect."""
    found = []
    for request_id, attempts in history.attempts_by_request.items():
        kind = history.deployment.kinds[history.first_seen(request_id).kind]
        executed = [a for a in attempts if a.may_have_executed]
        found += _check_count(history, request_id, attempts)
        if not history.deployment.allows_hedging:
            found += _check_concurrency(history, request_id, attempts)
        if kind.effect is Effect.NOT_IDEMPOTENT:
            found += _check_executed_once(request_id, executed)
        if kind.effect is Effect.KEYED:
            found += _check_key(history, kind, executed)
    return found


def _check_count(history: History, request_id: str, attempts: list[AttemptSeen]) -> list[Violation]:
    found = []
    for gateway, number in Counter(a.gateway for a in attempts).items():
        if number > history.deployment.max_attempts:
            text = f"{number} attempts request={request_id} gateway={gateway}"
            found.append(Violation(Rule.TOO_MANY_ATTEMPTS, attempts[-1].last_byte_at, text))
    return found


def _check_concurrency(history: History, request_id: str, attempts: list[AttemptSeen]) -> list[Violation]:
    found = []
    for before, after in pairwise(attempts):
        # A pause of the gateway adds no slack: an attempt has to end before the next is written.
        slack_s = history.timing.lag_s(after.last_byte_at, after.last_byte_at)
        due_at = after.last_byte_at + CONCURRENCY_SLACK_S + slack_s
        overlaps = before.ended_at is None or before.ended_at > due_at
        if overlaps and before.gateway == after.gateway:
            text = f"two attempts at once request={request_id} first={before} next={after}"
            found.append(Violation(Rule.CONCURRENT_ATTEMPTS, after.last_byte_at, text))
    return found


def _check_executed_once(request_id: str, executed: list[AttemptSeen]) -> list[Violation]:
    if len(executed) <= 1:
        return []
    servers = [a.server for a in executed]
    text = f"ran {len(executed)} times request={request_id} servers={servers}"
    return [Violation(Rule.DUPLICATE, executed[1].last_byte_at, text)]


def _check_key(history: History, kind: RequestKind, executed: list[AttemptSeen]) -> list[Violation]:
    """Check that each retry reached the key's scope within the key's window."""
    found = []
    for attempt in executed[1:]:
        first = executed[0]
        slack_s = history.timing.slack_s(attempt.gateway, attempt.last_byte_at, attempt.last_byte_at)
        if attempt.last_byte_at - first.first_byte_at > kind.window_s + KEY_WINDOW_SLACK_S + slack_s:
            text = f"key out of its window request={attempt.request_id}"
            found.append(Violation(Rule.DUPLICATE, attempt.last_byte_at, text))
        deployment = history.deployment
        if _group(deployment, kind.scope, first.server) != _group(deployment, kind.scope, attempt.server):
            text = f"key unknown there request={attempt.request_id} scope={kind.scope}"
            found.append(Violation(Rule.DUPLICATE, attempt.last_byte_at, text))
    return found


def _group(deployment: Deployment, scope: str, server: int) -> int:
    """Return the number of the group of order servers that share idempotency keys with a server."""
    if scope == "zone":
        return server % len(deployment.zones)
    return server // 4 if scope == "cell" else 0
