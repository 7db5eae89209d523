"""How long the account of a customer that sends nothing is kept: memory must not grow for ever."""

from __future__ import annotations

from ..state.customer import CustomerAccount
from ..units import SECOND
from .quota import Quota

ACCOUNT_RETENTION = 120 * SECOND  # its token bucket is long since full
RARE_ACCOUNT_RETENTION = 20 * SECOND  # of a customer that hardly came: most such never come again
RARE_CUSTOMER_QUARTER_UNITS = 8  # quarter units spent here up to which a customer hardly came


def prune_accounts(now: int, quota: Quota) -> None:
    """Drop the accounts of customers that send nothing, and empty queues of calls to the counter."""
    quota.pending_calls = {key: calls for key, calls in quota.pending_calls.items() if calls}
    quota.accounts = {
        customer: account
        for customer, account in quota.accounts.items()
        if account.in_flight or now - account.last_request_at <= _retention(account)
    }


def _retention(account: CustomerAccount) -> int:
    """Return for how long (ns) an account is kept: its buckets must be full again before it is dropped."""
    if account.spent_quarter_units > RARE_CUSTOMER_QUARTER_UNITS or account.peer_totals:
        return ACCOUNT_RETENTION
    plan = account.plan
    bucket_full = 2 * plan.burst / max(plan.rate, 1e-9)
    ceiling_full = plan.ceiling_burst / max(plan.ceiling_rate, 1e-9)
    return min(ACCOUNT_RETENTION, max(RARE_ACCOUNT_RETENTION, int(SECOND * max(bucket_full, ceiling_full))))
