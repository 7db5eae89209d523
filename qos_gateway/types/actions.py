"""Actions that a decision engine asks its gateway to carry out. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt."""

    request_id: int
    endpoint: int
    timeout: int  # 0: until the client gives up
    send_deadline: int = 0  # from when on it must not be written any more, however late a connection; 0: none


class RejectReason(Enum):
    """Why a request was rejected; the values are parts of the metrics' names."""

    UNSPECIFIED = "unspecified"
    CUSTOMER_CAP = "customer_cap"  # the customer's cap on requests in flight
    LOAD_LIMIT = "load_limit"  # the limit on all requests in flight
    QUOTA = "quota"
    NO_ENDPOINT = "no_endpoint"  # none may be used, or no time is left
    NO_RETRY = "no_retry"  # no attempt executed, and no further one is possible


@dataclass(frozen=True, slots=True)
class Reject:
    """Give the final answer: rejected, a retry by the client is harmless."""

    request_id: int
    retry_after: int
    reason: RejectReason = field(default=RejectReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the final answer: failed, the request may have executed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an endpoint for its load."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send up to 256 bytes to one peer, or to all."""

    recipient: int | None  # None: all
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a number that all gateways share, and get its total."""

    key: int
    time_to_live: int
    amount: float


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list, or stop."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Ask for the whole endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line for the operators."""

    text: str


Action = (
    Send
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | CloseIdleConnections
    | SendPeerMessage
    | AddToCounter
    | WatchEndpoints
    | FetchEndpoints
    | LogLine
)
