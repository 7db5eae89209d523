"""Check of slow start: a new order server gets no more attempts than its budget, by age, allows."""

from __future__ import annotations

from math import sqrt

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import AttemptSeen
from soak.settings import Deployment

SMALL_BUDGET = 30.0  # attempts in a window
NOTIFIED_SHARE = 2 / 3  # of a window's attempts; with less, gateways that are not notified cause the excess


def check_slow_starts(history: History) -> list[Violation]:
    """Find new order servers that gateways notified of them sent more than the budget of a window."""
    starts = sorted({(n.server, n.began_at) for n in history.record.notifications if n.began_at > 0.0})
    found = []
    for server, began_at in starts:
        found += _check_slow_start(history, server, began_at)
    return found


def _check_slow_start(history: History, server: int, began_at: float) -> list[Violation]:
    deployment = history.deployment
    notified_at = _first_notified_at(history, server, began_at)
    end = began_at + deployment.slow_start_window_s
    window: list[AttemptSeen] = []
    for attempt in history.attempts_by_server.get(server, []):
        if not began_at <= attempt.last_byte_at <= end:
            continue
        window.append(attempt)
        while window[0].last_byte_at < attempt.last_byte_at - deployment.overload_window_s:
            window.pop(0)
        age_s = attempt.last_byte_at - began_at
        if len(window) <= _budget(deployment, age_s):
            continue
        from_notified = sum(a.first_byte_at >= notified_at.get(a.gateway, end) for a in window)
        if from_notified > NOTIFIED_SHARE * len(window):
            text = f"{len(window)} attempts in a window server={server} age={age_s:.2f}"
            return [Violation(Rule.SLOW_START, attempt.last_byte_at, text)]
        return []
    return []


def _first_notified_at(history: History, server: int, began_at: float) -> dict[int, float]:
    """Return when each gateway first counts as notified of a server's start."""
    first: dict[int, float] = {}
    for change in history.record.notifications:
        if change.server == server and change.began_at == began_at:
            first[change.gateway] = min(change.at, first.get(change.gateway, change.at))
    return first


def _budget(deployment: Deployment, age_s: float) -> float:
    """Return the attempts that a warming-up server bears in the overload window that ends at this age."""
    fraction = min(1.0, age_s / deployment.slow_start_window_s)
    capacity = deployment.server_capacity * (
        deployment.initial_capacity + (1.0 - deployment.initial_capacity) * fraction
    )
    mean = deployment.overload_multiple * capacity * deployment.overload_window_s
    if mean < SMALL_BUDGET:
        return mean + 3.0 * sqrt(mean) + 3.0
    return mean + 2.0 * sqrt(mean) + 2.0
