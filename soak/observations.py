"""What clients, order servers and discovery saw: all that the judge goes by. Times are in s on one clock."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b


class Answer(Enum):
    """What a client got for a request."""

    SERVED = "served"
    REJECTED = "rejected"  # -BUSY: trying again is harmless
    FAILED = "failed"


def content_of(words: Sequence[bytes]) -> bytes:
    """Return what of a command has to reach the order server unchanged: all but its deadline, in short."""
    pairs = b",".join(pair for pair in words[3].split(b",") if not pair.startswith(b"d="))
    return blake2b(b"\0".join((*words[:3], pairs, *words[4:])), digest_size=8).hexdigest().encode()


@dataclass(slots=True, eq=False)
class RequestSeen:
    """One request as its client saw it, on one connection; a request that is sent again is seen twice."""

    request_id: str
    kind: int  # index of its class
    plan: int
    customer: int
    gateway: int
    process: int  # number of the gateway's process
    sent_at: float  # its last byte was written
    wait_s: float
    content: bytes = b""  # the command but for its deadline
    answered_at: float | None = None
    answer: Answer | None = None
    value: bytes = b""
    ready_at: float = 0.0  # when the answer before it on the connection had come
    client_closed_at: float | None = None
    connection_ended_at: float | None = None
    ended_by_reset: bool = False
    sent_again: bool = False


@dataclass(slots=True, eq=False)
class AttemptSeen:
    """One command as it came to an order server."""

    request_id: str
    gateway: int
    server: int
    first_byte_at: float
    last_byte_at: float
    wait_ms: int
    content: bytes = b""  # the command but for its deadline
    may_have_executed: bool = True  # False where the server turned it away
    ended_at: float | None = None  # its response was written, or its connection ended


@dataclass(slots=True, eq=False)
class ProcessSeen:
    """One process of a gateway."""

    gateway: int
    number: int
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # SIGTERM
    killed_at: float | None = None
    exited_at: float | None = None
    exit_status: int | None = None
    paused: list[float] = field(default_factory=list)  # when it was stopped for a moment
    faults: list[str] = field(default_factory=list)  # lines of its log that tell of a fault
    is_upgraded: bool = False  # the next process takes over its state before it ends


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of the list at its source."""

    server: int
    at: float
    in_service: bool
    began_at: float  # when the server's process last started, 0 for long ago


@dataclass(frozen=True, slots=True)
class Notified:
    """From when on a gateway counts as notified of a change."""

    gateway: int
    server: int
    at: float
    change_at: float  # when it came to the list
    in_service: bool
    began_at: float


@dataclass(slots=True)
class MaintenanceSeen:
    """An order server that operators took out of use at a gateway, and when they put it back."""

    gateway: int
    server: int
    down_at: float  # the gateway had agreed
    up_at: float | None = None  # it was asked to use it again


@dataclass(frozen=True, slots=True)
class BadClientSeen:
    """A client that sent no proper command: when it connected, and when it got an error or the end."""

    gateway: int
    process: int
    what: str
    connected_at: float
    done_at: float | None


@dataclass(frozen=True, slots=True)
class Lag:
    """The soak's own event loop came late: times seen around then are late, too."""

    at: float
    seconds: float


@dataclass(slots=True)
class Record:
    """All observations of one run."""

    requests: list[RequestSeen] = field(default_factory=list)
    attempts: list[AttemptSeen] = field(default_factory=list)
    processes: list[ProcessSeen] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    notifications: list[Notified] = field(default_factory=list)
    bad_clients: list[BadClientSeen] = field(default_factory=list)
    maintenance: list[MaintenanceSeen] = field(default_factory=list)
    lags: list[Lag] = field(default_factory=list)
    faults_end_at: float = 0.0
    ends_at: float = 0.0
