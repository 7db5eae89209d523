"""The state of one request from its arrival to its final response."""

from __future__ import annotations

from dataclasses import dataclass, field

from ...types import Arrival, Endpoint, RequestClass
from ..quota.account.customer_account import CustomerAccount
from .execution_record import ExecutionRecord


@dataclass(slots=True)
class RequestState:
    """A request without its final response, or with attempts in flight. Times are in ns.

    Other classes modify it only through its methods.
    """

    arrival: Arrival
    request_class: RequestClass
    account: CustomerAccount
    arrived_at: int = 0
    execution: ExecutionRecord = field(default_factory=ExecutionRecord)
    attempts_sent: int = 0
    attempts_in_flight: int = 0
    attempted_endpoints: set[int] = field(default_factory=set)
    last_attempt_at: int = 0
    last_endpoint: int = 0
    expected_latency: int = 0  # mean latency of the class when the last attempt was sent
    hedge_after: int = 0  # age of the last attempt from which a hedge may be sent
    response_started: bool = False  # once it has, the request no longer occupies its endpoint
    holds_in_flight_slot: bool = False  # counted as in flight at the quota counter

    def attempt_sent(self, now: int, endpoint: Endpoint) -> None:
        """Record an attempt that is sent now."""
        self.attempted_endpoints.add(endpoint.id)
        self.execution.attempt_sent(now, endpoint)
        self.attempts_sent += 1
        self.attempts_in_flight += 1
        self.last_attempt_at = now
        self.last_endpoint = endpoint.id

    def expect_response(self, expected_latency: int, hedge_after: int) -> None:
        """Set the expected latency of the last attempt, and the age from which it may be hedged (ns)."""
        self.expected_latency = expected_latency
        self.hedge_after = hedge_after

    def attempt_ended(self) -> None:
        """Record the end of an attempt."""
        self.attempts_in_flight -= 1

    def start_response(self) -> None:
        """Record that the response is being sent to the client."""
        self.response_started = True

    def acquire_slot(self) -> None:
        """Record that the quota counter counts the request as in flight."""
        self.holds_in_flight_slot = True

    def release_slot(self) -> None:
        """Record that the quota counter no longer counts the request as in flight."""
        self.holds_in_flight_slot = False
