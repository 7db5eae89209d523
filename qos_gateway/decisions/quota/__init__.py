"""Per-customer quotas, ceilings and in-flight limits, enforced jointly by all gateways of a customer."""

import random

from ...types import Settings
from .quota import Quota


def create_quota(settings: Settings, seed: int, now: int, rng: random.Random) -> Quota:
    """Return the quota for these settings.

    If gateways can message each other: gossip where messages are frequent enough, else bucket owners.
    Otherwise a shared counter if there is one, else even slices.
    """
    return _strategy(settings)(settings, seed, now, rng)


def _strategy(settings: Settings) -> type[Quota]:
    """Return the strategy's class; modules are imported on demand, to load only the one in use."""
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
