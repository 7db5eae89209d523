"""Check of quotas: no customer exceeds the hard ceiling of its plan."""

from __future__ import annotations

from collections import defaultdict

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.settings import PlanTerms

CEILING_SLACK_S = 0.15  # of the ceiling's rate


def check_ceilings(history: History) -> list[Violation]:
    """Find customers whose first attempts exceed the token bucket of their plan's ceiling."""
    plans = history.deployment.plans
    times: dict[tuple[int, int], list[float]] = defaultdict(list)
    for seen in history.record.requests:
        attempts = history.attempts_of(seen.request_id)
        if attempts and plans[seen.plan].ceiling_rate and not seen.is_retried:
            times[seen.plan, seen.customer].append(attempts[0].last_byte_at)
    found = []
    for (plan, customer), sent in times.items():
        found += _check_customer(plans[plan], customer, sorted(sent))
    return found


def _check_customer(plan: PlanTerms, customer: int, sent: list[float]) -> list[Violation]:
    tokens = plan.ceiling_burst
    last_at = sent[0]
    for at in sent:
        tokens = min(plan.ceiling_burst, tokens + (at - last_at) * plan.ceiling_rate) - 1.0
        last_at = at
        if tokens < -plan.ceiling_slack - CEILING_SLACK_S * plan.ceiling_rate:
            return [Violation(Rule.CEILING, at, f"customer={customer} store at {tokens:.1f}")]
    return []
