"""Actions of the engine that end a request: rejection, failure, and failure after an internal fault."""

from __future__ import annotations

from ...types import ClientDisconnected, Fail, Reject
from ..observability.metrics import RequestResult
from .final_replies import FAILED_REPLY, INTERNAL_FAULT_REPLY, rejected_reply
from .repeat_guard import RepeatGuard
from .request_context import RequestContext
from .request_log import log_rejection


class FinalActions:
    """Sends the final responses that the engine decides; those for answered requests are dropped."""

    def __init__(self, context: RequestContext, repeat_guard: RepeatGuard) -> None:
        self._requests = context.requests
        self._repeat_guard = repeat_guard
        self._handle = context.dispatcher.handle
        self._metrics = context.metrics

    def reject(self, action: Reject) -> None:
        """Reject a request, which allows its client to retry it.

        It fails instead if the repeat guard finds that it may have been executed.
        """
        request = self._requests.get_unanswered(action.request_id)
        if request is None:
            return
        log_rejection(request.client_id, action.reason, len(request.attempts))
        self._metrics.rejections[action.reason] += 1
        if self._repeat_guard.allows_rejection(request):
            reply, result = rejected_reply(action.retry_after), RequestResult.REJECTED
        else:
            reply, result = FAILED_REPLY, RequestResult.FAILED
        self._requests.answer(action.request_id, request, reply, result)

    def fail(self, action: Fail) -> None:
        """Fail a request; the reply does not say whether it was executed."""
        request = self._requests.get_unanswered(action.request_id)
        if request is not None:
            self._requests.answer(action.request_id, request, FAILED_REPLY, RequestResult.FAILED)

    def fail_after_fault(self, number: int) -> None:
        """Fail the request in which an internal fault occurred, and remove it from the engine."""
        request = self._requests.get_unanswered(number)
        if request is not None:
            self._requests.answer(number, request, INTERNAL_FAULT_REPLY, RequestResult.FAILED)
            self._handle(ClientDisconnected(number))
