"""Quotas, ceilings and limits on requests in flight, over all gateways that serve a customer."""

import random

from ...types import Settings
from .account.bucket_reports import CURRENT_REPORT_NS
from .counter_quota import CounterQuota
from .gossip_quota import GossipQuota, message_interval
from .leased_quota import LeasedQuota
from .owner_quota import OwnerQuota
from .quota import Quota


def create_quota(settings: Settings, seed: int, now: int, rng: random.Random) -> Quota:
    """Return the best strategy that the settings allow: gossip if fresh enough, owners, or a counter."""
    kind = Quota
    if settings.may_message:
        kind = GossipQuota if message_interval(settings) <= CURRENT_REPORT_NS else OwnerQuota
    elif settings.has_counter and settings.gateway_count > 1:
        kind = LeasedQuota if settings.lease_term else CounterQuota
    return kind(settings, seed, now, rng)
