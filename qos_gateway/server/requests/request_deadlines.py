"""Deadlines of open requests; at its deadline a request fails and its attempts are cancelled."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ...types import ClientDisconnected
from ...units import MILLISECOND, SECOND
from ..clients.request_parser import ClientRequest
from ..endpoints.attempt import Attempt
from ..observability.metrics import RequestResult
from .final_replies import TIMED_OUT_REPLY
from .open_request import OpenRequest
from .request_context import RequestContext

# Deducted from the time of each request, for network latency in both directions and event loop delays.
DEADLINE_MARGIN_NS = 10 * MILLISECOND
NO_DEADLINE_NS = 1 << 62  # later than the end of any request


class ExpiringAttempts(Protocol):
    """Interface of the connections to endpoints that `RequestDeadlines` uses."""

    def expire_attempt(self, attempt: Attempt) -> None:
        """End an attempt that is past its deadline."""

    def start_deadline_grace(self, attempt: Attempt) -> None:
        """Limit the time for which a value is streamed after the request's deadline."""


class RequestDeadlines:
    """Sets the deadline of each request, and ends the request at that time."""

    def __init__(self, context: RequestContext, attempts: ExpiringAttempts) -> None:
        self.clock = context.clock
        self.latest_deadline = NO_DEADLINE_NS  # bounds all requests; lowered when the process stops
        self._class_deadlines = tuple(request_class.deadline for request_class in context.settings.classes)
        self._requests = context.requests
        self._attempts = attempts
        self._handle = context.dispatcher.handle
        self._loop = asyncio.get_running_loop()

    def deadline_for(self, client_request: ClientRequest, waited_s: float) -> int:
        """Return the deadline in ns of a request that was received `waited_s` ago."""
        now = self.clock()
        class_deadline = self._class_deadlines[client_request.class_index]
        time_limit = min(client_request.wait_ms * MILLISECOND, class_deadline)
        time_left = max(0, time_limit - int(waited_s * SECOND) - DEADLINE_MARGIN_NS)
        return min(now + time_left, self.latest_deadline)

    def schedule(self, number: int, request: OpenRequest) -> None:
        """Start the deadline timer of an open request."""
        delay_ns = max(0, request.deadline - self.clock())
        request.deadline_timer = self._loop.call_later(delay_ns / SECOND, self.on_deadline, number)

    def on_deadline(self, number: int) -> None:
        """Cancel the attempts of an expired request and send its final response."""
        request = self._requests[number]
        if request.deadline > self.clock():  # timers have a resolution of 1 ms and may fire early
            self.schedule(number, request)
            return
        if request.streaming_attempt is not None and self._may_continue_streaming(number, request):
            return
        for attempt in list(request.attempts_in_flight_by_number.values()):
            self._attempts.expire_attempt(attempt)
        if not request.closed:
            # The engine did not end it. FAILED leaves open whether it was executed.
            self._requests.answer(number, request, TIMED_OUT_REPLY, RequestResult.FAILED)
            self._handle(ClientDisconnected(number))

    def _may_continue_streaming(self, number: int, request: OpenRequest) -> bool:
        """Return whether a large value may be streamed past the deadline, and limit the time for it.

        A value of which nothing has been written is aborted, so that the client gets the failure in time. A
        stopping process streams nothing past its latest deadline.
        """
        attempt, stream = request.streaming_attempt, request.pending_reply.stream
        now = self.clock()
        if attempt is None or stream is None or not stream.started:
            return False
        if now >= self.latest_deadline:
            return False
        self._attempts.start_deadline_grace(attempt)
        if self.latest_deadline != NO_DEADLINE_NS and number in self._requests:
            delay_s = (self.latest_deadline - now) / SECOND
            request.deadline_timer = self._loop.call_later(delay_s, self.on_deadline, number)
        return True
