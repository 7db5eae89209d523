"""Calls to the quota counter: lines of text on one connection, answered in the order of the calls."""

from __future__ import annotations

import asyncio
import logging
import random
import re
from collections import deque
from collections.abc import Callable
from typing import cast

from ..interface import Counted, Outcome
from .config import Address
from .logs import Sparing

log = logging.getLogger(__name__)
log.addFilter(Sparing())

BACKOFF_FIRST, BACKOFF_MOST = 0.05, 0.5  # s between attempts to connect; doubles, and a connection resets it
SILENT = 1.0  # s without the oldest call's answer after which the connection is given up: its machine is gone
PING_AFTER = 2.0  # s without a call: the counter closes what is idle, and a vanished one shows before a call
LOOK = 0.25  # s between looks for either
WAITING_MOST = 1024  # calls without an answer: more than the counter serves within `SILENT`
LINE_MOST = 512  # bytes of an answer
LIFE_MOST = 60_000  # ms
MILLISECOND = 1_000_000
_TOTAL = re.compile(rb"[+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?")


class _Bump:
    """One call, or a ping, until its answer has come and it is told what came of it."""

    __slots__ = ("amount", "at", "lifetime", "name", "told", "written")

    def __init__(self, name: int, lifetime: int, amount: float, at: float) -> None:
        self.name, self.lifetime, self.amount, self.at = name, lifetime, amount, at
        self.written = False
        self.told = name < 0

    def line(self) -> bytes:
        if self.name < 0:
            return b"ping\r\n"
        life = min(LIFE_MOST, max(1, self.lifetime // MILLISECOND))
        return b"bump %d %b %d\r\n" % (self.name, f"{self.amount:.6f}".encode(), life)


def read_answer(line: bytes) -> tuple[Outcome, float] | None:
    """What an answer to a call means; None where it tells neither a total nor that nothing was added."""
    if line in (b"busy", b"error"):
        return (Outcome.FULL if line == b"busy" else Outcome.ERROR), 0.0
    word, _, total = line.partition(b" ")
    return (Outcome.OK, float(total)) if word == b"ok" and _TOTAL.fullmatch(total) else None


class _Line(asyncio.Protocol):
    """One connection; `waiting` holds what was written on it and not answered, told of or not."""

    def __init__(self, owner: Counter) -> None:
        self.owner, self.waiting, self._rest = owner, deque[_Bump](), b""
        self.transport: asyncio.Transport | None = None
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def write(self, bumps: list[_Bump]) -> None:
        transport = cast(asyncio.Transport, self.transport)
        for bump in bumps:
            bump.written = True
        self.waiting.extend(bumps)
        transport.write(b"".join(bump.line() for bump in bumps))

    def usable(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def owes(self) -> bool:
        """Whether a call is out here that nobody was told of: its word comes before that of later ones."""
        return any(not bump.told for bump in self.waiting)

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if not self._answer(line.rstrip(b"\r")):
                return
        if len(self._rest) > LINE_MOST:
            self.owner.spoilt(self, "answer without end")

    def _answer(self, line: bytes) -> bool:
        if not self.waiting:
            self.owner.spoilt(self, "words that nobody asked for")
            return False
        bump = self.waiting.popleft()
        read = (Outcome.OK, 0.0) if bump.name < 0 and line == b"pong" else read_answer(line)
        if read is None or (bump.name < 0 and line != b"pong"):
            # Added all the same, by the terms; nothing that follows here can be told apart.
            self.waiting.appendleft(bump)
            self.owner.spoilt(self, f"answer {line[:80]!r}")
            return False
        self.owner.tell(bump, *read)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.owner.lost(self, str(exc or "closed"))

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Counter:
    """Keeps one connection open. Each call's end is told exactly once, within the time-out, in the order of
    the calls, and never before `call` returns."""

    def __init__(
        self, address: Address, timeout: float, connect_timeout: float, told: Callable[[Counted], None]
    ) -> None:
        self._address, self._timeout, self._connect_timeout = address, timeout, connect_timeout
        self._told = told
        self._loop = asyncio.get_running_loop()
        self._line: _Line | None = None
        self._left: _Line | None = None  # at the address before: finishes what it has
        self._live: deque[_Bump] = deque()  # in the order of the calls; those told of leave at the front
        self._pending: list[_Bump] = []  # for a connection that is coming up
        self._down = False  # the last attempt to connect failed
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._looker: asyncio.TimerHandle | None = None
        self._wrote_at = 0.0

    def start(self) -> None:
        self._connect()
        self._looker = self._loop.call_later(LOOK, self._look)

    def move(self, address: Address) -> None:
        """Connect to where the counter is now; until that is up, calls go on at the old address."""
        if address == self._address or self._closed:
            return
        log.info("counter moves to %s:%d", *address)
        self._address = address
        if self._task is not None:
            self._task.cancel()
        self._connect()

    def close(self) -> None:
        """Nothing more is called; what was written goes out."""
        self._closed = True
        for timer in (self._timer, self._looker):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()
        for line in (self._line, self._left):
            if line is not None and line.transport is not None:
                line.transport.close()

    def call(self, name: int, lifetime: int, amount: float) -> None:
        bump = _Bump(name, lifetime, amount, self._loop.time())
        self._live.append(bump)
        if self._timer is None:
            self._timer = self._loop.call_later(self._timeout, self._expire)
        line = self._line
        if line is not None and line.usable() and not self._pending and not self._held_back():
            if len(line.waiting) < WAITING_MOST:
                self._write(line, [bump])
                return
        elif not (self._down and line is None):
            self._pending.append(bump)
            return
        self._loop.call_soon(self.tell, bump, Outcome.CONNECT_FAILED, 0.0)

    def _held_back(self) -> bool:
        return self._left is not None and self._left.owes()

    def _write(self, line: _Line, bumps: list[_Bump]) -> None:
        self._wrote_at = self._loop.time()
        line.write(bumps)

    def _flush(self) -> None:
        if self._line is not None and self._line.usable() and not self._held_back():
            bumps, self._pending = [bump for bump in self._pending if not bump.told], []
            if bumps:
                self._write(self._line, bumps)

    def tell(self, bump: _Bump, outcome: Outcome, total: float) -> None:
        if not bump.told:
            bump.told = True
            elapsed = int((self._loop.time() - bump.at) * 1e9)
            if not self._closed:
                self._told(Counted(max(0, elapsed), outcome, bump.name, total))
        if self._pending:
            self._flush()

    def _expire(self) -> None:
        """The oldest calls' time is up; a late answer is known by its place in the line."""
        self._timer = None
        live, now = self._live, self._loop.time()
        while live and (live[0].told or now - live[0].at >= self._timeout):
            bump = live.popleft()
            self.tell(bump, Outcome.TIMEOUT if bump.written else Outcome.CONNECT_FAILED, 0.0)
        if live and self._timer is None:
            self._timer = self._loop.call_later(max(0.001, live[0].at + self._timeout - now), self._expire)

    def _connect(self) -> None:
        self._task = self._loop.create_task(self._connecting())

    async def _connecting(self) -> None:
        backoff = BACKOFF_FIRST
        while True:
            try:
                async with asyncio.timeout(self._connect_timeout):
                    _, line = await self._loop.create_connection(lambda: _Line(self), *self._address)
                if line.over:
                    raise ConnectionResetError("closed at once")
            except (OSError, TimeoutError) as error:
                if not self._down:
                    why = error or "no connection in time"
                    log.warning("counter %s:%d out of reach: %s", *self._address, why)
                self._down = True
                if self._line is None:
                    self._fail_pending()
                # Jitter, or gateways that lost it together would come back together.
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(BACKOFF_MOST, 2 * backoff)
            else:
                if self._down:
                    log.info("counter %s:%d in reach again", *self._address)
                self._down = False
                self._left, self._line = self._line, line
                self._flush()
                return

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, []
        for bump in pending:
            self.tell(bump, Outcome.CONNECT_FAILED, 0.0)

    def spoilt(self, line: _Line, why: str) -> None:
        """Words that can't be read: the connection is of no further use."""
        log.warning("counter %s:%d: %s", *self._address, why)
        line.drop()
        self._ended(line)

    def lost(self, line: _Line, why: str) -> None:
        if not self._closed and line in (self._line, self._left):
            if line is self._line:
                log.warning("counter %s:%d: connection over: %s", *self._address, why)
            self._ended(line)

    def _ended(self, line: _Line) -> None:
        """What was written may have been added; what comes now waits for a new connection."""
        if line is self._left:
            self._left = None
        elif line is self._line:
            self._line = None
            if self._task is None or self._task.done():
                self._connect()
        waiting, line.waiting = line.waiting, deque()
        for bump in waiting:
            self.tell(bump, Outcome.TIMEOUT, 0.0)
        self._flush()

    def _look(self) -> None:
        now = self._loop.time()
        for line in (self._line, self._left):
            if line is not None and line.waiting and now - line.waiting[0].at >= SILENT:
                self.spoilt(line, "silent")
        if self._left is not None and not self._left.waiting:
            self._left.drop()
            self._left = None
        line = self._line
        if line is not None and line.usable() and not line.waiting and now - self._wrote_at >= PING_AFTER:
            self._write(line, [_Bump(-1, 0, 0.0, now)])
        self._looker = self._loop.call_later(LOOK, self._look)
