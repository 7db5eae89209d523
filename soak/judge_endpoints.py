"""Rules on order servers: drained ones get nothing new, and cold ones no more than they bear."""

from __future__ import annotations

from collections import defaultdict
from math import sqrt

from soak.judge_timing import Timing
from soak.observations import AttemptSeen, Notified, Record
from soak.settings import Deployment
from soak.violations import Rule, Violation

DRAIN_SLACK_S = 0.05
MAINTENANCE_GRACE_S = 0.25  # that operators wait after the call
SMALL_BUDGET = 30.0
NOTIFIED_SHARE = 2 / 3
CAPACITY_STEPS = 20


def check_drains(deployment: Deployment, record: Record, timing: Timing) -> list[Violation]:
    """Find attempts that began after the grace of a drain that the gateway counts as notified of."""
    notified: dict[tuple[int, int], list[Notified]] = defaultdict(list)
    for change in sorted(record.notifications, key=lambda t: t.at):
        notified[change.gateway, change.server].append(change)
    found = []
    for attempt in record.attempts:
        drained_at = _drained_at(notified[attempt.gateway, attempt.server], attempt.first_byte_at)
        if drained_at is None:
            continue
        late_s = attempt.first_byte_at - drained_at - deployment.drain_grace_s
        # A pause is no excuse: the grace has to cover it.
        slack_s = timing.lag_s(drained_at, attempt.first_byte_at)
        if late_s > DRAIN_SLACK_S + slack_s:
            text = (
                f"sent {late_s:.3f} after the grace request={attempt.request_id} "
                f"gateway={attempt.gateway} server={attempt.server}"
            )
            found.append(Violation(Rule.DRAIN, attempt.first_byte_at, text))
    return found


def _drained_at(changes: list[Notified], at: float) -> float | None:
    """Return since when the gateway counts as notified that a server drains; None where it may be in use.

    Changes are in the order of `change_at`; of those at the source by then, the newest one told holds.
    """
    known = [change for change in changes if change.at <= at]
    if not known:
        return None
    newest = max(known, key=lambda change: change.change_at)
    if newest.in_service:
        return None
    back = [c for c in changes if c.change_at > newest.change_at and c.in_service and c.change_at <= at]
    if back:
        return None  # it is back, and the gateway may have heard of that
    same = [c for c in known if c.change_at == newest.change_at]
    return min(change.at for change in same)


def check_maintenance(record: Record, timing: Timing) -> list[Violation]:
    """Find attempts at order servers that operators had taken out of use at the gateway."""
    found = []
    for seen in record.maintenance:
        end = min([seen.up_at or record.ends_at, *_forgotten_at(record, seen.gateway, seen.down_at)])
        for attempt in record.attempts:
            is_there = (attempt.gateway, attempt.server) == (seen.gateway, seen.server)
            late_s = attempt.first_byte_at - seen.down_at - MAINTENANCE_GRACE_S
            slack_s = DRAIN_SLACK_S + timing.lag_s(seen.down_at, attempt.first_byte_at)
            if is_there and attempt.first_byte_at < end and late_s > slack_s:
                text = (
                    f"sent {late_s:.3f} after the call request={attempt.request_id} "
                    f"gateway={attempt.gateway} server={attempt.server}"
                )
                found.append(Violation(Rule.MAINTENANCE, attempt.first_byte_at, text))
    return found


def _forgotten_at(record: Record, gateway: int, down_at: float) -> list[float]:
    """Return when processes ended, or began to, that hand their operators' calls over to nobody."""
    ends = []
    for process in record.processes:
        if process.gateway == gateway:
            ends += [process.killed_at, None if process.is_upgraded else process.terminated_at]
    return [end for end in ends if end is not None and end >= down_at]


def check_slow_starts(deployment: Deployment, record: Record) -> list[Violation]:
    """Find cold order servers that got more in a window than they bear, from gateways that were notified."""
    attempts: dict[int, list[AttemptSeen]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda a: a.last_byte_at):
        attempts[attempt.server].append(attempt)
    found = []
    for server, born_at in sorted({(t.server, t.began_at) for t in record.notifications if t.began_at > 0.0}):
        found += _check_slow_start(deployment, record, server, born_at, attempts[server])
    return found


def _check_slow_start(
    deployment: Deployment, record: Record, server: int, born_at: float, attempts: list[AttemptSeen]
) -> list[Violation]:
    notified_at = {
        t.gateway: t.at
        for t in sorted(record.notifications, key=lambda t: -t.at)
        if t.server == server and t.began_at == born_at
    }
    end = born_at + deployment.slow_start_window_s
    window: list[AttemptSeen] = []
    for attempt in attempts:
        if not born_at <= attempt.last_byte_at <= end:
            continue
        window.append(attempt)
        while window[0].last_byte_at < attempt.last_byte_at - deployment.overload_window_s:
            window.pop(0)
        if len(window) <= _budget(deployment, attempt.last_byte_at - born_at):
            continue
        from_notified = sum(a.first_byte_at >= notified_at.get(a.gateway, end) for a in window)
        if from_notified > NOTIFIED_SHARE * len(window):
            text = (
                f"{len(window)} attempts in a window server={server} age={attempt.last_byte_at - born_at:.2f}"
            )
            return [Violation(Rule.SLOW_START, attempt.last_byte_at, text)]
        return []
    return []


def _budget(deployment: Deployment, age_s: float) -> float:
    """Return how many attempts a cold server bears in the window that ends at this age."""
    fraction = min(1.0, age_s / deployment.slow_start_window_s)
    capacity = deployment.server_capacity * (
        deployment.initial_capacity + (1.0 - deployment.initial_capacity) * fraction
    )
    mean = deployment.overload_multiple * capacity * deployment.overload_window_s
    if mean < SMALL_BUDGET:
        return mean + 3.0 * sqrt(mean) + 3.0
    return mean + 2.0 * sqrt(mean) + 2.0
