"""The guard of starting and stopping: clients are served by the newest list, and until all have answers."""

from __future__ import annotations

from .observability.invariants import Invariant, InvariantMonitor


def check_start(monitor: InvariantMonitor, engine_has_list: bool, discovery_has_unread: bool) -> None:
    """Look at a process that is about to accept clients."""
    if not engine_has_list:
        monitor.report(Invariant.START, "no_list")
    if discovery_has_unread:
        monitor.report(Invariant.START, "list_unread")


def check_stop(monitor: InvariantMonitor, unanswered: int) -> None:
    """Look at a process that has drained and is about to end."""
    if unanswered:
        monitor.report(Invariant.CLOSE, "stopped_with_open_requests")
