"""The deadlines of open requests, and the cancellation of what is left of a request at its deadline."""

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

DEADLINE_MARGIN_NS = 10 * MILLISECOND  # for the network to and from the client, and delays of the event loop
NO_DEADLINE_NS = 1 << 62  # later than any request ends


class ExpiringAttempts(Protocol):
    """What deadlines need of the connections to endpoints."""

    def expire_attempt(self, attempt: Attempt) -> None:
        """End an attempt that is past its deadline."""

    def start_deadline_grace(self, attempt: Attempt) -> None:
        """Bound the time for which a value is streamed past the request's deadline."""


class RequestDeadlines:
    """Sets the deadline of each request, and ends the request at that time."""

    def __init__(self, context: RequestContext, attempts: ExpiringAttempts) -> None:
        self.clock = context.clock
        self.latest_deadline = NO_DEADLINE_NS  # of any request; brought forward when the process stops
        self._class_deadlines = tuple(request_class.deadline for request_class in context.settings.classes)
        self._requests = context.requests
        self._attempts = attempts
        self._handle = context.dispatcher.handle
        self._loop = asyncio.get_running_loop()

    def deadline_of(self, client_request: ClientRequest, waited_s: float) -> int:
        """Return the deadline in ns of a request that was received `waited_s` ago."""
        now = self.clock()
        class_deadline = self._class_deadlines[client_request.class_index]
        time_limit = min(client_request.wait_ms * MILLISECOND, class_deadline)
        time_left = max(0, time_limit - int(waited_s * SECOND) - DEADLINE_MARGIN_NS)
        return min(now + time_left, self.latest_deadline)

    def schedule(self, number: int, request: OpenRequest) -> None:
        """Start the timer of an open request."""
        delay_ns = max(0, request.deadline - self.clock())
        request.deadline_timer = self._loop.call_later(delay_ns / SECOND, self.on_deadline, number)

    def on_deadline(self, number: int) -> None:
        """Cancel the attempts of an expired request and send its final response."""
        request = self._requests[number]
        if request.deadline > self.clock():  # timers have a resolution of 1 ms and may fire early
            self.schedule(number, request)
            return
        if request.streaming_attempt is not None and self._may_stream_on(number, request):
            return
        for attempt in list(request.attempts_in_flight.values()):
            self._attempts.expire_attempt(attempt)
        if not request.closed:
            # The engine has not ended it. FAILED makes no statement on whether it was executed.
            self._requests.answer(number, request, TIMED_OUT_REPLY, RequestResult.FAILED)
            self._handle(ClientDisconnected(number))

    def _may_stream_on(self, number: int, request: OpenRequest) -> bool:
        """Return whether a large value is still streamed past the deadline, and bound for how long.

        A value of which nothing was written is not, so that the client gets its failure in time. A process
        that stops streams none past its latest deadline.
        """
        attempt, stream = request.streaming_attempt, request.pending_reply.stream
        now = self.clock()
        if attempt is None or stream is None or not stream.may_outlast_deadline():
            return False
        if now >= self.latest_deadline:
            return False
        self._attempts.start_deadline_grace(attempt)
        if self.latest_deadline != NO_DEADLINE_NS and number in self._requests:
            delay_s = (self.latest_deadline - now) / SECOND
            request.deadline_timer = self._loop.call_later(delay_s, self.on_deadline, number)
        return True
