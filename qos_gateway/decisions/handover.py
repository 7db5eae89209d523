"""Hand the decision engine's state over from one process to the next, and share what is limited meanwhile.

Until the old process is gone both count as one gateway, so each keeps a fraction of the buckets and their
refill.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..types import Health
from .engine import DecisionEngine
from .load_balancing.endpoint_state import EndpointState
from .load_balancing.load_balancer import LoadBalancer
from .snapshot import EndpointSnapshot, EngineSnapshot, MeanSnapshot

WHOLE = 1.0  # the fraction of a process that shares with no other


@dataclass(frozen=True, slots=True)
class HandoverFractions:
    """What each of two processes keeps of what they share; together not over 1."""

    outgoing: float
    incoming: float


def capture(engine: DecisionEngine, now: int, fractions: HandoverFractions) -> EngineSnapshot:
    """Return what the next process must know; from here on this one keeps its fraction alone."""
    quota = engine.quota
    load_balancer = engine.load_balancer
    accounts = quota.capture_accounts(now, fractions.incoming, fractions.outgoing)
    endpoints = tuple(
        _capture_endpoint(endpoint_id, state) for endpoint_id, state in load_balancer.endpoints.items()
    )
    for endpoint in load_balancer.endpoints.values():
        endpoint.slow_start_tokens = 0.0
    load_balancer.handover_fraction = fractions.outgoing
    return EngineSnapshot(
        accounts=accounts,
        endpoints=endpoints,
        admin_disabled=dict(load_balancer.admin_disabled),
        warm_completions=MeanSnapshot.of(load_balancer.warm_completions),
        latency=tuple(MeanSnapshot.of(mean) for mean in engine.model.latency),
        baseline_latency=tuple(latency.baseline for latency in engine.model.latency),
        call_rate=quota.counter.call_rate,
        retry_tokens=engine.dispatcher.retry_budget.tokens * fractions.incoming,
        lease_fractions=quota.accounts.capture_leases(),
    )


def _capture_endpoint(endpoint_id: int, state: EndpointState) -> EndpointSnapshot:
    return EndpointSnapshot(
        endpoint=endpoint_id,
        started_at=state.endpoint.started_at,
        ejected_until=state.ejected_until,
        ejection_time=state.ejection_time,
        consecutive_failures=state.consecutive_failures,
        slow_start_tokens=state.slow_start_tokens,
        disabled_at=state.disabled_at,
        assumed_start=state.assumed_start,
        slowness=MeanSnapshot.of(state.slowness),
    )


def restore(engine: DecisionEngine, now: int, snapshot: EngineSnapshot, incoming_fraction: float) -> None:
    """Take over a snapshot, decoded for the settings of this engine, and go on with its fraction."""
    engine.quota.restore(now, snapshot, incoming_fraction)
    _restore_endpoints(engine.load_balancer, now, snapshot)
    latencies = zip(engine.model.latency, snapshot.latency, snapshot.baseline_latency, strict=True)
    for latency, captured, baseline in latencies:
        captured.copy_to(latency)
        latency.baseline = baseline
    engine.dispatcher.retry_budget.tokens = snapshot.retry_tokens
    engine.load_balancer.handover_fraction = incoming_fraction


def _restore_endpoints(load_balancer: LoadBalancer, now: int, snapshot: EngineSnapshot) -> None:
    for captured in snapshot.endpoints:
        state = load_balancer.endpoints.get(captured.endpoint)
        if state is not None and _is_same_start(state, captured):
            _restore_endpoint(state, now, captured)
    load_balancer.admin_disabled |= snapshot.admin_disabled
    load_balancer.warm_completions = snapshot.warm_completions.to_mean()
    captured_endpoints = {captured.endpoint for captured in snapshot.endpoints}
    for endpoint_id in load_balancer.admin_disabled.keys() | captured_endpoints:
        load_balancer.reindex(endpoint_id)
    load_balancer.refresh(now)


def _is_same_start(state: EndpointState, captured: EndpointSnapshot) -> bool:
    """Return whether a listed endpoint has not been restarted since the old process saw it."""
    listed = state.endpoint
    return listed.started_at == captured.started_at and listed.health is not Health.REMOVED


def _restore_endpoint(state: EndpointState, now: int, captured: EndpointSnapshot) -> None:
    state.ejected_until = captured.ejected_until
    state.ejection_time = captured.ejection_time
    state.consecutive_failures = captured.consecutive_failures
    state.slow_start_tokens = captured.slow_start_tokens
    state.slow_start_tokens_at = now
    state.disabled_at = captured.disabled_at
    state.assumed_start = captured.assumed_start
    state.slowness = captured.slowness.to_mean()


def complete(engine: DecisionEngine) -> None:
    """Take the whole of what was shared: the other process is gone."""
    engine.quota.complete_handover()
    engine.load_balancer.handover_fraction = WHOLE
