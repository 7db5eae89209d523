"""The open requests: the one place where a request is taken in, answered and forgotten."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import Protocol

from ...types import Arrival, ClientDisconnected, Fail, Reject, RejectReason, Settings
from ...units import MILLISECOND, SECOND
from ..clients.pending_replies import PendingReply
from ..clients.request_parser import ClientRequest, InvalidCommandError
from ..endpoints.attempt import Attempt
from ..event_dispatcher import EventDispatcher
from ..observability.metrics import Metrics, RequestResult
from .repeat_guard import RepeatGuard
from .request_log import log_rejection

DEADLINE_MARGIN_NS = 10 * MILLISECOND  # off a client's time: the way to it and back, and a loop that lags
NO_DEADLINE_NS = 1 << 62  # later than any request ends

REJECTED_ANSWER = b"-BUSY\r\n"
FAILED_ANSWER = b"-ERR failed\r\n"
TIMED_OUT_ANSWER = b"-ERR out of time\r\n"
INTERNAL_FAULT_ANSWER = b"-ERR internal fault\r\n"


class AttemptControl(Protocol):
    """What the table needs of the connection pools: how to stop waiting for an attempt."""

    def has_usable(self) -> bool:
        """Return whether any endpoint takes requests."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose response is no longer wanted."""

    def expire_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose time is over."""

    def limit_overtime(self, attempt: Attempt) -> None:
        """Let a value that flows past its client's time go on for a little longer."""

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt unless it has been written whole."""


class OpenRequest:
    """A request from its arrival until its final answer and the end of its last attempt."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "attempts_started",
        "call",
        "closed",
        "deadline",
        "slot",
        "streaming_attempt",
        "timer",
    )

    def __init__(self, call: ClientRequest, slot: PendingReply, deadline: int) -> None:
        self.call = call
        self.slot = slot
        self.deadline = deadline
        self.closed = False  # answered, or its client has left
        self.streaming_attempt: Attempt | None = None  # the one whose large value flows to the client
        self.attempts_started = 0
        self.attempts: list[Attempt] = []  # all that were started, ended or not
        self.attempts_in_flight: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None

    @property
    def client_id(self) -> bytes:
        """Return the client's own id of the request."""
        return self.call.request_id

    @property
    def class_index(self) -> int:
        """Return the index of its class in the settings."""
        return self.call.class_index


class OpenRequests:
    """All open requests by number. Each gets one final answer at most, and none after its client left."""

    def __init__(
        self, settings: Settings, metrics: Metrics, clock: Callable[[], int], dispatcher: EventDispatcher
    ) -> None:
        self.clock = clock
        self.latest_deadline = NO_DEADLINE_NS  # brought forward once the process stops
        self._settings = settings
        self._metrics = metrics
        self._handle = dispatcher.handle
        self._loop = asyncio.get_running_loop()
        self._numbers = count(1)
        self._requests: dict[int, OpenRequest] = {}
        self._open_ids: set[bytes] = set()  # the clients' ids of those that still owe an answer
        self._attempts: AttemptControl
        self._repeat_guard: RepeatGuard

    def bind(self, attempts: AttemptControl, repeat_guard: RepeatGuard) -> None:
        """Name the pools that the attempts run on, and the guard; to be called before the first request."""
        self._attempts = attempts
        self._repeat_guard = repeat_guard

    def __len__(self) -> int:
        return len(self._requests)

    def __getitem__(self, number: int) -> OpenRequest:
        return self._requests[number]

    def get(self, number: int) -> OpenRequest | None:
        """Return an open request, or None once it is over."""
        return self._requests.get(number)

    def client_id(self, number: int) -> bytes:
        """Return the client's own id of an open request; nothing once it is over."""
        request = self._requests.get(number)
        return b"" if request is None or request.closed else request.client_id

    def unanswered(self) -> int:
        """Count the requests that still owe an answer."""
        return len(self._open_ids)

    # Calls of the clients' connections.

    def is_ready(self) -> bool:
        """Return whether a request could be sent on."""
        return self._attempts.has_usable()

    def submit(self, call: ClientRequest, slot: PendingReply, waited: float) -> None:
        """Take in a request that has waited here for so many seconds already.

        Raises `BadCall` while another request with its id is open.
        """
        if call.request_id in self._open_ids:
            raise InvalidCommandError("a request with this id is open")
        now = self.clock()
        number = next(self._numbers)
        time_limit = min(call.wait_ms * MILLISECOND, self._settings.classes[call.class_index].deadline)
        time_left = max(0, time_limit - int(waited * SECOND) - DEADLINE_MARGIN_NS)
        deadline = min(now + time_left, self.latest_deadline)
        request = OpenRequest(call, slot, deadline)
        self._open_ids.add(call.request_id)
        slot.request_number = number
        self._requests[number] = request
        arrival = Arrival(
            request_id=number,
            class_index=call.class_index,
            plan_index=call.plan_index,
            customer_id=call.customer_id,
            deadline=deadline,
            units=call.units,
            gateway_spread=call.gateway_spread,
            first_gateway=call.first_gateway,
            options=call.options,
        )
        self._handle(arrival, number)
        if number in self._requests:
            delay = max(0, deadline - self.clock())
            request.timer = self._loop.call_later(delay / SECOND, self.on_deadline, number)

    def shed(self, call: ClientRequest, slot: PendingReply) -> None:
        """Reject a request that there is no room for, before the engine sees it."""
        log_rejection(call.request_id, RejectReason.LOAD_LIMIT, 0)
        self._metrics.rejections[RejectReason.LOAD_LIMIT] += 1
        self._metrics.count_request(call.class_index, RequestResult.REJECTED)
        slot.client.reply(slot, REJECTED_ANSWER)

    def client_disconnected(self, number: int) -> None:
        """End a request whose client has left; what has not been written for it never will be."""
        request = self._requests.get(number)
        if request is None or request.closed:
            return
        self._close(number, request)
        self._handle(ClientDisconnected(number))
        if request.streaming_attempt is not None:
            self._attempts.cancel_attempt(request.streaming_attempt)
        for attempt in list(request.attempts_in_flight.values()):
            self._attempts.cancel_unsent(attempt)

    # Final answers.

    def reject(self, action: Reject) -> None:
        """Turn a request away: it has not run, and trying again is harmless."""
        request = self._requests.get(action.request_id)
        if request is None or request.closed:
            return
        log_rejection(request.client_id, action.reason, len(request.attempts))
        self._metrics.rejections[action.reason] += 1
        if not self._repeat_guard.allows_rejection(request):
            self.answer(action.request_id, request, FAILED_ANSWER, RequestResult.FAILED)
            return
        retry_after_ms = -(-action.retry_after // MILLISECOND)
        answer = b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else REJECTED_ANSWER
        self.answer(action.request_id, request, answer, RequestResult.REJECTED)

    def fail(self, action: Fail) -> None:
        """Answer that a request failed, which promises nothing on whether it ran."""
        request = self._requests.get(action.request_id)
        if request is not None and not request.closed:
            self.answer(action.request_id, request, FAILED_ANSWER, RequestResult.FAILED)

    def fail_after_fault(self, number: int) -> None:
        """Answer the request that an internal fault hit, if it is still open, and have it forgotten."""
        request = self._requests.get(number)
        if request is not None and not request.closed:
            self.answer(number, request, INTERNAL_FAULT_ANSWER, RequestResult.FAILED)
            self._handle(ClientDisconnected(number))

    def on_deadline(self, number: int) -> None:
        """End the attempts of a request whose time is over, and answer it come what may."""
        request = self._requests[number]
        time_left = request.deadline - self.clock()
        if time_left > 0:  # timers count in milliseconds and may come early
            request.timer = self._loop.call_later(time_left / SECOND, self.on_deadline, number)
            return
        if request.streaming_attempt is not None and self._may_flow_on(number, request):
            return
        for attempt in list(request.attempts_in_flight.values()):
            self._attempts.expire_attempt(attempt)
        if not request.closed:
            # The engine left it open, perhaps after a fault: a failure promises nothing.
            self.answer(number, request, TIMED_OUT_ANSWER, RequestResult.FAILED)
            self._handle(ClientDisconnected(number))

    def _may_flow_on(self, number: int, request: OpenRequest) -> bool:
        """Return whether a large value that has begun in time goes on past it, and limit for how long.

        Of one that is held nothing was written, so that the client gets its failure in time. A process that
        stops lets none go on until it would be killed.
        """
        attempt, stream = request.streaming_attempt, request.slot.stream
        now = self.clock()
        if attempt is None or stream is None or not stream.may_outlast_deadline():
            return False
        if now >= self.latest_deadline:
            return False
        self._attempts.limit_overtime(attempt)
        if self.latest_deadline != NO_DEADLINE_NS and number in self._requests:
            delay_s = (self.latest_deadline - now) / SECOND
            request.timer = self._loop.call_later(delay_s, self.on_deadline, number)
        return True

    def answer(self, number: int, request: OpenRequest, answer: bytes, result: RequestResult) -> None:
        """Give an open request its final answer, and count how it ended."""
        self._metrics.count_request(request.call.class_index, result)
        self._close(number, request)
        if request.streaming_attempt is not None and result is not RequestResult.SERVED:
            request.slot.client.abort_stream(request.slot, answer)
        else:
            request.slot.client.reply(request.slot, answer)

    def _close(self, number: int, request: OpenRequest) -> None:
        request.closed = True
        self._open_ids.discard(request.call.request_id)
        self.forget_if_over(number, request)

    def forget_if_over(self, number: int, request: OpenRequest) -> None:
        """Drop a closed request once its last attempt has ended.

        Until then its timer runs on: a silent endpoint would hold the connection of an attempt that nobody
        waits for, and its place in the engine's count, for good.
        """
        if request.closed and not request.attempts_in_flight:
            if request.timer is not None:
                request.timer.cancel()
            self._requests.pop(number, None)
