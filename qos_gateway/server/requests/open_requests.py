"""The table of open requests: adds, answers and removes all requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count

from ..clients.pending_replies import PendingReply
from ..clients.request_parser import ClientRequest, InvalidCommandError
from ..observability.metrics import Metrics, RequestResult
from .executed_requests import ExecutedRequests
from .open_request import OpenRequest
from .request_memory import RequestMemory


class OpenRequests:
    """Open requests by number.

    Each gets at most one final response, and none once its client has disconnected.
    """

    def __init__(self, metrics: Metrics, executed: ExecutedRequests, clock: Callable[[], int]) -> None:
        """Take the gateway's clock, in ns."""
        self._metrics = metrics
        self._executed = executed
        self._clock = clock
        self._loop = asyncio.get_running_loop()
        self._numbers = count(1)
        self._requests: dict[int, OpenRequest] = {}
        self._open_ids: set[bytes] = set()  # ids that clients gave to the requests without a final response

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, number: int) -> bool:
        return number in self._requests

    def __getitem__(self, number: int) -> OpenRequest:
        return self._requests[number]

    def get(self, number: int) -> OpenRequest | None:
        """Return a request that is in the table, None for any other number."""
        return self._requests.get(number)

    def get_unanswered(self, number: int) -> OpenRequest | None:
        """Return a request that has no final response yet, None for any other number."""
        request = self._requests.get(number)
        return None if request is None or request.closed else request

    def client_id(self, number: int) -> bytes:
        """Return the client's own id of an unanswered request, empty for any other number."""
        request = self.get_unanswered(number)
        return b"" if request is None else request.client_id

    def unanswered_count(self) -> int:
        """Count the requests without a final response."""
        return len(self._open_ids)

    def client_has_disconnected(self, request: OpenRequest) -> bool:
        """Return whether the client has closed its connection; if so, schedule the end of that connection.

        No attempt may start more than 0.1 s after the client has disconnected, and the event loop may not
        have read the end of the connection yet. So this is checked before each attempt.
        """
        client = request.pending_reply.client
        if not client.has_hung_up():
            return False
        self._loop.call_soon(client.hang_up)  # which closes all requests of the connection
        return True

    def add(
        self,
        client_request: ClientRequest,
        pending_reply: PendingReply,
        deadline: int,
        memory: RequestMemory,
    ) -> int:
        """Add a request with a deadline in ns and the memory that it holds, and return its number.

        Raises `InvalidCommandError` while another request with the same id is unanswered, and if the same
        request may have been executed before and may not be repeated.
        """
        if client_request.request_id in self._open_ids:
            raise InvalidCommandError("a request with this id is open")
        if self._executed.may_have_executed(client_request):
            raise InvalidCommandError("a request with this id may have been executed")
        number = next(self._numbers)
        self._open_ids.add(client_request.request_id)
        pending_reply.request_number = number
        self._requests[number] = OpenRequest(client_request, pending_reply, deadline, memory)
        return number

    def answer(self, number: int, request: OpenRequest, reply: bytes, result: RequestResult) -> None:
        """Send the final response of an unanswered request, and count the result."""
        self._metrics.count_request(request.client_request.class_index, result)
        self.close(number, request)
        pending_reply = request.pending_reply
        if request.streaming_attempt is not None and result is not RequestResult.SERVED:
            pending_reply.client.abort_stream(pending_reply, reply)
        else:
            pending_reply.client.reply(pending_reply, reply)

    def close(self, number: int, request: OpenRequest) -> None:
        """Mark a request as closed: it gets no further response."""
        request.closed = True
        self._executed.add(request, self._clock())
        self._open_ids.discard(request.client_request.request_id)
        self.remove_if_finished(number, request)

    def remove_if_finished(self, number: int, request: OpenRequest) -> None:
        """Remove a closed request once its last attempt has ended.

        The deadline timer runs until then, as it also ends attempts at endpoints that never respond. Without
        it, their connections and their entries in the engine's in-flight count would never be released.
        """
        if request.closed and not request.attempts_in_flight_by_number:
            if request.deadline_timer is not None:
                request.deadline_timer.cancel()
            request.memory.release()
            self._requests.pop(number, None)
