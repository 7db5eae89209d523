"""Actions of the engine on attempts: starts and cancels them on the connections to endpoints."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ...types import AttemptEnded, CancelAttempt, Outcome, Send
from ...units import SECOND
from ..endpoints.attempt import Attempt
from .open_request import OpenRequest
from .repeat_guard import RepeatGuard
from .request_context import RequestContext
from .request_log import log_retry, retry_cause

log = logging.getLogger(__name__)


class AttemptConnections(Protocol):
    """Interface of the connections to endpoints that `RequestAttempts` uses."""

    def start_attempt(self, attempt: Attempt, timeout_s: float | None) -> None:
        """Start an attempt; its end is reported exactly once, never before this returns."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose response is no longer needed."""


class RequestAttempts:
    """Starts and cancels attempts as the engine decides."""

    def __init__(
        self, context: RequestContext, connections: AttemptConnections, repeat_guard: RepeatGuard
    ) -> None:
        self._clock = context.clock
        self._requests = context.requests
        self._connections = connections
        self._repeat_guard = repeat_guard
        self._handle = context.dispatcher.handle
        self._metrics = context.metrics
        self._loop = asyncio.get_running_loop()

    def start(self, action: Send) -> None:
        """Start an attempt, or report it as not sent if the request has ended or a guard refuses it."""
        request = self._requests.get(action.request_id)
        now = self._clock()
        if request is None:
            # The engine counts the attempt as in flight until its end is reported.
            log.error("attempt_of_closed_request request=%d", action.request_id)
            self._report_not_sent(action, 0, request_finished=True)
            return
        attempt_number = request.attempts_started
        is_refused = attempt_number > 0 and not self._may_repeat(request, action.endpoint, now)
        request.attempts_started += 1
        is_finished = request.closed or self._requests.client_has_disconnected(request)
        time_left = request.deadline - now
        if is_finished or is_refused or time_left <= 0:
            self._report_not_sent(action, attempt_number, request_finished=is_finished)
            return
        has_own_timeout = 0 < action.timeout < time_left
        attempt = Attempt(
            request=action.request_id,
            number=attempt_number,
            endpoint=action.endpoint,
            started_at_ns=now,
            expires_at_ns=now + (action.timeout if has_own_timeout else time_left),
            command=request.client_request.command,
            send_deadline_ns=action.send_deadline,
        )
        request.attempts.append(attempt)
        request.attempts_in_flight_by_number[attempt_number] = attempt
        self._connections.start_attempt(attempt, action.timeout / SECOND if has_own_timeout else None)

    def _may_repeat(self, request: OpenRequest, endpoint: int, now: int) -> bool:
        """Count and log a retry with its cause, and return whether the repeat guard allows it."""
        cause = retry_cause(request.attempts)
        self._metrics.retries[cause] += 1
        log_retry(request.client_id, cause, request.attempts_started, endpoint)
        return self._repeat_guard.allows_attempt(request, endpoint, now)

    def _report_not_sent(self, action: Send, attempt_number: int, request_finished: bool) -> None:
        event = AttemptEnded(
            request_id=action.request_id,
            request_finished=request_finished,
            actual_units=0,
            endpoint=action.endpoint,
            quota_usage=0,
            outcome=Outcome.NOT_SENT,
            elapsed=0,
            attempt=attempt_number,
            load_report=(),
        )
        self._loop.call_soon(self._handle, event, action.request_id)

    def cancel(self, action: CancelAttempt) -> None:
        """Cancel an attempt in a later iteration of the event loop, as its end is a separate event."""
        request = self._requests.get(action.request_id)
        if (
            request is not None
            and (attempt := request.attempts_in_flight_by_number.get(action.attempt)) is not None
        ):
            self._loop.call_soon(self._cancel_if_in_flight, attempt)

    def _cancel_if_in_flight(self, attempt: Attempt) -> None:
        request = self._requests.get(attempt.request)
        if request is not None and attempt.number in request.attempts_in_flight_by_number:
            self._connections.cancel_attempt(attempt)
