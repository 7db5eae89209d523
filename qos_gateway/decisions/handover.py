"""Hand the decision engine's state over from one process to the next, and share what is limited meanwhile.

Until the old process is gone both count as one gateway, so each keeps a fraction of the buckets and their
refill.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..units import SECOND
from .engine import DecisionEngine
from .quota.account import CustomerAccount
from .quota.base import Quota
from .snapshot import AccountSnapshot, EngineSnapshot, MeanSnapshot

IN_FLIGHT_REPORT_VALID_NS = SECOND  # a process before that reported attempts in flight is long gone by then
WHOLE = 1.0  # the fraction of a process that shares with no other


@dataclass(frozen=True, slots=True)
class HandoverFractions:
    """What each of two processes keeps of what they share; together not over 1."""

    outgoing: float
    incoming: float


def capture(engine: DecisionEngine, now: int, fractions: HandoverFractions) -> EngineSnapshot:
    """Return what the next process must know; from here on this one keeps its fraction alone."""
    quota = engine.quota
    accounts = tuple(_capture_account(quota, account, now, fractions) for account in quota.accounts.values())
    quota.handover_fraction = fractions.outgoing
    return EngineSnapshot(
        accounts=accounts,
        load_balancer=engine.load_balancer.capture(fractions.outgoing),
        latency=tuple(MeanSnapshot.of(latency.mean) for latency in engine.model.class_latency),
        baseline_latency=tuple(latency.baseline for latency in engine.model.class_latency),
        call_rate=quota.call_rate,
        retry_tokens=engine.dispatcher.retry_budget.tokens * fractions.incoming,
        lease_fractions={
            customer: dict(account.lease_fractions)
            for customer, account in quota.accounts.items()
            if account.lease_fractions
        },
    )


def _capture_account(
    quota: Quota, account: CustomerAccount, now: int, fractions: HandoverFractions
) -> AccountSnapshot:
    """Split a customer's buckets between this process and the next."""
    quota.refill(now, account)
    in_flight = account.in_flight
    if now - account.in_flight_elsewhere_at < IN_FLIGHT_REPORT_VALID_NS:
        in_flight += account.in_flight_elsewhere
    tokens = account.tokens
    if quota.uses_gossip:
        tokens = account.tokens * fractions.incoming
        account.tokens *= fractions.outgoing
    # Without gossip the tokens are what the owner or the counter reported: one number for all processes.
    snapshot = AccountSnapshot(
        customer_id=account.customer_id,
        plan_index=account.plan_index,
        slice_count=account.slice_count,
        peers=account.peers,
        in_flight=in_flight,
        tokens=tokens,
        local_tokens=account.local_tokens * fractions.incoming,
        ceiling_tokens=account.ceiling_tokens * fractions.incoming,
        reported_at=account.reported_at,
        long_demand=MeanSnapshot.of(account.long_demand),
        grant_ratio=MeanSnapshot.of(account.grant_ratio),
    )
    account.local_tokens *= fractions.outgoing
    account.ceiling_tokens *= fractions.outgoing
    return snapshot


def restore(engine: DecisionEngine, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
    """Take over a snapshot, decoded for the settings of this engine, and go on with its fraction."""
    _restore_accounts(engine.quota, now, snapshot)
    engine.load_balancer.restore(now, snapshot.load_balancer, incoming_fraction)
    latencies = zip(engine.model.class_latency, snapshot.latency, snapshot.baseline_latency, strict=True)
    for latency, captured, baseline in latencies:
        latency.restore(captured.to_mean(), baseline)
    engine.dispatcher.retry_budget.tokens = snapshot.retry_tokens
    engine.quota.call_rate = min(1.0, max(0.0, snapshot.call_rate))
    engine.quota.handover_fraction = incoming_fraction


def _restore_accounts(quota: Quota, now: int, snapshot: EngineSnapshot) -> None:
    for captured in snapshot.accounts:
        account = quota.account(now, captured.customer_id, captured.plan_index)
        account.slice_count = captured.slice_count
        account.peers = captured.peers
        account.tokens = captured.tokens
        account.local_tokens = captured.local_tokens
        account.ceiling_tokens = captured.ceiling_tokens
        account.reported_at = captured.reported_at
        account.long_demand = captured.long_demand.to_mean()
        account.grant_ratio = captured.grant_ratio.to_mean()
        account.in_flight_elsewhere_at = now
        account.in_flight_elsewhere = captured.in_flight
    for customer, lease_fractions in snapshot.lease_fractions.items():  # held by both processes
        if customer in quota.accounts:
            quota.accounts[customer].lease_fractions = dict(lease_fractions)


def complete(engine: DecisionEngine) -> None:
    """Take the whole of what was shared: the other process is gone."""
    engine.quota.handover_fraction = WHOLE
    engine.load_balancer.complete_handover()
