"""Checks of order servers out of service: no attempt after a drain's grace period or an operators' call."""

from __future__ import annotations

from collections import defaultdict

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import Notified, Record

ATTEMPT_SLACK_S = 0.05
MAINTENANCE_GRACE_S = 0.25  # for which operators wait after the call


def check_drains(history: History) -> list[Violation]:
    """Find attempts that began after the grace of a drain that the gateway counts as notified of."""
    notified: dict[tuple[int, int], list[Notified]] = defaultdict(list)
    for change in sorted(history.record.notifications, key=lambda n: n.at):
        notified[change.gateway, change.server].append(change)
    found = []
    for attempt in history.record.attempts:
        drained_at = _drained_at(notified[attempt.gateway, attempt.server], attempt.first_byte_at)
        if drained_at is None:
            continue
        late_s = attempt.first_byte_at - drained_at - history.deployment.drain_grace_s
        # A pause of the gateway adds no slack: the grace period has to cover it.
        slack_s = history.timing.lag_s(drained_at, attempt.first_byte_at)
        if late_s > ATTEMPT_SLACK_S + slack_s:
            text = (
                f"sent {late_s:.3f} after the grace request={attempt.request_id} "
                f"gateway={attempt.gateway} server={attempt.server}"
            )
            found.append(Violation(Rule.DRAIN, attempt.first_byte_at, text))
    return found


def _drained_at(changes: list[Notified], at: float) -> float | None:
    """Return since when the gateway counts as notified that a server drains, None if it may use the server.

    The change with the latest `change_at` among those notified until `at` decides.
    """
    known = [change for change in changes if change.at <= at]
    if not known:
        return None
    newest = max(known, key=lambda change: change.change_at)
    if newest.in_service:
        return None
    returns = [c for c in changes if c.change_at > newest.change_at and c.in_service and c.change_at <= at]
    if returns:
        return None  # the gateway may know already that the server is in service again
    same = [c for c in known if c.change_at == newest.change_at]
    return min(change.at for change in same)


def check_maintenance(history: History) -> list[Violation]:
    """Find attempts at order servers that operators had disabled at the gateway."""
    record = history.record
    found = []
    for seen in record.maintenance:
        end = min([seen.up_at or record.ends_at, *_forgotten_at(record, seen.gateway, seen.down_at)])
        for attempt in record.attempts:
            is_there = (attempt.gateway, attempt.server) == (seen.gateway, seen.server)
            late_s = attempt.first_byte_at - seen.down_at - MAINTENANCE_GRACE_S
            slack_s = ATTEMPT_SLACK_S + history.timing.lag_s(seen.down_at, attempt.first_byte_at)
            if is_there and attempt.first_byte_at < end and late_s > slack_s:
                text = (
                    f"sent {late_s:.3f} after the call request={attempt.request_id} "
                    f"gateway={attempt.gateway} server={attempt.server}"
                )
                found.append(Violation(Rule.MAINTENANCE, attempt.first_byte_at, text))
    return found


def _forgotten_at(record: Record, gateway: int, down_at: float) -> list[float]:
    """Return when processes were killed, or were terminated with no process to take over their state."""
    ends = []
    for process in record.processes:
        if process.gateway == gateway:
            ends += [process.killed_at, None if process.is_upgraded else process.terminated_at]
    return [end for end in ends if end is not None and end >= down_at]
