"""Calls to the quota counter: lines of text on a few connections, answered on each in their order."""

from __future__ import annotations

import asyncio
import logging
import random
import re
from collections import deque
from collections.abc import Callable
from typing import cast

from ..types import CounterReplied, Outcome
from .config import Address
from .logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

INITIAL_BACKOFF_S, MAX_BACKOFF_S = (
    0.05,
    0.5,
)  # s between attempts to connect; doubles, and a connection resets it
CONNECTIONS = 4  # connections: one whose answer never comes holds up none but its own calls
RESPONSE_TIMEOUT_S = (
    1.0  # s without the oldest call's answer after which a connection is given up: its machine is gone
)
PING_INTERVAL_S = (
    2.0  # s without a call: the counter closes what is idle, and a vanished one shows before a call
)
CHECK_INTERVAL_S = 0.25  # s between looks for either
MAX_PENDING = 256  # calls of a connection without an answer: more than the counter serves within `SILENT`
MAX_RESPONSE_BYTES = 512  # bytes of an answer
MAX_TIME_TO_LIVE_MS = 60_000  # ms
MILLISECOND = 1_000_000
_TOTAL = re.compile(rb"[+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?")


class PendingIncrement:
    """One call, or a ping, until its answer has come and it is told what came of it."""

    __slots__ = ("amount", "called_at", "completed", "connection", "key", "time_to_live")

    def __init__(self, name: int, lifetime: int, amount: float, at: float) -> None:
        self.key, self.time_to_live, self.amount, self.called_at = name, lifetime, amount, at
        self.connection: CounterConnection | None = None  # where it was written
        self.completed = name < 0

    def encode(self) -> bytes:
        if self.key < 0:
            return b"ping\r\n"
        life = min(MAX_TIME_TO_LIVE_MS, max(1, self.time_to_live // MILLISECOND))
        return b"bump %d %b %d\r\n" % (self.key, f"{self.amount:.6f}".encode(), life)


def read_answer(line: bytes) -> tuple[Outcome, float] | None:
    """What an answer to a call means; None where it tells neither a total nor that nothing was added."""
    if line in (b"busy", b"error"):
        return (Outcome.OVERLOADED if line == b"busy" else Outcome.ERROR), 0.0
    word, _, total = line.partition(b" ")
    return (Outcome.OK, float(total)) if word == b"ok" and _TOTAL.fullmatch(total) else None


class CounterConnection(asyncio.Protocol):
    """One connection; `waiting` holds what was written on it and not answered, told of or not."""

    def __init__(self, owner: CounterClient) -> None:
        self.owner, self.pending, self._partial_line = owner, deque[PendingIncrement](), b""
        self.transport: asyncio.Transport | None = None
        self.last_write_at = owner.time()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def write(self, bump: PendingIncrement) -> None:
        bump.connection, self.last_write_at = self, self.owner.time()
        self.pending.append(bump)
        cast(asyncio.Transport, self.transport).write(bump.encode())

    def is_usable(self) -> bool:
        closing = self.transport is None or self.transport.is_closing()
        return not closing and len(self.pending) < MAX_PENDING

    def data_received(self, data: bytes) -> None:
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if not self._read_line(line.rstrip(b"\r")):
                return
        if len(self._partial_line) > MAX_RESPONSE_BYTES:
            self.owner.abandon(self, "answer without end")

    def _read_line(self, line: bytes) -> bool:
        """Whether more can be read behind it."""
        if not self.pending:
            self.owner.abandon(self, "words that nobody asked for")
            return False
        bump = self.pending[0]
        read = read_answer(line) if bump.key >= 0 else (Outcome.OK, 0.0) if line == b"pong" else None
        if read is None:
            # Added all the same, by the terms; nothing that follows here can be told apart.
            self.owner.abandon(self, f"answer {line[:80]!r}")
            return False
        self.pending.popleft()
        self.owner.on_response(bump, *read)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.owner.on_connection_lost(self, str(exc or "closed"))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class CounterClient:
    """Keeps a few connections open. Each call's end is told exactly once, within the time-out, for each name
    in the order of the calls, and never before `call` returns.
    """

    def __init__(
        self, address: Address, timeout: float, connect_timeout: float, told: Callable[[CounterReplied], None]
    ) -> None:
        self._address, self._timeout, self._connect_timeout = address, timeout, connect_timeout
        self._on_reply = told
        self._loop = asyncio.get_running_loop()
        self.time = self._loop.time
        self._connections: list[CounterConnection] = []
        self._draining_connections: list[
            CounterConnection
        ] = []  # at the address before: they finish what they have
        self._moved = False  # the lines are those of the address before
        self._incomplete: deque[PendingIncrement] = (
            deque()
        )  # in the order of the calls; those told of leave at the front
        self._connection_of_key: dict[
            int, tuple[CounterConnection, int]
        ] = {}  # by name: where calls are out, and how many
        self._pending: list[PendingIncrement] = []  # for a connection that is coming up
        self._newest_answered_at = 0.0  # when the newest of the calls that were answered was made
        self._unreachable = False  # the last attempt to connect failed
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._connect()
        self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def change_address(self, address: Address) -> None:
        """Connect to where the counter is now; until that is up, calls go on at the old address."""
        if address == self._address or self._closed:
            return
        log.info("counter moves to %s:%d", *address)
        self._address, self._moved = address, True
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._connect()

    def close(self) -> None:
        """Nothing more is called; what was written goes out."""
        self._closed = True
        for timer in (self._timer, self._check_timer):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()
        for line in (*self._connections, *self._draining_connections):
            if line.transport is not None:
                line.transport.close()

    def call(self, name: int, lifetime: int, amount: float) -> None:
        bump = PendingIncrement(name, lifetime, amount, self.time())
        if not self._connections and self._unreachable:
            self._loop.call_soon(self._complete, bump, Outcome.CONNECT_FAILED, 0.0)
            return
        self._incomplete.append(bump)
        if self._timer is None:
            self._timer = self._loop.call_later(self._timeout, self._expire)
        if self._pending or not self._try_write(bump):
            self._pending.append(bump)

    def _try_write(self, bump: PendingIncrement) -> bool:
        """Calls of one name stand on one connection, or their answers could overtake one another."""
        at, out = self._connection_of_key.get(bump.key, (None, 0))
        if at is None:
            at = min(
                (line for line in self._connections if line.is_usable()),
                key=lambda line: len(line.pending),
                default=None,
            )
        elif at not in self._connections or not at.is_usable():
            return False
        if at is None:
            return False
        self._connection_of_key[bump.key] = at, out + 1
        at.write(bump)
        return True

    def _write_pending(self) -> None:
        pending, self._pending = self._pending, []
        self._pending = [
            bump for bump in pending if not (bump.completed or self._try_write(bump))
        ] + self._pending

    def on_response(self, bump: PendingIncrement, outcome: Outcome, total: float) -> None:
        self._newest_answered_at = max(self._newest_answered_at, bump.called_at)
        self._complete(bump, outcome, total)
        if self._pending:
            self._write_pending()

    def _complete(self, bump: PendingIncrement, outcome: Outcome, total: float) -> None:
        if bump.completed:
            return
        bump.completed = True
        if bump.connection is not None:
            line, out = self._connection_of_key[bump.key]
            if out > 1:
                self._connection_of_key[bump.key] = line, out - 1
            else:
                del self._connection_of_key[bump.key]
        if not self._closed:
            self._on_reply(
                CounterReplied(max(0, int((self.time() - bump.called_at) * 1e9)), outcome, bump.key, total)
            )

    def _expire(self) -> None:
        """The oldest calls' time is up; a late answer is known by its place in the line."""
        self._timer = None
        live, now = self._incomplete, self.time()
        while live and (live[0].completed or now - live[0].called_at >= self._timeout):
            bump = live.popleft()
            if bump.completed or (bump.connection is not None and self._check_overtaken(bump.connection)):
                continue
            self._complete(bump, Outcome.TIMEOUT if bump.connection else Outcome.CONNECT_FAILED, 0.0)
        if self._pending:
            self._write_pending()
        if live and self._timer is None:
            self._timer = self._loop.call_later(
                max(0.001, live[0].called_at + self._timeout - now), self._expire
            )

    def _check_overtaken(self, line: CounterConnection) -> bool:
        """Later calls were answered on other connections: what lacks here past its time is no crowd's doing,
        but an answer that got lost, and all behind it would wait for it in vain.
        """
        first = line.pending[0] if line.pending else None
        if (
            first is None
            or self.time() - first.called_at < self._timeout
            or first.called_at >= self._newest_answered_at
        ):
            return False
        self.abandon(line, "an answer does not come, though later calls have theirs")
        return True

    def _connect(self) -> None:
        if not self._closed and (self._task is None or self._task.done()):
            self._task = self._loop.create_task(self._connecting())

    async def _connecting(self) -> None:
        backoff = INITIAL_BACKOFF_S
        while self._moved or len(self._connections) < CONNECTIONS:
            try:
                async with asyncio.timeout(self._connect_timeout):
                    _, line = await self._loop.create_connection(
                        lambda: CounterConnection(self), *self._address
                    )
                if line.closed:
                    raise ConnectionResetError("closed at once")
            except (OSError, TimeoutError) as error:
                if not self._unreachable:
                    why = error or "no connection in time"
                    log.warning("counter %s:%d out of reach: %s", *self._address, why)
                self._unreachable = True
                if not self._connections:
                    self._fail_pending()
                # Jitter, or gateways that lost it together would come back together.
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(MAX_BACKOFF_S, 2 * backoff)
            else:
                if self._unreachable:
                    log.info("counter %s:%d in reach again", *self._address)
                self._unreachable = False
                if self._moved:
                    self._moved = False
                    self._draining_connections, self._connections = (
                        self._draining_connections + self._connections,
                        [],
                    )
                self._connections.append(line)
                self._write_pending()

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, []
        for bump in pending:
            self._complete(bump, Outcome.CONNECT_FAILED, 0.0)

    def abandon(self, line: CounterConnection, why: str) -> None:
        """A connection that is of no further use."""
        log.warning("counter %s:%d: connection given up: %s", *self._address, why)
        line.abort()
        self._remove(line)

    def on_connection_lost(self, line: CounterConnection, why: str) -> None:
        if not self._closed and (line in self._connections or line in self._draining_connections):
            if line in self._connections:
                log.warning("counter %s:%d: connection over: %s", *self._address, why)
            self._remove(line)

    def _remove(self, line: CounterConnection) -> None:
        """What was written may have been added; what comes now goes elsewhere."""
        for lines in (self._connections, self._draining_connections):
            if line in lines:
                lines.remove(line)
        waiting, line.pending = line.pending, deque()
        for bump in waiting:
            self._complete(bump, Outcome.RESET, 0.0)
        self._connect()
        if self._pending:
            self._write_pending()

    def _check(self) -> None:
        now = self.time()
        for line in (*self._connections, *self._draining_connections):
            self._check_overtaken(line)
            if line.pending and now - line.pending[0].called_at >= RESPONSE_TIMEOUT_S:
                self.abandon(line, "silent")
        for line in self._draining_connections[:]:
            if not line.pending:
                line.abort()
                self._draining_connections.remove(line)
        for line in self._connections:
            if line.is_usable() and not line.pending and now - line.last_write_at >= PING_INTERVAL_S:
                line.write(PendingIncrement(-1, 0, 0.0, now))
        self._check_timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
