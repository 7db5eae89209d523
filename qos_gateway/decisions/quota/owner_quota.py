"""Quotas with a bucket owner: one gateway holds a customer's bucket, the others reserve units from it."""

from __future__ import annotations

from .account.customer_account import CustomerAccount
from .account.token_bucket import TokenBucket
from .quota import Quota
from .quota_decision import Charge, QuotaDecision

OWNER_CEILING_FRACTION = 0.75  # held by the owner; the rest is sliced, to be used if the owner does not reply


class OwnerQuota(Quota):
    """Decides from the bucket if this gateway owns it, else reserves units from the owner."""

    sliced_ceiling_fraction = 1.0 - OWNER_CEILING_FRACTION

    def _is_owner(self, account: CustomerAccount) -> bool:
        return self.reservations.owner(account) == self.settings.position

    def _restart_tokens(self, account: CustomerAccount) -> float:
        # The bucket may have been anything from empty to full; half minimizes the largest error.
        return account.plan.burst / 2

    def _prepare_account(self, account: CustomerAccount) -> None:
        if self.age.restarted:
            account.buckets.set_tokens(self._restart_tokens(account))
        owned_tokens = account.plan.ceiling_slack * OWNER_CEILING_FRACTION * self._is_owner(account)
        account.buckets.set_ceiling_tokens(owned_tokens)

    def _ceiling_slice(self, now: int, account: CustomerAccount, share: float) -> TokenBucket:
        owned_fraction = OWNER_CEILING_FRACTION * self.handover_fraction * self._is_owner(account)
        return super()._ceiling_slice(now, account, self.sliced_ceiling_fraction * share + owned_fraction)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        return super()._decide(now, charge) if self._is_owner(charge.account) else self._reserve(now, charge)
