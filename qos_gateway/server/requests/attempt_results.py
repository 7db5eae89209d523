"""Results of attempts: converted to responses to clients and events for the engine."""

from __future__ import annotations

from ...edge_names import LoadReportName
from ...types import (
    AttemptEnded,
    ClientDisconnected,
    Idempotence,
    Outcome,
    ProbeEnded,
    RejectReason,
    ResponseStarted,
)
from ..clients.streamed_reply import VALUE_END, StreamedReply
from ..endpoints.attempt import Attempt, ProbeAttempt
from ..endpoints.responses import AttemptResult, LoadReport
from ..memory.budget import Priority
from ..networking.value_stream import FlowControl
from ..observability.activity_log import ActivityLog
from ..observability.metrics import RequestResult
from .final_replies import FAILED_REPLY, REJECTED_REPLY
from .open_request import OpenRequest
from .request_context import RequestContext
from .send_guard import SendGuard

MAX_QUOTA_USAGE_PERCENT = 60_000  # quota usage is a 16-bit field in the engine


class AttemptResults:
    """Handles the callbacks of the connections to endpoints."""

    def __init__(self, context: RequestContext, send_guard: SendGuard, activity: ActivityLog) -> None:
        self._report_names = context.settings.report_names
        self._request_classes = context.settings.classes
        self._metrics = context.metrics
        self._clock = context.clock
        self._requests = context.requests
        self._handle = context.dispatcher.handle
        self._send_guard = send_guard
        self._activity = activity

    def is_client_waiting(self, attempt: Attempt) -> bool:
        """Return whether the client of an attempt that is about to be written is still connected."""
        request = self._requests.get(attempt.request)
        return request is None or not self._requests.client_has_disconnected(request)

    def memory_priority(self, attempt: Attempt) -> Priority | None:
        """Return the priority of the memory for a response, None if it is no longer needed."""
        request = self._requests.get(attempt.request)
        if request is None or request.closed:
            return None
        return request.pending_reply.client.memory_priority(request.pending_reply)

    def may_retry(self, attempt: Attempt) -> bool:
        """Return whether the request may be retried although the attempt has been executed."""
        request = self._requests.get(attempt.request)
        return request is None or self._request_classes[request.class_index].is_retryable_after_execution

    def on_response_without_memory(self, attempt: Attempt) -> None:
        """End a request whose response cannot be received, as there is no memory for it.

        The client may repeat a request that is idempotent.
        """
        number = attempt.request
        request = self._requests.get_unanswered(number)
        if request is None:
            return
        request_class = self._request_classes[request.class_index]
        if request_class.idempotence is Idempotence.IDEMPOTENT:
            self._metrics.rejections[RejectReason.MEMORY_LIMIT] += 1
            self._requests.answer(number, request, REJECTED_REPLY, RequestResult.REJECTED)
        else:
            self._requests.answer(number, request, FAILED_REPLY, RequestResult.FAILED)
        self._handle(ClientDisconnected(number))

    def allows_send(self, attempt: Attempt, is_drained: bool, now: int) -> bool:
        """Return whether the send guard allows writing an attempt at `now`, in ns."""
        request = None if isinstance(attempt, ProbeAttempt) else self._requests.get(attempt.request)
        return self._send_guard.allows(attempt, request, is_drained, now)

    def on_response_started(self, attempt: Attempt, length: int, flow: FlowControl) -> StreamedReply | None:
        """Start to stream a large value to the client.

        Returns None if the request is answered or another attempt's value is being streamed.
        """
        number = attempt.request
        request = self._requests[number]
        if request.closed or request.streaming_attempt is not None:
            return None
        request.streaming_attempt = attempt
        if attempt.timer is not None:
            attempt.timer.cancel()
        pending_reply = request.pending_reply
        stream = pending_reply.client.start_stream(pending_reply, length, flow)
        elapsed = _time_to_first_byte(attempt)
        self._handle(ResponseStarted(number, elapsed, attempt.number, attempt.endpoint), number)
        return None if request.closed else stream

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult) -> None:
        """Answer the client if this result decides the request, and report it to the engine."""
        outcome, value, report = result
        elapsed = max(0, self._clock() - attempt.started_at_ns)
        load_report = self._load_report(report)
        if isinstance(attempt, ProbeAttempt):
            self._handle(ProbeEnded(outcome, attempt.endpoint, elapsed, load_report))
            return
        self._activity.attempt_outcomes[outcome] += 1
        number = attempt.request
        request = self._requests[number]
        request.attempts_in_flight_by_number.pop(attempt.number, None)
        if attempt.response_started_at_ns:
            elapsed = _time_to_first_byte(attempt)  # the rest depends on the client, and on memory
        if not request.closed:
            self._answer_with(request, attempt, outcome, value)
        event = AttemptEnded(
            request_id=number,
            request_finished=request.closed or request.streaming_attempt is not None,
            actual_units=0,
            endpoint=attempt.endpoint,
            quota_usage=_quota_usage(report),
            outcome=outcome,
            elapsed=elapsed,
            attempt=attempt.number,
            load_report=load_report,
        )
        self._handle(event, number)
        self._requests.remove_if_finished(number, request)

    def _answer_with(
        self, request: OpenRequest, attempt: Attempt, outcome: Outcome, value: bytes | None
    ) -> None:
        """Send the final response of an open request if this result decides it.

        Once a large value is being received, only its attempt decides: part of it may be written already.
        """
        number = attempt.request
        if request.streaming_attempt is not None:
            if request.streaming_attempt is not attempt:
                return
            if outcome is Outcome.OK:
                self._requests.answer(number, request, VALUE_END, RequestResult.SERVED)
            else:
                self._requests.answer(number, request, FAILED_REPLY, RequestResult.FAILED)
        elif outcome is Outcome.OK and value is not None:
            reply = b"$%d\r\n%b\r\n" % (len(value), value)
            self._requests.answer(number, request, reply, RequestResult.SERVED)

    def _load_report(self, report: LoadReport) -> tuple[float, ...]:
        """Return the values named in the settings, in that order; empty unless all are reported."""
        names = self._report_names
        return tuple(report[name] for name in names) if report and report.keys() >= set(names) else ()


def _time_to_first_byte(attempt: Attempt) -> int:
    return max(0, attempt.response_started_at_ns - attempt.started_at_ns)


def _quota_usage(report: LoadReport) -> int:
    """Return one more than the percentage of the customer's quota in use, or 0 if it is not reported."""
    if LoadReportName.QUOTA_USAGE not in report:
        return 0
    return 1 + min(MAX_QUOTA_USAGE_PERCENT, int(report[LoadReportName.QUOTA_USAGE]))
