"""Quotas, ceilings and limits on requests in flight, over all gateways that serve a customer."""

import random

from ...types import Settings
from .base import REPORT_FRESH_FOR, Quota
from .counter import CounterQuota, LeasedQuota
from .peers import GossipQuota, OwnerQuota, gossip_interval


def create_quota(settings: Settings, seed: int, now: int, rng: random.Random) -> Quota:
    """Hold quotas by the best way that the settings allow: gossip while that is fresh, owners, or a counter."""
    kind = Quota
    if settings.may_message:
        kind = GossipQuota if gossip_interval(settings) <= REPORT_FRESH_FOR // 4 else OwnerQuota
    elif settings.has_counter and settings.gateway_count > 1:
        kind = LeasedQuota if settings.lease_term else CounterQuota
    return kind(settings, seed, now, rng)
