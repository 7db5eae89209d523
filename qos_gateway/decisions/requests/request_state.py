"""The state of one request from its arrival to its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...types import Arrival, Endpoint, RequestClass
from ..quota.account import CustomerAccount


@dataclass(slots=True)
class RequestState:
    """A request that still owes its final answer, or whose attempts are not over. Times are in ns."""

    arrival: Arrival
    request_class: RequestClass
    account: CustomerAccount
    arrived_at: int = 0
    attempts_sent: int = 0
    attempts_in_flight: int = 0
    attempted_endpoints: set[int] = field(default_factory=set)
    may_have_executed: bool = False  # an attempt may have taken effect at its endpoint
    response_started: bool = False  # the response flows to the client: no endpoint works on it any more
    first_keyed_attempt_at: int = 0  # when the attempt was sent that may have stored the idempotency key ...
    first_keyed_endpoint: Endpoint | None = None  # ... and where
    last_attempt_at: int = 0
    last_endpoint: int = 0
    expected_latency: int = 0  # mean latency of the class when the last attempt was sent
    hedge_after: int = 0  # age of the last attempt from which its response is unlikely to come
    holds_in_flight_slot: bool = False  # counted as in flight at the quota counter

    def attempt_sent(self, now: int, endpoint: Endpoint) -> None:
        """Take note of an attempt that is sent now."""
        self.attempted_endpoints.add(endpoint.id)
        if not self.may_have_executed:
            self.first_keyed_attempt_at = now
            self.first_keyed_endpoint = endpoint
        self.attempts_sent += 1
        self.attempts_in_flight += 1
        self.last_attempt_at = now
        self.last_endpoint = endpoint.id
