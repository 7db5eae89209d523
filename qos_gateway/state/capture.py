"""What a gateway's decisions leave to the process that takes over from it, and how the two share.

Until the old process is gone both count as one gateway, so each keeps a part of the stores and their refill.
"""

from __future__ import annotations

from typing import Any

from ..decisions.engine import INCOMING_FRACTION, OUTGOING_FRACTION, DecisionEngine
from ..types import Health, Settings
from .snapshot import decode_snapshot, encode_mean


def capture(gateway: DecisionEngine, now: int) -> dict[str, Any]:
    """All that the next process must know, as plain numbers; from here on this one keeps its part alone."""
    quota, fleet, model = gateway.quota, gateway.load_balancer, gateway.model
    accounts, servers = [], []
    for account in quota.accounts.values():
        quota.refill(now, account)
        accounts.append(
            [
                account.customer_id,
                account.plan_index,
                account.slice_count,
                list(account.peers),
                account.in_flight
                + account.in_flight_elsewhere * (now - account.in_flight_elsewhere_at < 10**9),
                account.tokens,
                account.local_tokens * INCOMING_FRACTION,
                account.ceiling_tokens * INCOMING_FRACTION,
                account.reported_at,
                encode_mean(account.long_demand),
                encode_mean(account.grant_ratio),
            ]
        )
        account.local_tokens, account.ceiling_tokens = (
            account.local_tokens * OUTGOING_FRACTION,
            account.ceiling_tokens * OUTGOING_FRACTION,
        )
        if quota.uses_gossip:  # elsewhere the level is what home or counter told, and one over all processes
            accounts[-1][5], account.tokens = (
                account.tokens * INCOMING_FRACTION,
                account.tokens * OUTGOING_FRACTION,
            )
    for known, server in fleet.endpoints.items():
        servers.append(
            [
                known,
                server.endpoint.started_at,
                server.ejected_until,
                server.ejection_time,
                server.consecutive_failures,
                server.slow_start_tokens,
                server.disabled_at,
                server.assumed_start,
                encode_mean(server.slowness),
            ]
        )
        server.slow_start_tokens = 0.0
    quota.handover_fraction = fleet.handover_fraction = OUTGOING_FRACTION
    return {
        "accounts": accounts,
        "servers": servers,
        "banned": sorted(fleet.admin_disabled.items()),
        "sends": encode_mean(fleet.warm_completions),
        "latency": [encode_mean(mean) for mean in model.latency],
        "shortest": model.baseline_latency,
        "pace": quota.call_rate,
        "retries": gateway.dispatcher.retry_budget.tokens * INCOMING_FRACTION,
        "leases": [
            [c, sorted(a.lease_fractions.items())] for c, a in quota.accounts.items() if a.lease_fractions
        ],
    }


def restore(gateway: DecisionEngine, now: int, raw: dict[str, Any], settings: Settings) -> None:
    """Takes over; raises ValueError, and changes nothing, where the word cannot be read."""
    word = decode_snapshot(raw, len(settings.plans), len(settings.classes))
    quota, fleet = gateway.quota, gateway.load_balancer
    for store in word.accounts:
        account = quota.account(now, store.customer_id, store.plan_index)
        account.slice_count, account.peers = store.slice_count, store.peers
        account.tokens, account.local_tokens, account.ceiling_tokens = (
            store.tokens,
            store.local_tokens,
            store.ceiling_tokens,
        )
        account.reported_at, account.long_demand, account.grant_ratio = (
            store.reported_at,
            store.long_demand,
            store.grant_ratio,
        )
        account.in_flight_elsewhere_at, account.in_flight_elsewhere = now, store.in_flight
    for customer, leases in word.lease_fractions.items():  # of both processes, each with its part
        if customer in quota.accounts:
            quota.accounts[customer].lease_fractions = leases
    for seen in word.endpoints:
        server = fleet.endpoints.get(seen.endpoint)
        if (
            server is None
            or server.endpoint.started_at != seen.started_at
            or server.endpoint.health is Health.REMOVED
        ):
            continue
        server.ejected_until, server.ejection_time, server.consecutive_failures = (
            seen.ejected_until,
            seen.ejection_time,
            seen.consecutive_failures,
        )
        server.slow_start_tokens, server.slow_start_tokens_at = seen.slow_start_tokens, now
        server.disabled_at, server.assumed_start = seen.disabled_at, seen.assumed_start
        server.slowness = seen.slowness
    fleet.admin_disabled |= word.admin_disabled
    fleet.warm_completions = word.warm_completions
    for backend in fleet.admin_disabled.keys() | {seen.endpoint for seen in word.endpoints}:
        fleet.reindex(backend)
    fleet.refresh(now)
    for mine, mean in zip(gateway.model.latency, word.latency, strict=True):
        mine.updated_at, mine.time_constant, mine.weighted_sum, mine.weight = (
            mean.updated_at,
            mean.time_constant,
            mean.weighted_sum,
            mean.weight,
        )
    gateway.model.baseline_latency = word.baseline_latency
    quota.call_rate, gateway.dispatcher.retry_budget.tokens = (
        min(1.0, max(0.0, word.call_rate)),
        word.retry_tokens,
    )
    quota.handover_fraction = fleet.handover_fraction = INCOMING_FRACTION


def complete(gateway: DecisionEngine) -> None:
    """The other process is gone: all of it is this one's."""
    gateway.quota.handover_fraction = gateway.load_balancer.handover_fraction = 1.0
