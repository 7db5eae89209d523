"""Checks of the gateways' processes: ready in time, no unplanned end, no internal error."""

from __future__ import annotations

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import ProcessSeen

READY_WITHIN_S = 10.0
MEBIBYTE = 1 << 20


def check_processes(history: History) -> list[Violation]:
    """Find processes that crashed, were ready too late, or logged an internal error."""
    found = []
    for seen in history.record.processes:
        name = f"gateway={seen.gateway} process={seen.number}"
        found += _check_exit(seen, name)
        found += _check_ready(seen, name)
        found += [Violation(Rule.REPORTED_ITSELF, seen.started_at, f"{name} {line}") for line in seen.faults]
    return found


def check_memory(history: History) -> list[Violation]:
    """Find processes whose resident memory passed the limit in their settings."""
    limit_bytes = history.deployment.fleet.memory_mb * MEBIBYTE
    return [
        Violation(
            Rule.MEMORY,
            seen.exited_at or seen.started_at,
            f"peak of {seen.peak_memory_bytes / MEBIBYTE:.1f} MB with a limit of {limit_bytes // MEBIBYTE} "
            f"gateway={seen.gateway} process={seen.number}",
        )
        for seen in history.record.processes
        if seen.peak_memory_bytes > limit_bytes
    ]


def _was_ended(seen: ProcessSeen) -> bool:
    return seen.killed_at is not None or seen.terminated_at is not None


def _check_exit(seen: ProcessSeen, name: str) -> list[Violation]:
    if seen.exited_at is not None and not _was_ended(seen):
        text = f"ended by itself, status {seen.exit_status} {name}"
        return [Violation(Rule.CRASH, seen.exited_at, text)]
    if seen.exit_status not in (0, None) and seen.killed_at is None:
        text = f"exit status {seen.exit_status} {name}"
        return [Violation(Rule.CRASH, seen.exited_at or 0.0, text)]
    return []


def _check_ready(seen: ProcessSeen, name: str) -> list[Violation]:
    ready_s = None if seen.ready_at is None else seen.ready_at - seen.started_at
    is_missing = ready_s is None and not _was_ended(seen)
    if not is_missing and (ready_s or 0.0) <= READY_WITHIN_S:
        return []
    return [Violation(Rule.READY, seen.started_at, f"ready after {ready_s} {name}")]
