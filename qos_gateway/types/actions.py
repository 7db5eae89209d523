"""Actions that a decision engine requests from its gateway. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


# Not frozen for speed, as one is created for each attempt: a frozen class sets each field by a call.
@dataclass(slots=True)
class Send:
    """Start an attempt of a request at an endpoint. Times and durations are in ns."""

    request_id: int
    endpoint: int
    timeout: int  # duration after which the attempt ends; 0: none before the request's deadline
    send_deadline: int = 0  # time from which the attempt must not be written to a connection; 0: none


class RejectReason(Enum):
    """Reason for the rejection of a request; the values are parts of metric names."""

    UNSPECIFIED = "unspecified"
    CUSTOMER_CAP = "customer_cap"  # the customer's limit on requests in flight is reached
    CUSTOMER_LIMIT = "customer_limit"  # the customer is new, and the state of no other one can be dropped
    MEMORY_LIMIT = "memory_limit"  # there is no memory for the request
    LOAD_LIMIT = "load_limit"  # the limit on all requests in flight is reached
    QUOTA = "quota"  # the customer's quota is used up
    NO_ENDPOINT = "no_endpoint"  # no endpoint is usable, or the deadline is too close
    NO_RETRY = "no_retry"  # no further attempt is possible, but the client may retry


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request that the client may retry: it was not executed, or a retry is harmless."""

    request_id: int
    retry_after: int  # delay in ns after which the client may retry
    reason: RejectReason = field(default=RejectReason.UNSPECIFIED, compare=False)


@dataclass(frozen=True, slots=True)
class Fail:
    """Fail a request that may have executed, and that the client may not retry."""

    request_id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel one attempt in flight."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer that fires a `TimerFired` with the same token."""

    delay: int  # ns
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Request an endpoint's load report; a `ProbeEnded` follows."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message of at most 256 bytes to another gateway."""

    recipient: int | None  # index of the gateway; None: all gateways
    data: bytes


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add an amount to a key of the counter; a `CounterReplied` with the total follows."""

    key: int
    time_to_live: int  # ns after which the counter drops the key
    amount: float


@dataclass(frozen=True, slots=True)
class WatchEndpoints:
    """Start or stop the watch on the endpoint list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Fetch the full endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """Write a line to the log."""

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
