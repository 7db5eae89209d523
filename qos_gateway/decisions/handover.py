"""Handover of the decision engine's state from one process to the next.

Until the old process ends, both share the limits of one gateway: each gets a fraction of the token buckets
and of their refill rates.
"""

from __future__ import annotations

from dataclasses import dataclass

from .engine import DecisionEngine
from .snapshot import EngineSnapshot, MeanSnapshot


@dataclass(frozen=True, slots=True)
class HandoverFractions:
    """Fractions of the shared limits that the two processes keep; their sum is at most 1."""

    outgoing: float
    incoming: float


def capture(engine: DecisionEngine, now: int, fractions: HandoverFractions) -> EngineSnapshot:
    """Return the state for the next process, and reduce this engine to the outgoing fraction."""
    quota = engine.quota
    return EngineSnapshot(
        accounts=quota.capture_accounts(now, fractions.incoming, fractions.outgoing),
        load_balancer=engine.load_balancer.capture(fractions.outgoing),
        latency_by_class=tuple(MeanSnapshot.of(latency.mean) for latency in engine.model.class_latency),
        baseline_latency_by_class=tuple(latency.baseline for latency in engine.model.class_latency),
        call_rate=quota.counter.call_rate,
        retry_tokens=engine.dispatcher.retry_budget.capture(fractions.incoming),
        lease_fractions=quota.accounts.capture_leases(),
    )


def restore(engine: DecisionEngine, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
    """Restore a snapshot that fits the settings of this engine, and apply the incoming fraction."""
    snapshot = snapshot.adjusted_to_clock(now)
    engine.quota.restore(now, snapshot, incoming_fraction)
    engine.load_balancer.restore(now, snapshot.load_balancer, incoming_fraction)
    latencies = zip(
        engine.model.class_latency, snapshot.latency_by_class, snapshot.baseline_latency_by_class, strict=True
    )
    for latency, captured, baseline in latencies:
        latency.restore(captured.to_mean(), baseline)
    engine.dispatcher.retry_budget.restore(snapshot.retry_tokens)


def complete(engine: DecisionEngine) -> None:
    """Return to the full limits; called once the other process has ended."""
    engine.quota.complete_handover()
    engine.load_balancer.complete_handover()
