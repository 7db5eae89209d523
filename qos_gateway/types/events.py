"""Events that a gateway hands to its decision engine. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt, a probe or a call to the counter ended."""

    ERROR = 0
    OK = 1
    OVERLOADED = 2  # rejected by the endpoint, before any work
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


NOT_EXECUTED = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class ListKind(IntEnum):
    """What an event on the endpoint list holds."""

    DELTA = 0  # changes
    FULL = 1  # the whole list
    CACHED = 2  # the whole list as it was known at some time before
    FAILED = 3  # nothing: the call failed


class Health(IntEnum):
    """An endpoint's state in the list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One entry of the endpoint list."""

    id: int
    zone: int
    machine_class: int
    cell: int  # endpoints that share idempotency keys
    health: Health
    weight: float
    started_at: int  # 0: a long time ago


@dataclass(frozen=True, slots=True)
class Topology:
    """The endpoint list, or changes of it, from discovery."""

    kind: ListKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A client's request; exactly one final answer is owed before the deadline."""

    request_id: int
    class_index: int
    plan_index: int
    customer_id: int
    deadline: int
    units: float  # of the quota
    gateway_spread: int  # gateways that get the customer's requests ...
    first_gateway: int  # ... and the position of the first; the others follow it
    options: int  # flags; 2: the client's own retry

    @property
    def kind(self) -> tuple[int, int]:
        """Return class and plan, by which endpoints may treat requests differently."""
        return self.class_index, self.plan_index


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """A streamed response has started."""

    request_id: int
    elapsed: int
    attempt: int
    endpoint: int


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptEnded:
    """How one attempt ended."""

    request_id: int
    request_finished: bool  # the client has its final answer, or left
    actual_units: int  # that took the place of an estimate; 0 where none is told
    endpoint: int
    quota_usage: int  # 1 + the customer's use in percent of its rate, by the meter; 0: none told
    outcome: Outcome
    elapsed: int
    attempt: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client is gone; no answer is owed any more."""

    request_id: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer asked for with `SetTimer`."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """What one `Probe` found."""

    outcome: Outcome
    endpoint: int
    elapsed: int
    load_report: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class CounterReplied:
    """The answer to one `AddToCounter`."""

    elapsed: int
    outcome: Outcome
    key: int
    total: float


@dataclass(frozen=True, slots=True)
class SetEndpointEnabled:
    """An operator's order: send an endpoint nothing, whatever the list says, or use it again."""

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
