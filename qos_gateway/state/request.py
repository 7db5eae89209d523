"""A request that still owes its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..types import Arrival, Endpoint
from .customer import CustomerAccount


@dataclass(slots=True)
class RequestState:
    """A request that still owes its final answer."""

    arrival: Arrival
    account: CustomerAccount
    attempts_sent: int = 0
    attempts_in_flight: int = 0
    tried_endpoints: set[int] = field(default_factory=set)
    may_have_executed: bool = False
    response_started: bool = False  # its answer has begun to flow: no server works on it any more
    first_keyed_attempt_at: int = 0
    first_keyed_endpoint: Endpoint | None = None
    last_attempt_at: int = 0
    last_endpoint: int = 0  # of the newest attempt ...
    expected_latency: int = 0  # ... the mean time that its answer takes ...
    hedge_after: int = 0  # ... and that after which it is unlikely to come
    reservation_sent_at: int = 0
    arrived_at: int = 0  # when it arrived
    holds_in_flight_slot: bool = False  # counted as out on the counter
