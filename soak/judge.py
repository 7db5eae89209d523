"""The judge: from what clients, order servers and discovery saw to the rules that were broken.

It knows nothing of the gateway's own view, so it does not share its mistakes.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import pairwise

from soak.judge_endpoints import check_drains, check_maintenance, check_slow_starts
from soak.judge_quota import check_ceilings
from soak.judge_timing import Timing
from soak.observations import (
    Answer,
    AttemptSeen,
    BadClientSeen,
    ProcessSeen,
    Record,
    RequestSeen,
    ResponseSeen,
)
from soak.order_servers import response_value
from soak.settings import Deployment, Effect, RequestKind
from soak.violations import Rule, Violation

ANSWER_SLACK_S = 0.05 + 0.5  # after a request's time: later it is lost
BEHIND_OTHERS_SLACK_S = 0.05  # after the answer before it on the connection
DEADLINE_SLACK_S = 0.15  # by which an attempt may tell more than the client has left
WINDOW_SLACK_S = 0.05 + 0.15
CONCURRENCY_SLACK_S = 0.02  # between a close and the next attempt, as the servers see them
LEFT_SLACK_S = 0.1 + 0.05
READ_SURELY_S = 0.3  # after a request was written: the gateway has read it
READY_WITHIN_S = 10.0
BAD_CLIENT_WITHIN_S = 3.0
LOST_AFTER_TERM_S = 0.7  # requests of before may be open when SIGKILL comes
MIN_FINAL_SHARE = 0.9  # of the requests served once all faults are over
SETTLING_S = 4.0  # after the last fault, until service must be back
MIN_FINAL_REQUESTS = 50
MIN_FINAL_WAIT_S = 0.1  # of the requests among them: others may be over before they are done

ProcessKey = tuple[int, int]


class ServiceLevel(Enum):
    """How a request counts for the share that is served."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    UNANSWERED = "unanswered"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run has shown."""

    violations: list[Violation]
    levels: Counter[ServiceLevel]
    attempts: int
    final_share: float | None  # served of the last requests


def judge(deployment: Deployment, record: Record) -> Verdict:
    """Check all rules."""
    timing = Timing(record)
    attempts = _by_request(record.attempts)
    processes = {(seen.gateway, seen.number): seen for seen in record.processes}
    violations: list[Violation] = []
    for seen in record.requests:
        violations += _check_answer(seen, processes[seen.gateway, seen.process], attempts, timing)
        violations += _check_attempts_of(seen, attempts, timing)
    for request_id, seen_attempts in attempts.items():
        kind = deployment.kinds[timing.request(request_id).kind]
        violations += _check_repeats(deployment, kind, request_id, seen_attempts, timing)
    violations += _check_refusals(deployment, record, attempts)
    violations += check_drains(deployment, record, timing)
    violations += check_maintenance(record, timing)
    violations += check_slow_starts(deployment, record)
    violations += check_ceilings(deployment, record, attempts)
    violations += _check_processes(record.processes)
    violations += _check_bad_clients(record.bad_clients, processes, timing)
    final_share = _final_share(record)
    if final_share is not None and final_share < MIN_FINAL_SHARE:
        text = f"served {final_share:.2f} after the last fault"
        violations.append(Violation(Rule.RECOVERY, record.ends_at, text))
    levels = Counter(_level(seen) for seen in record.requests)
    return Verdict(sorted(violations, key=lambda v: v.at), levels, len(record.attempts), final_share)


def _by_request(attempts: Iterable[AttemptSeen]) -> dict[str, list[AttemptSeen]]:
    found: dict[str, list[AttemptSeen]] = defaultdict(list)
    for attempt in sorted(attempts, key=lambda a: a.last_byte_at):
        found[attempt.request_id].append(attempt)
    return found


def _level(seen: RequestSeen) -> ServiceLevel:
    if seen.client_closed_at is not None:
        return ServiceLevel.LEFT
    if seen.response is None:
        return ServiceLevel.UNANSWERED
    return ServiceLevel[seen.response.answer.name]


# Rule 1: every request that was taken gets its final answer, with what an order server made for it.


def _check_answer(
    seen: RequestSeen, process: ProcessSeen, attempts: dict[str, list[AttemptSeen]], timing: Timing
) -> list[Violation]:
    if seen.client_closed_at is not None:
        return []
    slack_s = timing.slack_s(seen.gateway, seen.sent_at, seen.sent_at + seen.wait_s + ANSWER_SLACK_S)
    due_at = seen.sent_at + seen.wait_s + ANSWER_SLACK_S + slack_s
    if seen.response is not None:
        behind_others_at = seen.ready_at + BEHIND_OTHERS_SLACK_S + slack_s
        return _check_answered(seen, seen.response, attempts, max(due_at, behind_others_at))
    if _is_excused(seen, process, due_at):
        return []
    end = seen.connection_end
    if end is None:
        return [Violation(Rule.LOST, due_at, f"no answer request={seen.request_id} gateway={seen.gateway}")]
    tried = [a for a in attempts.get(seen.request_id, []) if a.gateway == seen.gateway]
    waited_s = end.at - seen.sent_at
    was_read = tried or (not end.by_reset and waited_s > READ_SURELY_S + slack_s)
    if not was_read and waited_s <= seen.wait_s:
        return []
    text = (
        f"closed with no answer request={seen.request_id} gateway={seen.gateway} "
        f"after={waited_s:.3f} forwarded={bool(tried)} reset={end.by_reset}"
    )
    return [Violation(Rule.LOST, end.at, text)]


def _check_answered(
    seen: RequestSeen, response: ResponseSeen, attempts: dict[str, list[AttemptSeen]], due_at: float
) -> list[Violation]:
    found = []
    if response.at > due_at:
        late_s = response.at - seen.sent_at - seen.wait_s
        text = f"answer late by {late_s:.3f} request={seen.request_id} gateway={seen.gateway}"
        found.append(Violation(Rule.LOST, response.at, text))
    if response.answer is Answer.SERVED:
        made = [response_value(seen.request_id, a.server) for a in attempts.get(seen.request_id, [])]
        if response.value not in made:
            text = f"value made by no server request={seen.request_id} value={response.value[:40]!r}"
            found.append(Violation(Rule.WRONG_VALUE, response.at, text))
    return found


def _is_excused(seen: RequestSeen, process: ProcessSeen, due_at: float) -> bool:
    """Return whether the request was lost with a process that was killed as planned."""
    if process.killed_at is None or process.killed_at > due_at:
        return False
    if process.terminated_at is None:
        return True
    return seen.sent_at <= process.terminated_at + LOST_AFTER_TERM_S


# Attempts: for a client that waits, for no longer than it does.


def _check_attempts_of(
    seen: RequestSeen, attempts: dict[str, list[AttemptSeen]], timing: Timing
) -> list[Violation]:
    found = []
    for attempt in attempts.get(seen.request_id, []):
        if attempt.gateway != seen.gateway or attempt.last_byte_at < seen.sent_at:
            continue
        slack_s = timing.slack_s(seen.gateway, seen.sent_at, attempt.last_byte_at)
        left_at = seen.client_closed_at
        if left_at is not None and attempt.first_byte_at > left_at + LEFT_SLACK_S + slack_s:
            late_s = attempt.first_byte_at - left_at
            text = f"attempt {late_s:.3f} after the client left request={seen.request_id}"
            found.append(Violation(Rule.CLIENT_LEFT, attempt.first_byte_at, text))
        if attempt.content != seen.content:
            text = f"command was changed request={seen.request_id} gateway={seen.gateway}"
            found.append(Violation(Rule.ALTERED, attempt.last_byte_at, text))
        time_left_s = seen.sent_at + seen.wait_s - attempt.last_byte_at
        over_s = attempt.wait_ms / 1000 - time_left_s
        if over_s > DEADLINE_SLACK_S + slack_s:
            text = f"tells {over_s:.3f} more than is left request={seen.request_id} gateway={seen.gateway}"
            found.append(Violation(Rule.DEADLINE, attempt.last_byte_at, text))
    return found


# Rule 2: no request takes effect twice.


def _check_repeats(
    deployment: Deployment,
    kind: RequestKind,
    request_id: str,
    attempts: list[AttemptSeen],
    timing: Timing,
) -> list[Violation]:
    found = []
    for gateway, number in Counter(a.gateway for a in attempts).items():
        if number > deployment.max_attempts:
            text = f"{number} attempts request={request_id} gateway={gateway}"
            found.append(Violation(Rule.TOO_MANY_ATTEMPTS, attempts[-1].last_byte_at, text))
    found += _check_concurrent_attempts(deployment, request_id, attempts, timing)
    executed = [a for a in attempts if a.may_have_executed]
    if kind.effect is Effect.NOT_IDEMPOTENT and len(executed) > 1:
        servers = [a.server for a in executed]
        text = f"ran {len(executed)} times request={request_id} servers={servers}"
        found.append(Violation(Rule.DUPLICATE, executed[1].last_byte_at, text))
    if kind.effect is Effect.KEYED:
        found += _check_keyed(deployment, kind, executed, timing)
    return found


def _check_concurrent_attempts(
    deployment: Deployment, request_id: str, attempts: list[AttemptSeen], timing: Timing
) -> list[Violation]:
    if deployment.allows_hedging:
        return []
    found = []
    for before, after in pairwise(attempts):
        # A pause is no excuse: the one has to end before the other is written.
        slack_s = timing.lag_s(after.last_byte_at, after.last_byte_at)
        is_out = (
            before.ended_at is None or before.ended_at > after.last_byte_at + CONCURRENCY_SLACK_S + slack_s
        )
        if is_out and before.gateway == after.gateway:
            text = f"two attempts at once request={request_id}"
            found.append(Violation(Rule.CONCURRENT_ATTEMPTS, after.last_byte_at, text))
    return found


def _check_keyed(
    deployment: Deployment, kind: RequestKind, executed: list[AttemptSeen], timing: Timing
) -> list[Violation]:
    found = []
    for attempt in executed[1:]:
        first = executed[0]
        slack_s = timing.slack_s(attempt.gateway, attempt.last_byte_at, attempt.last_byte_at)
        if attempt.last_byte_at - first.first_byte_at > kind.window_s + WINDOW_SLACK_S + slack_s:
            text = f"key out of its window request={attempt.request_id}"
            found.append(Violation(Rule.DUPLICATE, attempt.last_byte_at, text))
        if _group(deployment, kind.scope, first.server) != _group(deployment, kind.scope, attempt.server):
            text = f"key unknown there request={attempt.request_id} scope={kind.scope}"
            found.append(Violation(Rule.DUPLICATE, attempt.last_byte_at, text))
    return found


def _group(deployment: Deployment, scope: str, server: int) -> int:
    if scope == "zone":
        return server % len(deployment.zones)
    return server // 4 if scope == "cell" else 0


def _check_refusals(
    deployment: Deployment, record: Record, attempts: dict[str, list[AttemptSeen]]
) -> list[Violation]:
    found = []
    for seen in record.requests:
        kind = deployment.kinds[seen.kind]
        is_harmless = kind.effect is Effect.IDEMPOTENT or (
            kind.effect is Effect.KEYED and kind.scope == "all"
        )
        response = seen.response
        if response is None or response.answer is not Answer.REJECTED or is_harmless:
            continue
        executed = [a for a in attempts.get(seen.request_id, []) if a.may_have_executed]
        if executed:
            text = f"rejected though it may have run request={seen.request_id}"
            found.append(Violation(Rule.FALSE_REFUSAL, response.at, text))
    return found


# Processes and clients that misbehave.


def _check_processes(processes: Iterable[ProcessSeen]) -> list[Violation]:
    found = []
    for seen in processes:
        name = f"gateway={seen.gateway} process={seen.number}"
        ready_s = None if seen.ready_at is None else seen.ready_at - seen.started_at
        was_ended = seen.killed_at is not None or seen.terminated_at is not None
        if seen.exited_at is not None and not was_ended:
            text = f"ended by itself, status {seen.exit_status} {name}"
            found.append(Violation(Rule.CRASH, seen.exited_at, text))
        elif seen.exit_status not in (0, None) and seen.killed_at is None:
            text = f"exit status {seen.exit_status} {name}"
            found.append(Violation(Rule.CRASH, seen.exited_at or 0.0, text))
        if (ready_s is None and not was_ended) or (ready_s or 0.0) > READY_WITHIN_S:
            text = f"ready after {ready_s} {name}"
            found.append(Violation(Rule.READY, seen.started_at, text))
        found += [Violation(Rule.REPORTED_ITSELF, seen.started_at, f"{name} {line}") for line in seen.faults]
    return found


def _check_bad_clients(
    bad_clients: Iterable[BadClientSeen], processes: dict[ProcessKey, ProcessSeen], timing: Timing
) -> list[Violation]:
    found = []
    for seen in bad_clients:
        due_at = seen.connected_at + BAD_CLIENT_WITHIN_S
        slack_s = timing.slack_s(seen.gateway, seen.connected_at, due_at)
        if processes[seen.gateway, seen.process].killed_at is not None:
            continue
        if seen.done_at is None or seen.done_at > due_at + slack_s:
            text = f"neither error nor close for {seen.what!r} gateway={seen.gateway}"
            found.append(Violation(Rule.BAD_CLIENT, due_at, text))
    return found


def _final_share(record: Record) -> float | None:
    """Return the share served of the requests after the faults, None where they are too few."""
    begin, end = record.faults_end_at + SETTLING_S, record.ends_at - 1.0
    requests = [seen for seen in record.requests if begin <= seen.sent_at < end]
    last = [seen for seen in requests if seen.plan == 0 and seen.wait_s >= MIN_FINAL_WAIT_S]
    if len(last) < MIN_FINAL_REQUESTS:
        return None
    served = [seen for seen in last if seen.response and seen.response.answer is Answer.SERVED]
    return len(served) / len(last)
