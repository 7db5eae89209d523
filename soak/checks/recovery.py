"""Check of recovery: after the last fault, most requests are served again."""

from __future__ import annotations

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import Answer, Record

MIN_FINAL_SHARE = 0.9  # of the requests sent after recovery
RECOVERY_S = 4.0  # from the end of the last fault
FINAL_REQUESTS_END_S = 1.0  # before the end of the run, so that each request has time for its response
MIN_FINAL_REQUESTS = 50  # for a share that means something
MIN_FINAL_WAIT_S = 0.1  # of a counted request; a shorter deadline may expire on a healthy service


def check_recovery(history: History) -> list[Violation]:
    """Report a violation if too small a share of the last requests was served."""
    share = final_share(history.record)
    if share is None or share >= MIN_FINAL_SHARE:
        return []
    text = f"served {share:.2f} after the last fault"
    return [Violation(Rule.RECOVERY, history.record.ends_at, text)]


def final_share(record: Record) -> float | None:
    """Return the share of requests served after recovery, or None if there are too few of them."""
    begin, end = record.faults_end_at + RECOVERY_S, record.ends_at - FINAL_REQUESTS_END_S
    requests = [seen for seen in record.requests if begin <= seen.sent_at < end]
    last = [seen for seen in requests if seen.plan == 0 and seen.wait_s >= MIN_FINAL_WAIT_S]
    if len(last) < MIN_FINAL_REQUESTS:
        return None
    served = [seen for seen in last if seen.response and seen.response.answer is Answer.SERVED]
    return len(served) / len(last)
