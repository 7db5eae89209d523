"""The start guard: clients are served only with the latest endpoint list, and all requests are answered."""

from __future__ import annotations

from .observability.invariants import Invariant, InvariantMonitor


def check_start(monitor: InvariantMonitor, engine_has_list: bool, discovery_has_unread: bool) -> None:
    """Report a process that is about to accept clients without the latest endpoint list."""
    if not engine_has_list:
        monitor.report(Invariant.START, "no_list")
    if discovery_has_unread:
        monitor.report(Invariant.START, "list_unread")


def check_stop(monitor: InvariantMonitor, unanswered: int) -> None:
    """Report a process that is about to end with unanswered requests, after its drain."""
    if unanswered:
        monitor.report(Invariant.CLOSE, "stopped_with_open_requests")
