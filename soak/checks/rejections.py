"""Check of rejections: a rejected request was never executed, or may be executed again."""

from __future__ import annotations

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import Answer
from soak.settings import Effect, RequestKind


def check_rejections(history: History) -> list[Violation]:
    """Find rejected requests that may have been executed and must not be executed twice."""
    found = []
    for seen in history.record.requests:
        response = seen.response
        if response is None or response.answer is not Answer.REJECTED:
            continue
        if _is_retry_harmless(history.deployment.kinds[seen.kind]):
            continue
        if any(a.may_have_executed for a in history.attempts_of(seen.request_id)):
            text = f"rejected though it may have run request={seen.request_id}"
            found.append(Violation(Rule.FALSE_REFUSAL, response.at, text))
    return found


def _is_retry_harmless(kind: RequestKind) -> bool:
    return kind.effect is Effect.IDEMPOTENT or (kind.effect is Effect.KEYED and kind.scope == "all")
