"""Table of the requests of one gateway and their attempts in flight."""

from __future__ import annotations

from ...types import Action, CancelAttempt, Endpoint
from .request_state import RequestState

AttemptKey = tuple[int, int]  # request id and index of the attempt


class RequestTable:
    """Open requests by id, attempts in flight by key, and the number of those that occupy an endpoint."""

    def __init__(self) -> None:
        self.open: dict[int, RequestState] = {}  # requests without a final response
        self.attempts: dict[AttemptKey, RequestState] = {}  # may outlive their request
        self.in_flight = 0  # attempts whose response has not started
        self.presumed_lost = 0  # attempts in flight whose response was probably lost

    @property
    def effective_in_flight(self) -> int:
        """Return the number of attempts in flight, except for those presumed lost."""
        return self.in_flight - self.presumed_lost

    def add(self, request: RequestState) -> None:
        """Add an open request."""
        self.open[request.arrival.request_id] = request

    def close(self, request_id: int) -> RequestState | None:
        """Close a request and return it; None where it is not open. Its attempts stay in the table."""
        return self.open.pop(request_id, None)

    def attempt_sent(self, now: int, request: RequestState, endpoint: Endpoint) -> None:
        """Add an attempt that is sent at `now` (ns)."""
        self.attempts[request.arrival.request_id, request.attempts_sent] = request
        request.attempt_sent(now, endpoint)
        request.account.in_flight += 1
        self.in_flight += 1

    def attempt_ended(self, request_id: int, attempt: int) -> RequestState | None:
        """Remove an attempt and return its request; None where the attempt is unknown."""
        request = self.attempts.pop((request_id, attempt), None)
        if request is not None:
            request.attempt_ended()
            request.account.in_flight -= 1
            self.in_flight -= not request.response_started
        return request

    def response_started(self, request_id: int, attempt: int) -> RequestState | None:
        """Close the request whose response has started; None where it or the attempt is unknown."""
        request = self.close(request_id)
        if request is None or (request_id, attempt) not in self.attempts:
            return None
        self.in_flight -= request.attempts_in_flight
        request.start_response()
        return request

    def update_presumed_lost(self, without_attempt: int, outstanding: int) -> None:
        """Presume lost the last attempt of each open request that is neither unsent nor outstanding.

        `without_attempt` requests have no attempt yet; `outstanding` ones still expect their response.
        """
        self.presumed_lost = len(self.open) - without_attempt - outstanding

    def cancellations(self, request: RequestState, except_for: int = -1) -> list[Action]:
        """Return the cancellations of a request's attempts in flight except for the one with that index."""
        if not request.attempts_in_flight:
            return []
        request_id = request.arrival.request_id
        numbers = (n for n in range(request.attempts_sent) if (request_id, n) in self.attempts)
        return [CancelAttempt(request_id, n) for n in numbers if n != except_for]
