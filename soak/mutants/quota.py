"""A gateway that breaks the rule on quotas."""

from __future__ import annotations

from qos_gateway.decisions.quota.quota import Quota
from qos_gateway.decisions.quota.quota_decision import QuotaDecision
from soak.mutants.patching import patch


def ignore_ceilings() -> None:
    """Admit every request of every customer."""
    patch(Quota, "decide", lambda *_: QuotaDecision.immediate(True))
