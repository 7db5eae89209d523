"""Observations of clients, order servers and discovery: the only input of the checks.

All times are in s on the event loop's clock.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b


class Answer(Enum):
    """The kind of response that a client received."""

    SERVED = "served"
    REJECTED = "rejected"  # -BUSY: the client may retry
    FAILED = "failed"


def content_of(words: Sequence[bytes]) -> bytes:
    """Return a digest of the parts of a command that must reach the order server unchanged.

    The deadline is the one part that the gateway may change.
    """
    pairs = b",".join(pair for pair in words[3].split(b",") if not pair.startswith(b"d="))
    return blake2b(b"\0".join((*words[:3], pairs, *words[4:])), digest_size=8).hexdigest().encode()


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseSeen:
    """The final response to a request."""

    at: float
    answer: Answer
    value: bytes = b""  # without padding; empty unless served


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionEnd:
    """The gateway's end of a connection on which a request had no response."""

    at: float
    by_reset: bool


@dataclass(slots=True, eq=False, kw_only=True)
class RequestSeen:
    """One request as its client saw it on one connection; a retry by the client is a second record."""

    request_id: str
    kind: int  # index of the request's class
    plan: int
    customer: int
    gateway: int
    process: int  # number of the gateway's process
    sent_at: float  # when its last byte was written
    wait_s: float
    content: bytes = b""  # digest of the command without its deadline
    response: ResponseSeen | None = None
    ready_at: float = 0.0  # when the client had read the previous response on the connection
    client_closed_at: float | None = None
    connection_end: ConnectionEnd | None = None
    reads_slowly: bool = False  # the end of its connection comes behind responses that it has not read yet
    is_retried: bool = False  # on the first record and on that of the client's retry
    sent_again_at: float | None = None  # when its client sent it on a new connection after it had left


@dataclass(slots=True, eq=False, kw_only=True)
class AttemptSeen:
    """One command as an order server received it."""

    request_id: str
    gateway: int
    server: int
    first_byte_at: float
    last_byte_at: float
    wait_ms: int
    content: bytes = b""  # digest of the command without its deadline
    may_have_executed: bool = True  # False if the server rejected it
    ended_at: float | None = None  # when its response was written, or its connection ended


@dataclass(slots=True, eq=False, kw_only=True)
class ProcessSeen:
    """One process of a gateway."""

    gateway: int
    number: int
    started_at: float
    ready_at: float | None = None
    terminated_at: float | None = None  # when SIGTERM was sent
    killed_at: float | None = None  # when SIGKILL was sent
    exited_at: float | None = None
    exit_status: int | None = None
    paused: list[float] = field(default_factory=list)  # when it was sent SIGSTOP
    faults: list[str] = field(default_factory=list)  # log lines that report an internal error
    is_upgraded: bool = False  # it hands its state over to the next process
    peak_memory_bytes: int = 0  # largest resident memory


@dataclass(frozen=True, slots=True, kw_only=True)
class ListChange:
    """A change of the endpoint list at its source."""

    server: int
    at: float
    in_service: bool
    began_at: float  # when the server's process last started; 0 if before the run


@dataclass(frozen=True, slots=True, kw_only=True)
class Notified:
    """The time from which a gateway counts as notified of a change."""

    gateway: int
    server: int
    at: float
    change_at: float  # when the list changed
    in_service: bool
    began_at: float


@dataclass(slots=True, kw_only=True)
class MaintenanceSeen:
    """An order server that operators disabled at a gateway for a while."""

    gateway: int
    server: int
    down_at: float  # when the gateway confirmed the call
    up_at: float | None = None  # when operators called to enable it again


@dataclass(frozen=True, slots=True, kw_only=True)
class BadClientSeen:
    """A client that sent no valid command; `done_at` is when it received an error or a close."""

    gateway: int
    process: int
    what: str
    connected_at: float
    done_at: float | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Lag:
    """A delay of the soak's own event loop; times observed around `at` are late, too."""

    at: float
    seconds: float


@dataclass(slots=True, kw_only=True)
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
