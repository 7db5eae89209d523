"""Quotas that gateways hold by messages to each other."""

import random

from ...types import Action, Settings
from ...units import SECOND
from ..statistics.time_constants import TICK_INTERVAL_NS
from .account import CustomerAccount
from .base import Quota
from .peer_messages import MAX_TOTALS
from .peer_protocol import GossipProtocol
from .quota_decision import Charge, QuotaDecision
from .token_bucket import TokenBucket

OWNER_CEILING_FRACTION = 0.75  # of a ceiling, handed out by the owner; the rest is for when it is silent


def message_interval(settings: Settings) -> float:
    """Return the ns between two messages to all peers that use half of the messages allowed."""
    return 2 * (settings.gateway_count - 1) * SECOND / max(1.0, settings.messages_per_s)


class GossipQuota(GossipProtocol, Quota):
    """Each gateway keeps the whole bucket, and takes off what the others report."""

    def __init__(self, settings: Settings, seed: int, now: int, rng: random.Random) -> None:
        super().__init__(settings, seed, now, rng)
        self.gossip_interval = (
            message_interval(settings) - TICK_INTERVAL_NS // 2
        )  # sent with the tick that is nearest

    def _bucket(self, account: CustomerAccount) -> TokenBucket:
        share = self.quota_share(account.refilled_at, account) * self.handover_fraction
        return TokenBucket(account.plan.rate * share, account.plan.burst * share)

    def _totals_message(self, now: int) -> Action:
        """Tell the peers of the totals that were repeated least."""
        changed = [account for account in self.accounts.values() if account.pending_gossip and account.peers]
        changed.sort(key=lambda account: (-account.pending_gossip, account.customer_id))
        for account in changed[:MAX_TOTALS]:
            account.pending_gossip -= 1
        return self.encode_totals(now, changed[:MAX_TOTALS])


class OwnerQuota(Quota):
    """One gateway owns a customer's bucket, and the others reserve units at it."""

    uses_owners = True
    sliced_ceiling_fraction = 1.0 - OWNER_CEILING_FRACTION

    def _is_owner(self, account: CustomerAccount) -> bool:
        return account.owner == self.settings.position

    def _restart_tokens(self, account: CustomerAccount) -> float:
        return account.plan.burst / 2  # errs as little either way

    def _prepare(self, account: CustomerAccount) -> None:
        account.tokens = self._restart_tokens(account) if self.restarted else account.tokens
        account.ceiling_tokens = account.plan.ceiling_slack * OWNER_CEILING_FRACTION * self._is_owner(account)

    def _ceiling_bucket(self, account: CustomerAccount, even: float) -> TokenBucket:
        owned = OWNER_CEILING_FRACTION * self.handover_fraction * self._is_owner(account)
        return super()._ceiling_bucket(account, self.sliced_ceiling_fraction * even + owned)

    def _decide(self, now: int, charge: Charge) -> QuotaDecision:
        return super()._decide(now, charge) if self._is_owner(charge.account) else self._reserve(now, charge)
