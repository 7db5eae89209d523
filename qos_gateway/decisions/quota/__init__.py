"""Quotas, ceilings and limits on requests in flight, over all gateways that serve a customer."""

import random

from ...types import Settings
from .quota import Quota


def create_quota(settings: Settings, seed: int, now: int, rng: random.Random) -> Quota:
    """Return the best strategy that the settings allow: gossip if fresh enough, owners, or a counter."""
    return _strategy(settings)(settings, seed, now, rng)


def _strategy(settings: Settings) -> type[Quota]:
    """Return the class of the strategy; only the modules of the one that is used are loaded."""
    if settings.may_message:
        return _messaging_strategy(settings)
    if settings.has_counter and settings.gateway_count > 1:
        return _counting_strategy(settings)
    return Quota


def _messaging_strategy(settings: Settings) -> type[Quota]:
    from .account.bucket_reports import REPORT_CURRENT_FOR_NS
    from .gossip_quota import GossipQuota, message_interval
    from .owner_quota import OwnerQuota

    return GossipQuota if message_interval(settings) <= REPORT_CURRENT_FOR_NS else OwnerQuota


def _counting_strategy(settings: Settings) -> type[Quota]:
    from .counter_quota import CounterQuota

    if not settings.lease_term:
        return CounterQuota
    from .leased_quota import LeasedQuota

    return LeasedQuota
