"""Connection pools to the backends, and one attempt at a time on each connection."""

from __future__ import annotations

import asyncio
import logging
import re
import select
import socket
import time
from bisect import bisect
from collections.abc import Callable, Iterable
from typing import Protocol, cast

import hiredis

from ..types import Outcome
from .config import Address
from .logs import RateLimitFilter
from .metrics import Metrics
from .resp import FrameError, ResponseFrames

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

RESPONSE_STALL_TIMEOUT_S = (
    0.25  # s without a further byte of an answer that has begun; far over a slow writer's gaps
)
LARGE_RESPONSE_STALL_TIMEOUT_S = (
    5.0  # the same of a large value: the client has its first bytes, and no second attempt follows
)
RECEIVE_BUFFER_BYTES = 64 << 10  # bytes of an answer that the system keeps unread: what one read may bring
REUSE_DELAY_S = (
    0.005  # s that a connection rests after an answer, where another is free: a second copy may follow
)
KEEP_ALIVE_FRACTION = (
    0.5  # part of the idle limit after which a connection is closed: well before its backend does so
)
SWEEP_INTERVAL_S = 1.0  # s between looks for idle connections to retire
IDLE_AGE_BOUNDS_S = tuple(0.05 * 2**i for i in range(9))  # s at rest that part kept connections into groups
STALE_RESET_WINDOW_S = (
    0.02  # s after a request's last byte in which a reset is the answer to it: over a round trip
)
MIN_STALE_RESETS, STALE_RESET_RATIO = (
    3.0,
    0.15,
)  # breaks in a group, and their part, from which it counts as stale
AGE_DECAY_PER_S = (
    0.97  # part of a group's count that a second leaves: what was stale is tried again within minutes
)
DRAIN_GRACE_FRACTION = (
    0.8  # part of the drain grace in which a late connection is still written to: a loop may lag
)
MILLISECOND = 1_000_000

# What the protocol writes, not all that Python reads as a number: no sign and no infinity.
_NUMBER = re.compile(rb"[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")

LoadReport = dict[str, float]
Ending = tuple[Outcome, "bytes | None", LoadReport]
AttemptDone = Callable[["Attempt", Outcome, "bytes | None", LoadReport], None]
ResponseStartedCallback = Callable[["Attempt", int, "FlowControl"], "ResponseSink | None"]
StillWanted = Callable[["Attempt"], bool]  # whether its client still waits


class FlowControl(Protocol):
    """What can be stopped for a while."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class ResponseSink(Protocol):
    """What takes a large value as it comes."""

    def write(self, data: bytes) -> None: ...


class Attempt:
    """One try of one request at one backend."""

    __slots__ = (
        "backend",
        "connection",
        "ended",
        "expires_at",
        "number",
        "parts",
        "request",
        "response_started_at",
        "send_deadline",
        "started_at",
        "timer",
    )

    def __init__(
        self,
        request: int,
        index: int,
        backend: int,
        started: int,
        expires: int,
        parts: tuple[tuple[bytes, ...], bytes, bytes, tuple[bytes, ...]],
        before: int = 0,
    ) -> None:
        self.request, self.number, self.backend = request, index, backend
        self.started_at, self.expires_at = started, expires
        self.send_deadline = before  # from when on it is not written any more; 0 for no such time
        self.parts = parts
        self.response_started_at = 0  # when a large value's first bytes came
        self.ended = False  # its one end was told
        self.connection: BackendConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def payload(self, now: int) -> bytes:
        """The client's own bytes, but for `d`: the time for which this attempt is waited for."""
        front, head, tail, body = self.parts
        left = max(1, -(-(self.expires_at - now) // MILLISECOND))
        words: tuple[bytes, ...] = (*front, b"%bd=%d%b" % (head, left, tail), *body)
        return cast(bytes, hiredis.pack_command(words))  # type: ignore[arg-type]

    def read_response(self, answer: object) -> Ending:
        return read_answer(answer)


class ProbeAttempt(Attempt):
    """Asks a backend for its load; on a pooled connection like any attempt, but of no request."""

    __slots__ = ()

    def __init__(self, backend: int, started: int, expires: int) -> None:
        super().__init__(0, 0, backend, started, expires, ((), b"", b"", ()))

    def payload(self, now: int) -> bytes:
        return cast(bytes, hiredis.pack_command((b"INFO", b"load")))  # type: ignore[arg-type]

    def read_response(self, answer: object) -> Ending:
        return (Outcome.OK, None, read_report(answer)) if isinstance(answer, bytes) else read_answer(answer)


class MalformedResponseError(ValueError):
    """An answer that is none by the protocol: the request may have run, the connection is of no use."""


class KeepAliveEstimator:
    """How long a connection may rest and still be likely to serve.

    Something on the way, or the backend itself, may drop a connection at rest long before the time in the
    settings and tell nobody: the next request on it is answered by a reset, and may have run.
    """

    def __init__(self, most: float) -> None:
        self.max_idle = self.idle_limit = most
        self._reuses, self._resets = ([0.0] * (len(IDLE_AGE_BOUNDS_S) + 1) for _ in range(2))

    def record_reuse(self, age: float) -> None:
        self._reuses[bisect(IDLE_AGE_BOUNDS_S, age)] += 1.0

    def record_reset(self, age: float) -> None:
        self._resets[bisect(IDLE_AGE_BOUNDS_S, age)] += 1.0
        self._update_limit()

    def decay(self) -> None:
        """Called once a second."""
        for counts in (self._reuses, self._resets):
            counts[:] = [AGE_DECAY_PER_S * count for count in counts]
        self._update_limit()

    def _update_limit(self) -> None:
        # The freshest are kept come what may: a backend that breaks on those does so whatever their age.
        self.idle_limit = self.max_idle
        for group in range(1, len(self._reuses)):
            breaks = self._resets[group]
            if breaks >= MIN_STALE_RESETS and breaks >= STALE_RESET_RATIO * self._reuses[group]:
                self.idle_limit = min(self.max_idle, IDLE_AGE_BOUNDS_S[group - 1])
                return


class BackendConnection(asyncio.Protocol):
    """One connection; its attempt's bytes are known to be out once the write buffer is empty."""

    __slots__ = (
        "attempt",
        "frames",
        "has_unsent",
        "idle_age",
        "idle_at",
        "last_data_at",
        "paused",
        "pool",
        "reader",
        "response_sink",
        "task",
        "timer",
        "trailer_bytes_left",
        "transport",
        "value_bytes_left",
        "written_at",
    )

    def __init__(self, pool: ConnectionPool, attempt: Attempt) -> None:
        self.pool = pool
        self.attempt: Attempt | None = attempt
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.reader, self.frames = hiredis.Reader(), ResponseFrames()
        self.has_unsent = True
        self.idle_at = self.written_at = self.last_data_at = 0.0
        self.response_sink: ResponseSink | None = None  # of the large value that is on its way
        self.value_bytes_left = self.trailer_bytes_left = (
            0  # bytes to come of it, and of the line's end behind it
        )
        self.paused = False
        self.idle_age = -1.0  # s at rest before its request; negative on a new one

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.attempt is None:
            self.transport.abort()
            return
        # With no room in the buffer a write goes out at once, and a pause tells that some of it did not.
        self.transport.set_write_buffer_limits(high=0)
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self.pool.connected(self)

    def write(self, attempt: Attempt, now: int) -> None:
        transport = cast(asyncio.Transport, self.transport)
        attempt.connection, self.attempt = self, attempt
        self.has_unsent, self.written_at = True, self.pool.owner.time()
        if self.idle_at:
            self.idle_age = self.written_at - self.idle_at
            self.pool.owner.keep_alive.record_reuse(self.idle_age)
        transport.write(attempt.payload(now))
        # A write that met a broken connection leaves the transport closing, with nothing sent.
        self.has_unsent = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.has_unsent:
            self.pool.owner.request_written(attempt)

    def pause_writing(self) -> None:
        self.has_unsent = True

    def resume_writing(self) -> None:
        if self.has_unsent and self.attempt is not None:
            self.pool.owner.request_written(self.attempt)
        self.has_unsent = False

    def data_received(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is None or self.has_unsent:
            # Words that nobody asked for: what comes next on this connection could belong to anything.
            self.abort()
            if attempt is not None:
                self.pool.finish(attempt, Outcome.CONNECT_FAILED)
            return None
        try:
            end = self.frames.scan(data, 0)
            if not self.frames.large:
                self.reader.feed(data if end < 0 else data[:end])
            elif not self._stream_value(attempt, data if end < 0 else data[:end]):
                return None
            if end < 0:
                self.last_data_at = self.pool.owner.time()
                if self.timer is None:
                    self.timer = self.pool.owner.loop.call_later(RESPONSE_STALL_TIMEOUT_S, self._check_stall)
                return None
            ending = attempt.read_response(self.reader.gets())
        except (FrameError, MalformedResponseError, hiredis.ProtocolError, ValueError) as error:
            return self._malformed(str(error))
        self.cancel_timer()
        self.attempt, self.response_sink, self.frames.large = None, None, 0
        if end < len(data):
            self.abort()  # what follows the answer is nobody's, and more of it may come
        else:
            self.pool.release(self)
        self.pool.finish(attempt, *ending)

    def _stream_value(self, attempt: Attempt, data: bytes) -> bool:
        """A large value goes on as it comes, what stands round it is read; whether somebody waits."""
        at = 0
        if self.response_sink is None:
            at, self.value_bytes_left, self.trailer_bytes_left = (
                self.frames.large_at,
                self.frames.large,
                len(b"\r\n"),
            )
            self.reader = hiredis.Reader()
            self.reader.feed(b"*3\r\n$0\r\n\r\n")
            attempt.response_started_at = self.pool.owner.clock()
            self.response_sink = self.pool.owner.response_started(attempt, self.value_bytes_left, self)
            if self.response_sink is None:
                self.abort()
                self.pool.finish(attempt, Outcome.CANCELLED)
                return False
        part = data[at : at + self.value_bytes_left]
        self.value_bytes_left, at = self.value_bytes_left - len(part), at + len(part)
        skip = min(self.trailer_bytes_left, len(data) - at)
        self.trailer_bytes_left -= skip
        self.reader.feed(data[at + skip :])
        if part:
            self.response_sink.write(part)
        return self.attempt is attempt  # the client may have gone over it

    def _check_stall(self) -> None:
        """Whether an answer that has begun still comes; what the client does not take is not waited for."""
        owner = self.pool.owner
        if self.paused:
            self.last_data_at = owner.time()
        left = (
            self.last_data_at
            + (LARGE_RESPONSE_STALL_TIMEOUT_S if self.response_sink is not None else RESPONSE_STALL_TIMEOUT_S)
            - owner.time()
        )
        if left > 0.0:
            self.timer = owner.loop.call_later(left, self._check_stall)
        else:
            self.timer = None
            self._malformed("answer without end")

    def pause(self) -> None:
        if not self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        if self.paused and self.transport is not None and not self.transport.is_closing():
            self.paused, self.last_data_at = False, self.pool.owner.time()
            self.transport.resume_reading()

    def _malformed(self, why: str) -> None:
        """The request may have run; nothing that comes here from now on can be told apart."""
        attempt = cast(Attempt, self.attempt)
        log.warning("backend %s:%d, spoilt answer: %s", *self.pool.address, why)
        self.abort()
        self.pool.finish(attempt, Outcome.RESET)

    def is_clean(self) -> bool:
        """Whether neither bytes nor an end lie unread in the socket: a second copy would be taken for the
        next answer, and a request written behind an end may be thought to have run.
        """
        transport = cast(asyncio.Transport, self.transport)
        if transport.is_closing():
            return False
        look = select.poll()
        look.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not look.poll(0)

    def cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        attempt, self.attempt = self.attempt, None
        self.cancel_timer()
        self.pool.remove(self)
        if attempt is not None:
            owner = self.pool.owner
            at_once = not self.frames.midway and owner.time() - self.written_at <= STALE_RESET_WINDOW_S
            if self.idle_age >= 0.0 and at_once:
                owner.keep_alive.record_reset(self.idle_age)
            self.pool.finish(attempt, Outcome.CONNECT_FAILED if self.has_unsent else Outcome.RESET)

    def abort(self) -> None:
        """Close at once: nothing more is sent, and what still comes is nobody's."""
        self.attempt = None
        self.cancel_timer()
        if self.transport is not None:
            self.transport.abort()
        elif self.task is not None:
            self.task.cancel()
        self.pool.remove(self)


def read_report(text: bytes) -> LoadReport:
    """`name=number` pairs; what is no such text is no report."""
    report: LoadReport = {}
    for item in text.split(b","):
        name, _, number = item.partition(b"=")
        if not (name.isascii() and _NUMBER.fullmatch(number)):
            return {}
        report[name.decode()] = float(number)
    return report


def _read_all(texts: Iterable[object]) -> LoadReport:
    """Figures on use and load report together; what is not a text says nothing."""
    told: LoadReport = {}
    for text in texts:
        if isinstance(text, bytes):
            told.update(read_report(text))
    return told


def read_answer(answer: object) -> Ending:
    """What a whole answer means: outcome, the value if it was served, figures on use and load report.

    Value and framing must be right; a report or figures that can't be read spoil nothing.
    """
    if isinstance(answer, list) and isinstance(answer[0], bytes):
        return Outcome.OK, answer[0], _read_all(answer[1:])
    if isinstance(answer, hiredis.ReplyError):
        line = str(answer)
        for words, outcome in (("ERR failed", Outcome.ERROR), ("BUSY", Outcome.OVERLOADED)):
            if line == words:
                return outcome, None, {}
            if line.startswith(words + " "):
                return outcome, None, _read_all(line[len(words) + 1 :].encode().split(b" "))
    raise MalformedResponseError(f"{answer!r:.80}")


class ConnectionPool:
    """The connections to one backend."""

    def __init__(self, owner: BackendConnections, address: Address) -> None:
        self.owner, self.address = owner, address
        self.idle: list[BackendConnection] = []
        self.connections: set[BackendConnection] = set()
        self.drain_ends_at: float | None = None  # when the grace after a drain's notice ends

    def send(self, attempt: Attempt, now: int) -> None:
        if (link := self._take_idle(REUSE_DELAY_S)) is not None:
            link.write(attempt, now)
            return
        if not self.owner.has_capacity():
            # Out of descriptors: told as what it is, a connection that never came up.
            self.owner.loop.call_soon(self.owner.connect_failed, attempt)
            return
        link = BackendConnection(self, attempt)
        attempt.connection = link
        self.connections.add(link)
        self.owner.open_connections += 1
        link.timer = self.owner.loop.call_later(self.owner.connect_timeout, self._connect_failed, link)
        link.task = self.owner.loop.create_task(self._connect(link))

    def _take_idle(self, rested: float) -> BackendConnection | None:
        """The newest idle connection that has rested so long, clean and not about to be closed."""
        now = self.owner.time()
        for at in range(len(self.idle) - 1, -1, -1):
            link = self.idle[at]
            if now - link.idle_at < rested:
                continue
            if now - link.idle_at < self.owner.keep_alive.idle_limit and link.is_clean():
                del self.idle[at]
                return link
            link.abort()
        return None

    async def _connect(self, link: BackendConnection) -> None:
        try:
            await self.owner.loop.create_connection(lambda: link, *self.address)
        except OSError:
            self._connect_failed(link)

    def _connect_failed(self, link: BackendConnection) -> None:
        """Refused, or not up in time: known never to have run."""
        attempt = link.attempt
        link.abort()
        if attempt is not None:
            self.finish(attempt, Outcome.CONNECT_FAILED)

    def connected(self, link: BackendConnection) -> None:
        attempt = cast(Attempt, link.attempt)
        link.cancel_timer()
        now, drained = self.owner.clock(), self.drain_ends_at is not None
        if (
            drained and self.owner.loop.time() >= cast(float, self.drain_ends_at)
        ) or 0 < attempt.send_deadline <= now:
            # Rules 3 and 2: decided before the drain was told, or within a key's window, but too late now.
            self._connect_failed(link)
            return
        if not self.owner.is_wanted(attempt):
            link.abort()
            self.finish(attempt, Outcome.NOT_SENT)
            return
        link.write(attempt, now)

    def release(self, link: BackendConnection) -> None:
        """Back to the top of the stack: the rest below grow old and are retired."""
        link.resume()
        if self.drain_ends_at is not None:
            link.abort()
            return
        link.idle_at = self.owner.time()
        self.idle.append(link)

    def remove(self, link: BackendConnection) -> None:
        if link in self.connections:
            self.connections.remove(link)
            self.owner.open_connections -= 1
            if link in self.idle:
                self.idle.remove(link)

    def finish(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None = None, report: LoadReport | None = None
    ) -> None:
        self.owner.finish_attempt(attempt, outcome, value, report or {})

    def close_idle_before(self, before: float) -> None:
        """The oldest lie at the bottom."""
        while self.idle and self.idle[0].idle_at <= before:
            self.idle[0].abort()

    def close_idle(self) -> None:
        for link in self.idle[:]:
            link.abort()


class BackendConnections:
    """All pools, bounded together so that descriptors never run out."""

    def __init__(
        self,
        most: int,
        connect_timeout: float,
        idle_limit: float,
        drain_grace: float,
        clock: Callable[[], int],
        done: AttemptDone,
        figures: Metrics,
        begun: ResponseStartedCallback,
        wanted: StillWanted = lambda attempt: True,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.time = self.loop.time
        self.open_connections = 0
        self.connect_timeout, self.keep_alive = (
            connect_timeout,
            KeepAliveEstimator(idle_limit * KEEP_ALIVE_FRACTION),
        )
        self.clock, self._metrics, self.response_started, self.is_wanted = clock, figures, begun, wanted
        self.max_connections, self._configured_max, self._attempt_done = most, most, done
        self._drain_grace = drain_grace * DRAIN_GRACE_FRACTION
        self._pools: dict[int, ConnectionPool] = {}
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def set_address(self, backend: int, address: Address | None) -> None:
        """Where a backend is reached; None once it drains or is gone and gets nothing new."""
        pool = self._pools.get(backend)
        if address is None:
            if pool is not None and pool.drain_ends_at is None:
                pool.drain_ends_at = self.loop.time() + self._drain_grace
                pool.close_idle()
        elif pool is None or pool.address != address or pool.drain_ends_at is not None:
            if pool is not None:
                pool.drain_ends_at = pool.drain_ends_at or self.loop.time() + self._drain_grace
                pool.close_idle()
            self._pools[backend] = ConnectionPool(self, address)

    def limit(self, most: int | None) -> None:
        """So many connections at most, while another process has the rest."""
        self.max_connections = (
            self._configured_max if most is None else min(self._configured_max, max(1, most))
        )

    def known_backends(self) -> list[int]:
        return list(self._pools)

    def has_usable(self) -> bool:
        """Whether any backend takes requests."""
        return any(pool.drain_ends_at is None for pool in self._pools.values())

    def idle_count(self) -> int:
        """Connections that wait for an attempt."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def start_attempt(self, attempt: Attempt, timeout: float | None) -> None:
        """Exactly one call of `done` follows, never before this returns."""
        if timeout is not None:
            attempt.timer = self.loop.call_later(timeout, self.expire_attempt, attempt)
        pool = self._pools.get(attempt.backend)
        if pool is None:
            self.loop.call_soon(self.connect_failed, attempt)
        else:
            pool.send(attempt, attempt.started_at)

    def request_written(self, attempt: Attempt) -> None:
        """Its last byte is out: it counts, unless it is a probe."""
        if not isinstance(attempt, ProbeAttempt):
            self._metrics.attempts += 1

    def connect_failed(self, attempt: Attempt) -> None:
        self.finish_attempt(attempt, Outcome.CONNECT_FAILED, None, {})

    def expire_attempt(self, attempt: Attempt) -> None:
        """Stop waiting. What never left the write buffer never ran, anything else may have."""
        self._abandon(attempt, Outcome.CONNECT_FAILED if self._is_unsent(attempt) else Outcome.TIMEOUT)

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._abandon(attempt, Outcome.CANCELLED)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Nobody waits for it any more: it ends here unless its last byte is out."""
        if self._is_unsent(attempt):
            self._abandon(attempt, Outcome.NOT_SENT)

    def _is_unsent(self, attempt: Attempt) -> bool:
        return attempt.connection is None or attempt.connection.has_unsent

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        if attempt.connection is not None:
            # Answers queue in order: a connection whose answer is not waited for is of no more use.
            attempt.connection.abort()
        self.finish_attempt(attempt, outcome, None, {})

    def finish_attempt(
        self, attempt: Attempt, outcome: Outcome, value: bytes | None, report: LoadReport
    ) -> None:
        """The one place where an attempt ends; what comes second, as a failure told later, says nothing."""
        if attempt.ended:
            return
        attempt.ended, attempt.connection = True, None
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        self._attempt_done(attempt, outcome, value, report)

    def close_idle_connections(self, backend: int) -> None:
        if (pool := self._pools.get(backend)) is not None:
            pool.close_idle()

    def has_capacity(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere gives way."""
        if self.open_connections >= self.max_connections:
            spare = max(self._pools.values(), key=lambda pool: len(pool.idle), default=None)
            if spare is not None and spare.idle:
                spare.idle[0].abort()
        return self.open_connections < self.max_connections

    def _sweep(self) -> None:
        self.keep_alive.decay()
        before = self.time() - self.keep_alive.idle_limit
        for backend, pool in list(self._pools.items()):
            pool.close_idle_before(before)
            if (
                pool.drain_ends_at is not None
                and not pool.connections
                and self.loop.time() > pool.drain_ends_at
            ):
                del self._pools[backend]
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        self._sweep_timer.cancel()
        for pool in self._pools.values():
            for link in list(pool.connections):
                link.abort()


def monotonic_unix_ns() -> Callable[[], int]:
    """A clock that never goes back and reads Unix time at its start, so that `born_ms` lies on it."""
    base = time.time_ns() - time.monotonic_ns()
    return lambda: base + time.monotonic_ns()
