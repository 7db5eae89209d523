"""Events that a gateway passes to its decision engine. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """Outcome of an attempt, a probe or a call to the counter."""

    ERROR = 0
    OK = 1
    OVERLOADED = 2  # rejected by the endpoint before execution
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


# Outcomes after which the request has certainly not executed.
NOT_EXECUTED = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class ListKind(IntEnum):
    """Content of an update of the endpoint list."""

    DELTA = 0  # entries that changed
    FULL = 1  # all entries
    CACHED = 2  # all entries as of an earlier time
    FAILED = 3  # no entries, because the call failed


class Health(IntEnum):
    """State of an endpoint in the list of the discovery agent."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Entry of the endpoint list. Times are in ns."""

    id: int
    zone: int  # index of the zone's name in the configuration
    machine_class: int  # index of the machine class's name in the configuration
    cell: int  # endpoints of one cell share idempotency keys
    health: Health
    weight: float  # capacity relative to other endpoints
    started_at: int  # time of the endpoint's start; 0: unknown, and treated as long ago


@dataclass(frozen=True, slots=True)
class Topology:
    """Update of the endpoint list from discovery."""

    kind: ListKind
    version: int
    entries: tuple[Endpoint, ...]


# Not frozen for speed, as one is created for each request: a frozen class sets each field by a call.
@dataclass(slots=True, kw_only=True)
class Arrival:
    """Request of a client; it gets exactly one final response before its deadline. Times are in ns."""

    request_id: int
    class_index: int  # index in `Settings.classes`
    plan_index: int  # index in `Settings.plans`
    customer_id: int
    deadline: int  # time of the final response at the latest
    units: float  # quota units that the request uses
    gateway_spread: int  # number of consecutive gateways that receive the customer's requests
    first_gateway: int  # position of the first of these gateways
    options: int  # bit flags; 2: the request is a retry by the client

    @property
    def class_and_plan(self) -> tuple[int, int]:
        """Return the indexes of class and plan; endpoints may treat each pair differently."""
        return self.class_index, self.plan_index


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """Start of a streamed response. Durations are in ns."""

    request_id: int
    elapsed: int  # duration since the start of the attempt
    attempt: int
    endpoint: int


# Not frozen, like `Arrival`.
@dataclass(slots=True, kw_only=True)
class AttemptEnded:
    """End of one attempt. Durations are in ns."""

    request_id: int
    request_finished: bool  # the client has its final response, or has disconnected
    actual_units: int  # quota units that replace `Arrival.units`; 0: not reported
    endpoint: int
    quota_usage: int  # 1 + percent of the customer's quota rate that the meter measured; 0: not reported
    outcome: Outcome
    elapsed: int  # duration of the attempt
    attempt: int  # index of the attempt within its request, from 0
    load_report: tuple[float, ...]  # values in the order of `Settings.report_names`; empty: not reported


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Disconnection of a client; its request needs no response."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """Expiry of a timer that `SetTimer` started."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """End of one `Probe`. Durations are in ns."""

    outcome: Outcome
    endpoint: int
    elapsed: int  # duration of the probe
    load_report: tuple[float, ...]  # values in the order of `Settings.report_names`; empty: not reported


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Message from another gateway."""

    sender: int  # index of the gateway
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """Result of one `AddToCounter`. Durations are in ns."""

    elapsed: int  # duration of the call
    outcome: Outcome
    key: int
    total: float  # the key's total after the addition; valid only if the outcome is OK


@dataclass(frozen=True, slots=True)
class SetEndpointEnabled:
    """Request of an admin to disable an endpoint, whatever its listed state, or to enable it again."""

    endpoint: int
    enabled: bool


Event = (
    SetEndpointEnabled
    | Topology
    | Arrival
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | CounterReplied
)
