"""The times from which gateways count as notified of a list change that did not reach them."""

from __future__ import annotations

from collections.abc import Sequence

from soak.discovery_agents import (
    PROPAGATION_DEADLINE_AFTER_MOVE_S,
    PROPAGATION_DEADLINE_S,
    ListSource,
)
from soak.gateways import Gateway
from soak.observations import ListChange, Record


def record_propagation_deadlines(gateways: Sequence[Gateway], source: ListSource, record: Record) -> None:
    """Record, for each list change and gateway, when the propagation deadline makes it count as notified."""
    for gateway in gateways:
        starts = [
            _after_outages_and_lags(gateway, process.ready_at)
            for process in record.processes
            if process.gateway == gateway.position and process.ready_at is not None
        ]
        for _, change in source.changes:
            known_at = _known_at(gateway, starts, change)
            record.notifications.append(gateway.agent.notified(change, known_at))


def _known_at(gateway: Gateway, starts: list[float], change: ListChange) -> float:
    """Return the earliest deadline: that of the change itself, of a reload, or of a start after it."""
    deadline = _after_outages(gateway, change.at) + PROPAGATION_DEADLINE_S
    # An agent is silent while discovery is down; its list at the end of the outage counts at once.
    moves = [
        max(_after_outages_and_lags(gateway, moved_at + PROPAGATION_DEADLINE_AFTER_MOVE_S), change.at)
        for moved_at in gateway.moved_at
        if moved_at + PROPAGATION_DEADLINE_AFTER_MOVE_S >= change.at
    ]
    later_starts = [start for start in starts if start >= change.at]
    return min([deadline, *moves, *later_starts])


def _after_outages_and_lags(gateway: Gateway, at: float) -> float:
    """Return the first time from `at` on at which no agent of the gateway is down or lags."""
    spans = [span for agent in gateway.agents for span in (*agent.outages, *agent.lags)]
    for begin, end in sorted(spans):
        if begin <= at < end:
            at = end
    return at


def _after_outages(gateway: Gateway, at: float) -> float:
    """Return `at`, or the end of the outages of the agents that began within the propagation deadline."""
    outages = sorted(outage for agent in gateway.agents for outage in agent.outages)
    for begin, end in outages:
        if begin - PROPAGATION_DEADLINE_S <= at < end:
            at = max(at, end)
    return at
