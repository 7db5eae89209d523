"""The attempts of requests: each begins by order of the engine, and its end becomes an event."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

from ...edge_names import LoadReportName
from ...types import AttemptEnded, CancelAttempt, Outcome, ProbeEnded, ResponseStarted, Send, Settings
from ...units import SECOND
from ..clients.pending_replies import StreamedReply
from ..endpoints.attempt import Attempt, ProbeAttempt
from ..endpoints.connections import EndpointConnections
from ..endpoints.responses import LoadReport
from ..event_dispatcher import EventDispatcher
from ..networking.value_stream import FlowControl
from ..observability.activity_log import ActivityLog
from ..observability.close_reasons import CloseReason
from ..observability.metrics import Metrics, RequestResult
from .open_requests import FAILED_ANSWER, OpenRequest, OpenRequests
from .repeat_guard import RepeatGuard
from .request_log import log_retry, retry_cause
from .send_guard import SendGuard

log = logging.getLogger(__name__)

MAX_QUOTA_USAGE_PERCENT = 60_000  # an endpoint's figure is cut here: the engine's field has 16 bits


class RequestAttempts:
    """Starts and cancels attempts on the connection pools, and takes in what comes of them."""

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], int],
        dispatcher: EventDispatcher,
        requests: OpenRequests,
        activity: ActivityLog,
        metrics: Metrics,
    ) -> None:
        self._report_names = settings.report_names
        self._clock = clock
        self._handle = dispatcher.handle
        self._requests = requests
        self._activity = activity
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._endpoint_connections: EndpointConnections
        self._send_guard: SendGuard
        self._repeat_guard: RepeatGuard

    def bind(
        self, endpoint_connections: EndpointConnections, send_guard: SendGuard, repeat_guard: RepeatGuard
    ) -> None:
        """Name the pools that attempts run on, and the guards; to be called before the first attempt."""
        self._endpoint_connections = endpoint_connections
        self._send_guard = send_guard
        self._repeat_guard = repeat_guard

    # Orders of the engine.

    def start(self, action: Send) -> None:
        """Start an attempt, or report it as not sent where nobody waits for it any more."""
        request = self._requests.get(action.request_id)
        now = self._clock()
        if request is None:
            # The engine counts it as in flight all the same, until it is told that it is not.
            log.error("attempt_of_closed_request request=%d", action.request_id)
            self._report_not_sent(action, 0, request_finished=True)
            return
        index = request.attempts_started
        is_refused = index > 0 and not self._may_repeat(request, action.endpoint, now)
        request.attempts_started += 1
        finished = request.closed or self._client_has_left(request)
        time_left = request.deadline - now
        if finished or is_refused or time_left <= 0:
            self._report_not_sent(action, index, request_finished=finished)
            return
        has_own_timeout = 0 < action.timeout < time_left
        expires = now + (action.timeout if has_own_timeout else time_left)
        call = request.call
        parts = (call.command_start, call.pairs_before_deadline, call.pairs_after_deadline, call.body)
        attempt = Attempt(
            action.request_id, index, action.endpoint, now, expires, parts, action.send_deadline
        )
        request.attempts.append(attempt)
        request.attempts_in_flight[index] = attempt
        self._endpoint_connections.start_attempt(
            attempt, action.timeout / SECOND if has_own_timeout else None
        )

    def _may_repeat(self, request: OpenRequest, endpoint: int, now: int) -> bool:
        """Count and log a further attempt with its cause, and return whether the guard allows it."""
        cause = retry_cause(request.attempts)
        self._metrics.retries[cause] += 1
        log_retry(request.client_id, cause, request.attempts_started, endpoint)
        return self._repeat_guard.allows_attempt(request, endpoint, now)

    def cancel(self, action: CancelAttempt) -> None:
        """Stop waiting for an attempt, in a later turn of the loop: its end is an event of its own."""
        request = self._requests.get(action.request_id)
        if request is not None and (attempt := request.attempts_in_flight.get(action.attempt)) is not None:
            self._loop.call_soon(self._cancel_if_in_flight, attempt)

    def _cancel_if_in_flight(self, attempt: Attempt) -> None:
        request = self._requests.get(attempt.request)
        if request is not None and attempt.number in request.attempts_in_flight:
            self._endpoint_connections.cancel_attempt(attempt)

    def _report_not_sent(self, action: Send, index: int, request_finished: bool) -> None:
        event = AttemptEnded(
            request_id=action.request_id,
            request_finished=request_finished,
            actual_units=0,
            endpoint=action.endpoint,
            quota_usage=0,
            outcome=Outcome.NOT_SENT,
            elapsed=0,
            attempt=index,
            load_report=(),
        )
        self._loop.call_soon(self._handle, event, action.request_id)

    def _client_has_left(self, request: OpenRequest) -> bool:
        """Return whether the client has closed its connection, though the loop may not have read that yet.

        Asked before each attempt: one that begins more than 0.1 s after the close would break a rule.
        """
        client = request.slot.client
        if not client.has_hung_up():
            return False
        self._loop.call_soon(
            client.abort, CloseReason.HANGUP_SEEN
        )  # its requests end where all do whose client has left
        return True

    # Calls of the connection pools.

    def is_wanted(self, attempt: Attempt) -> bool:
        """Return whether the client of an attempt about to be written still waits."""
        request = self._requests.get(attempt.request)
        return request is None or not self._client_has_left(request)

    def allows_send(self, attempt: Attempt, is_drained: bool, now: int) -> bool:
        """Return whether the guard lets an attempt be written now."""
        request = None if isinstance(attempt, ProbeAttempt) else self._requests.get(attempt.request)
        return self._send_guard.allows(attempt, request, is_drained, now)

    def on_response_started(self, attempt: Attempt, length: int, flow: FlowControl) -> StreamedReply | None:
        """Begin to stream a large value; None if nobody waits for it or another one is on its way."""
        number = attempt.request
        request = self._requests[number]
        if request.closed or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = attempt
        if attempt.timer is not None:
            attempt.timer.cancel()
        relay = request.slot.client.start_stream(request.slot, length, flow)
        elapsed = max(0, attempt.response_started_at - attempt.started_at)
        self._handle(ResponseStarted(number, elapsed, attempt.number, attempt.endpoint), number)
        return None if request.closed else relay

    def on_attempt_ended(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """Answer the client where this was the response, and tell the engine how the attempt ended."""
        elapsed = max(0, self._clock() - attempt.started_at)
        load_report = self._load_report(report)
        if isinstance(attempt, ProbeAttempt):
            self._handle(ProbeEnded(outcome, attempt.endpoint, elapsed, load_report))
            return
        self._activity.attempt_outcomes[outcome] += 1
        number = attempt.request
        request = self._requests[number]
        request.attempts_in_flight.pop(attempt.number, None)
        if request.streaming_attempt is attempt:
            elapsed = max(
                0, attempt.response_started_at - attempt.started_at
            )  # what came after it was the network's time
        if not request.closed:
            self._answer_with(request, attempt, outcome, value)
        finished = request.closed or request.streaming_attempt is not None
        event = AttemptEnded(
            request_id=number,
            request_finished=finished,
            actual_units=0,
            endpoint=attempt.endpoint,
            quota_usage=_quota_usage(report),
            outcome=outcome,
            elapsed=elapsed,
            attempt=attempt.number,
            load_report=load_report,
        )
        self._handle(event, number)
        self._requests.forget_if_over(number, request)

    def _answer_with(
        self, request: OpenRequest, attempt: Attempt, outcome: Outcome, value: bytes | None
    ) -> None:
        """Answer an open request if the end of this attempt settles it."""
        number = attempt.request
        if request.streaming_attempt is attempt:
            if outcome is Outcome.OK:
                relay = cast(StreamedReply, request.slot.stream)
                self._requests.answer(number, request, relay.finish(), RequestResult.SERVED)
            else:
                self._requests.answer(number, request, FAILED_ANSWER, RequestResult.FAILED)
        elif outcome is Outcome.OK and value is not None:
            answer = b"$%d\r\n%b\r\n" % (len(value), value)
            self._requests.answer(number, request, answer, RequestResult.SERVED)

    def _load_report(self, report: LoadReport) -> tuple[float, ...]:
        """Return the figures that the settings name, in their order; none unless all of them came."""
        names = self._report_names
        return tuple(report[name] for name in names) if report and report.keys() >= set(names) else ()


def _quota_usage(report: LoadReport) -> int:
    """Return one more than the percentage of the customer's quota in use, or 0 where none was told."""
    if LoadReportName.QUOTA_USAGE not in report:
        return 0
    return 1 + min(MAX_QUOTA_USAGE_PERCENT, int(report[LoadReportName.QUOTA_USAGE]))
