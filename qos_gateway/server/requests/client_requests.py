"""Requests received from clients: submitted to the engine, shed, or closed after a disconnect."""

from __future__ import annotations

from typing import Protocol

from ...types import Arrival, ClientDisconnected, RejectReason
from ..clients.pending_replies import PendingReply
from ..clients.request_parser import ClientRequest, InvalidCommandError
from ..endpoints.attempt import Attempt
from ..memory.budget import MemoryBudget
from ..observability.metrics import RequestResult
from .final_replies import REJECTED_REPLY
from .request_context import RequestContext
from .request_deadlines import RequestDeadlines
from .request_log import log_rejection
from .request_memory import RequestMemory


class CancellableAttempts(Protocol):
    """Interface of the connections to endpoints that `ClientRequests` uses."""

    def has_usable_endpoint(self) -> bool:
        """Return whether any endpoint takes requests."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose response is no longer needed."""

    def cancel_unsent(self, attempt: Attempt) -> None:
        """End an attempt unless its command is completely sent."""


class ClientRequests:
    """Handles the callbacks of the connections to clients."""

    def __init__(
        self,
        context: RequestContext,
        deadlines: RequestDeadlines,
        attempts: CancellableAttempts,
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._requests = context.requests
        self._deadlines = deadlines
        self._attempts = attempts
        self._handle = context.dispatcher.handle
        self._metrics = context.metrics

    def is_ready(self) -> bool:
        """Return whether a request could be forwarded."""
        return self._attempts.has_usable_endpoint()

    def submit(self, client_request: ClientRequest, pending_reply: PendingReply, waited_s: float) -> None:
        """Open a request that was received `waited_s` ago, and pass it to the engine.

        It is rejected if there is no memory for it. Raises `InvalidCommandError` while another request with
        the same id is unanswered.
        """
        memory = RequestMemory(self._memory)
        if not memory.reserve(client_request.command.body, pending_reply):
            self._reject(client_request, pending_reply, RejectReason.MEMORY_LIMIT)
            return
        deadline = self._deadlines.deadline_for(client_request, waited_s)
        try:
            number = self._requests.add(client_request, pending_reply, deadline, memory)
        except InvalidCommandError:
            memory.release()
            raise
        arrival = Arrival(
            request_id=number,
            class_index=client_request.class_index,
            plan_index=client_request.plan_index,
            customer_id=client_request.customer_id,
            deadline=deadline,
            units=client_request.units,
            gateway_spread=client_request.gateway_spread,
            first_gateway=client_request.first_gateway,
            options=client_request.options,
        )
        self._handle(arrival, number)
        request = self._requests.get(number)
        if request is not None:  # the engine did not end it while handling the arrival
            self._deadlines.schedule(number, request)

    def shed(self, client_request: ClientRequest, pending_reply: PendingReply) -> None:
        """Reject a request over the gateway's limits without passing it to the engine."""
        self._reject(client_request, pending_reply, RejectReason.LOAD_LIMIT)

    def _reject(
        self, client_request: ClientRequest, pending_reply: PendingReply, reason: RejectReason
    ) -> None:
        log_rejection(client_request.request_id, reason, 0)
        self._metrics.rejections[reason] += 1
        self._metrics.count_request(client_request.class_index, RequestResult.REJECTED)
        pending_reply.client.reply(pending_reply, REJECTED_REPLY)

    def client_disconnected(self, number: int) -> None:
        """Close a request whose client disconnected; its attempts are cancelled unless completely written."""
        request = self._requests.get_unanswered(number)
        if request is None:
            return
        self._requests.close(number, request)
        self._handle(ClientDisconnected(number))
        if request.streaming_attempt is not None:
            self._attempts.cancel_attempt(request.streaming_attempt)
        for attempt in list(request.attempts_in_flight_by_number.values()):
            self._attempts.cancel_unsent(attempt)
