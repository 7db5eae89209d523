"""Checks of responses: each request gets its final response in time, with a value made for it."""

from __future__ import annotations

from soak.checks.history import History
from soak.checks.violations import Rule, Violation
from soak.observations import Answer, ConnectionEnd, RequestSeen, ResponseSeen
from soak.order_servers import response_value

RESPONSE_SLACK_S = 0.05 + 0.5  # after the client's deadline
PIPELINED_RESPONSE_SLACK_S = 0.05  # after the previous response on the connection
CERTAIN_READ_S = 0.3  # within which the gateway has read a request that was written
LOST_AFTER_TERM_S = 0.7  # from SIGTERM: the platform may send SIGKILL while a request sent by then is open
INVALID_COMMAND_WITHIN_S = 3.0


def check_responses(history: History) -> list[Violation]:
    """Find requests whose final response is missing or late, or has the value of another request."""
    found = []
    for seen in history.record.requests:
        if seen.client_closed_at is None:
            found += _check_response(history, seen)
    return found


def _check_response(history: History, seen: RequestSeen) -> list[Violation]:
    expires_at = seen.sent_at + seen.wait_s + RESPONSE_SLACK_S
    slack_s = history.timing.slack_s(seen.gateway, seen.sent_at, expires_at)
    pipelined_due_at = seen.ready_at + PIPELINED_RESPONSE_SLACK_S + slack_s
    due_at = max(expires_at + slack_s, pipelined_due_at)
    if seen.response is not None:
        late = _check_time(seen, seen.response, due_at)
        return late + _check_value(history, seen, seen.response)
    if _is_excused(history, seen, due_at):
        return []
    if seen.connection_end is None:
        text = f"no answer request={seen.request_id} gateway={seen.gateway}"
        return [Violation(Rule.LOST, due_at, text)]
    return _check_closed(history, seen, seen.connection_end, slack_s)


def _check_time(seen: RequestSeen, response: ResponseSeen, due_at: float) -> list[Violation]:
    if response.at <= due_at:
        return []
    late_s = response.at - seen.sent_at - seen.wait_s
    text = f"answer late by {late_s:.3f} request={seen.request_id} gateway={seen.gateway}"
    return [Violation(Rule.LOST, response.at, text)]


def _check_value(history: History, seen: RequestSeen, response: ResponseSeen) -> list[Violation]:
    if response.answer is not Answer.SERVED:
        return []
    made = [response_value(seen.request_id, a.server) for a in history.attempts_of(seen.request_id)]
    if response.value in made:
        return []
    text = f"value made by no server request={seen.request_id} value={response.value[:40]!r}"
    return [Violation(Rule.WRONG_VALUE, response.at, text)]


def _check_closed(history: History, seen: RequestSeen, end: ConnectionEnd, slack_s: float) -> list[Violation]:
    """Check a request whose connection the gateway closed: it may close only before it reads the request."""
    attempts = history.attempts_of(seen.request_id)
    # Later ones are of the client's second sending, which may go to the same gateway.
    forwarded = any(a.gateway == seen.gateway and a.first_byte_at <= end.at for a in attempts)
    waited_s = end.at - seen.sent_at
    if seen.reads_slowly and not forwarded:
        return []  # it learned of the end, which the request had crossed, only after reading what came before
    was_read = forwarded or (not end.by_reset and waited_s > CERTAIN_READ_S + slack_s)
    if not was_read and waited_s <= seen.wait_s:
        return []
    text = (
        f"closed with no answer request={seen.request_id} gateway={seen.gateway} "
        f"after={waited_s:.3f} forwarded={forwarded} reset={end.by_reset}"
    )
    return [Violation(Rule.LOST, end.at, text)]


def _is_excused(history: History, seen: RequestSeen, due_at: float) -> bool:
    """Return whether the request's process was sent SIGKILL, as the scenario plans, while it was open."""
    process = history.process(seen.gateway, seen.process)
    if process.killed_at is None or process.killed_at > due_at:
        return False
    if process.terminated_at is None:
        return True
    return seen.sent_at <= process.terminated_at + LOST_AFTER_TERM_S


def check_bad_clients(history: History) -> list[Violation]:
    """Find clients without a valid command that received neither an error nor a close in time."""
    found = []
    for seen in history.record.bad_clients:
        due_at = seen.connected_at + INVALID_COMMAND_WITHIN_S
        slack_s = history.timing.slack_s(seen.gateway, seen.connected_at, due_at)
        if history.process(seen.gateway, seen.process).killed_at is not None:
            continue
        if seen.done_at is None or seen.done_at > due_at + slack_s:
            text = f"neither error nor close for {seen.what!r} gateway={seen.gateway}"
            found.append(Violation(Rule.BAD_CLIENT, due_at, text))
    return found
