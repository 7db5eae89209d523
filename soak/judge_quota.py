"""The rule on ceilings: no customer gets more through than its second store holds."""

from __future__ import annotations

from collections import defaultdict

from soak.observations import AttemptSeen, Record
from soak.settings import Deployment, PlanTerms
from soak.violations import Rule, Violation

CEILING_SLACK_S = 0.15  # of the ceiling's rate


def check_ceilings(
    deployment: Deployment, record: Record, attempts: dict[str, list[AttemptSeen]]
) -> list[Violation]:
    """Find customers whose first attempts passed the ceiling of their plan."""
    times: dict[tuple[int, int], list[float]] = defaultdict(list)
    for seen in record.requests:
        first = attempts.get(seen.request_id)
        if first and deployment.plans[seen.plan].ceiling_rate and not seen.sent_again:
            times[seen.plan, seen.customer].append(first[0].last_byte_at)
    found = []
    for (plan, customer), sent in times.items():
        found += _check_customer(deployment.plans[plan], customer, sorted(sent))
    return found


def _check_customer(plan: PlanTerms, customer: int, sent: list[float]) -> list[Violation]:
    units = plan.ceiling_burst
    last_at = sent[0]
    for at in sent:
        units = min(plan.ceiling_burst, units + (at - last_at) * plan.ceiling_rate) - 1.0
        last_at = at
        if units < -plan.ceiling_slack - CEILING_SLACK_S * plan.ceiling_rate:
            return [Violation(Rule.CEILING, at, f"customer={customer} store at {units:.1f}")]
    return []
