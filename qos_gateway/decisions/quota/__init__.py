"""Quotas, ceilings and limits on requests in flight, over all gateways that serve a customer."""

import random

from ...types import Settings
from .base import TUNING, Quota
from .counter import CounterQuota, LeasedQuota
from .peers import GossipQuota, OwnerQuota, message_interval


def create_quota(settings: Settings, seed: int, now: int, rng: random.Random) -> Quota:
    """Hold quotas by the best way that the settings allow: gossip if that is fresh, owners, or a counter."""
    kind = Quota
    if settings.may_message:
        kind = GossipQuota if message_interval(settings) <= TUNING.report_fresh_for // 4 else OwnerQuota
    elif settings.has_counter and settings.gateway_count > 1:
        kind = LeasedQuota if settings.lease_term else CounterQuota
    return kind(settings, seed, now, rng)
