"""Hand the decision engine's state over from one process to the next, and share what is limited meanwhile.

Until the old process is gone both count as one gateway, so each keeps a fraction of the buckets and their
refill.
"""

from __future__ import annotations

from dataclasses import dataclass

from .engine import DecisionEngine
from .snapshot import EngineSnapshot, MeanSnapshot

WHOLE = 1.0  # the fraction of a process that shares with no other


@dataclass(frozen=True, slots=True)
class HandoverFractions:
    """What each of two processes keeps of what they share; together not over 1."""

    outgoing: float
    incoming: float


def capture(engine: DecisionEngine, now: int, fractions: HandoverFractions) -> EngineSnapshot:
    """Return what the next process must know; from here on this one keeps its fraction alone."""
    quota = engine.quota
    return EngineSnapshot(
        accounts=quota.capture_accounts(now, fractions.incoming, fractions.outgoing),
        load_balancer=engine.load_balancer.capture(fractions.outgoing),
        latency=tuple(MeanSnapshot.of(latency.mean) for latency in engine.model.class_latency),
        baseline_latency=tuple(latency.baseline for latency in engine.model.class_latency),
        call_rate=quota.counter.call_rate,
        retry_tokens=engine.dispatcher.retry_budget.tokens * fractions.incoming,
        lease_fractions=quota.accounts.capture_leases(),
    )


def restore(engine: DecisionEngine, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
    """Take over a snapshot, decoded for the settings of this engine, and go on with its fraction."""
    engine.quota.restore(now, snapshot, incoming_fraction)
    engine.load_balancer.restore(now, snapshot.load_balancer, incoming_fraction)
    latencies = zip(engine.model.class_latency, snapshot.latency, snapshot.baseline_latency, strict=True)
    for latency, captured, baseline in latencies:
        latency.restore(captured.to_mean(), baseline)
    engine.dispatcher.retry_budget.tokens = snapshot.retry_tokens


def complete(engine: DecisionEngine) -> None:
    """Use all of what was shared, once the other process has ended."""
    engine.quota.complete_handover()
    engine.load_balancer.complete_handover()
