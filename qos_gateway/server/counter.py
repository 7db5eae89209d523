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

BACKOFF_FIRST, BACKOFF_MOST = 0.05, 0.5  # s between attempts to connect; doubles, and a connection resets it
LINES = 4  # connections: one whose answer never comes holds up none but its own calls
SILENT = 1.0  # s without the oldest call's answer after which a connection is given up: its machine is gone
PING_AFTER = 2.0  # s without a call: the counter closes what is idle, and a vanished one shows before a call
LOOK = 0.25  # s between looks for either
WAITING_MOST = 256  # calls of a connection without an answer: more than the counter serves within `SILENT`
LINE_MOST = 512  # bytes of an answer
LIFE_MOST = 60_000  # ms
MILLISECOND = 1_000_000
_TOTAL = re.compile(rb"[+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?")


class _Bump:
    """One call, or a ping, until its answer has come and it is told what came of it."""

    __slots__ = ("amount", "at", "lifetime", "line", "name", "told")

    def __init__(self, name: int, lifetime: int, amount: float, at: float) -> None:
        self.name, self.lifetime, self.amount, self.at = name, lifetime, amount, at
        self.line: _Line | None = None  # where it was written
        self.told = name < 0

    def text(self) -> bytes:
        if self.name < 0:
            return b"ping\r\n"
        life = min(LIFE_MOST, max(1, self.lifetime // MILLISECOND))
        return b"bump %d %b %d\r\n" % (self.name, f"{self.amount:.6f}".encode(), life)


def read_answer(line: bytes) -> tuple[Outcome, float] | None:
    """What an answer to a call means; None where it tells neither a total nor that nothing was added."""
    if line in (b"busy", b"error"):
        return (Outcome.OVERLOADED if line == b"busy" else Outcome.ERROR), 0.0
    word, _, total = line.partition(b" ")
    return (Outcome.OK, float(total)) if word == b"ok" and _TOTAL.fullmatch(total) else None


class _Line(asyncio.Protocol):
    """One connection; `waiting` holds what was written on it and not answered, told of or not."""

    def __init__(self, owner: Counter) -> None:
        self.owner, self.waiting, self._rest = owner, deque[_Bump](), b""
        self.transport: asyncio.Transport | None = None
        self.wrote_at = owner.time()
        self.over = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def write(self, bump: _Bump) -> None:
        bump.line, self.wrote_at = self, self.owner.time()
        self.waiting.append(bump)
        cast(asyncio.Transport, self.transport).write(bump.text())

    def usable(self) -> bool:
        closing = self.transport is None or self.transport.is_closing()
        return not closing and len(self.waiting) < WAITING_MOST

    def data_received(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if not self._answer(line.rstrip(b"\r")):
                return
        if len(self._rest) > LINE_MOST:
            self.owner.give_up(self, "answer without end")

    def _answer(self, line: bytes) -> bool:
        """Whether more can be read behind it."""
        if not self.waiting:
            self.owner.give_up(self, "words that nobody asked for")
            return False
        bump = self.waiting[0]
        read = read_answer(line) if bump.name >= 0 else (Outcome.OK, 0.0) if line == b"pong" else None
        if read is None:
            # Added all the same, by the terms; nothing that follows here can be told apart.
            self.owner.give_up(self, f"answer {line[:80]!r}")
            return False
        self.waiting.popleft()
        self.owner.answered(bump, *read)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.over = True
        self.owner.lost(self, str(exc or "closed"))

    def drop(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Counter:
    """Keeps a few connections open. Each call's end is told exactly once, within the time-out, for each name
    in the order of the calls, and never before `call` returns.
    """

    def __init__(
        self, address: Address, timeout: float, connect_timeout: float, told: Callable[[CounterReplied], None]
    ) -> None:
        self._address, self._timeout, self._connect_timeout = address, timeout, connect_timeout
        self._told = told
        self._loop = asyncio.get_running_loop()
        self.time = self._loop.time
        self._lines: list[_Line] = []
        self._left: list[_Line] = []  # at the address before: they finish what they have
        self._moved = False  # the lines are those of the address before
        self._live: deque[_Bump] = deque()  # in the order of the calls; those told of leave at the front
        self._at: dict[int, tuple[_Line, int]] = {}  # by name: where calls are out, and how many
        self._pending: list[_Bump] = []  # for a connection that is coming up
        self._newest = 0.0  # when the newest of the calls that were answered was made
        self._down = False  # the last attempt to connect failed
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._looker: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self._connect()
        self._looker = self._loop.call_later(LOOK, self._look)

    def move(self, address: Address) -> None:
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
        for timer in (self._timer, self._looker):
            if timer is not None:
                timer.cancel()
        if self._task is not None:
            self._task.cancel()
        for line in (*self._lines, *self._left):
            if line.transport is not None:
                line.transport.close()

    def call(self, name: int, lifetime: int, amount: float) -> None:
        bump = _Bump(name, lifetime, amount, self.time())
        if not self._lines and self._down:
            self._loop.call_soon(self._tell, bump, Outcome.CONNECT_FAILED, 0.0)
            return
        self._live.append(bump)
        if self._timer is None:
            self._timer = self._loop.call_later(self._timeout, self._expire)
        if self._pending or not self._written(bump):
            self._pending.append(bump)

    def _written(self, bump: _Bump) -> bool:
        """Calls of one name stand on one connection, or their answers could overtake one another."""
        at, out = self._at.get(bump.name, (None, 0))
        if at is None:
            at = min(
                (line for line in self._lines if line.usable()),
                key=lambda line: len(line.waiting),
                default=None,
            )
        elif at not in self._lines or not at.usable():
            return False
        if at is None:
            return False
        self._at[bump.name] = at, out + 1
        at.write(bump)
        return True

    def _flush(self) -> None:
        pending, self._pending = self._pending, []
        self._pending = [bump for bump in pending if not (bump.told or self._written(bump))] + self._pending

    def answered(self, bump: _Bump, outcome: Outcome, total: float) -> None:
        self._newest = max(self._newest, bump.at)
        self._tell(bump, outcome, total)
        if self._pending:
            self._flush()

    def _tell(self, bump: _Bump, outcome: Outcome, total: float) -> None:
        if bump.told:
            return
        bump.told = True
        if bump.line is not None:
            line, out = self._at[bump.name]
            if out > 1:
                self._at[bump.name] = line, out - 1
            else:
                del self._at[bump.name]
        if not self._closed:
            self._told(CounterReplied(max(0, int((self.time() - bump.at) * 1e9)), outcome, bump.name, total))

    def _expire(self) -> None:
        """The oldest calls' time is up; a late answer is known by its place in the line."""
        self._timer = None
        live, now = self._live, self.time()
        while live and (live[0].told or now - live[0].at >= self._timeout):
            bump = live.popleft()
            if bump.told or (bump.line is not None and self._overtaken(bump.line)):
                continue
            self._tell(bump, Outcome.TIMEOUT if bump.line else Outcome.CONNECT_FAILED, 0.0)
        if self._pending:
            self._flush()
        if live and self._timer is None:
            self._timer = self._loop.call_later(max(0.001, live[0].at + self._timeout - now), self._expire)

    def _overtaken(self, line: _Line) -> bool:
        """Later calls were answered on other connections: what lacks here past its time is no crowd's doing,
        but an answer that got lost, and all behind it would wait for it in vain.
        """
        first = line.waiting[0] if line.waiting else None
        if first is None or self.time() - first.at < self._timeout or first.at >= self._newest:
            return False
        self.give_up(line, "an answer does not come, though later calls have theirs")
        return True

    def _connect(self) -> None:
        if not self._closed and (self._task is None or self._task.done()):
            self._task = self._loop.create_task(self._connecting())

    async def _connecting(self) -> None:
        backoff = BACKOFF_FIRST
        while self._moved or len(self._lines) < LINES:
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
                if not self._lines:
                    self._fail_pending()
                # Jitter, or gateways that lost it together would come back together.
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(BACKOFF_MOST, 2 * backoff)
            else:
                if self._down:
                    log.info("counter %s:%d in reach again", *self._address)
                self._down = False
                if self._moved:
                    self._moved = False
                    self._left, self._lines = self._left + self._lines, []
                self._lines.append(line)
                self._flush()

    def _fail_pending(self) -> None:
        pending, self._pending = self._pending, []
        for bump in pending:
            self._tell(bump, Outcome.CONNECT_FAILED, 0.0)

    def give_up(self, line: _Line, why: str) -> None:
        """A connection that is of no further use."""
        log.warning("counter %s:%d: connection given up: %s", *self._address, why)
        line.drop()
        self._ended(line)

    def lost(self, line: _Line, why: str) -> None:
        if not self._closed and (line in self._lines or line in self._left):
            if line in self._lines:
                log.warning("counter %s:%d: connection over: %s", *self._address, why)
            self._ended(line)

    def _ended(self, line: _Line) -> None:
        """What was written may have been added; what comes now goes elsewhere."""
        for lines in (self._lines, self._left):
            if line in lines:
                lines.remove(line)
        waiting, line.waiting = line.waiting, deque()
        for bump in waiting:
            self._tell(bump, Outcome.RESET, 0.0)
        self._connect()
        if self._pending:
            self._flush()

    def _look(self) -> None:
        now = self.time()
        for line in (*self._lines, *self._left):
            self._overtaken(line)
            if line.waiting and now - line.waiting[0].at >= SILENT:
                self.give_up(line, "silent")
        for line in self._left[:]:
            if not line.waiting:
                line.drop()
                self._left.remove(line)
        for line in self._lines:
            if line.usable() and not line.waiting and now - line.wrote_at >= PING_AFTER:
                line.write(_Bump(-1, 0, 0.0, now))
        self._looker = self._loop.call_later(LOOK, self._look)
