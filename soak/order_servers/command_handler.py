"""What an order server does with a command."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from soak.observations import AttemptSeen, Record, content_of
from soak.order_servers.active_faults import ActiveFaults
from soak.order_servers.connection import ServerConnection
from soak.order_servers.faulty_replies import FaultyReplies
from soak.order_servers.responses import (
    BUSY_REPLY,
    ERROR_REPLY,
    PONG_REPLY,
    UNKNOWN_REPLY,
    padded,
    requested_bytes,
    response_value,
    success_reply,
)
from soak.schedule import FaultKind

SLOW_FACTOR = 20.0
MAX_DELAY_AFTER_HANG_S = 0.05
REQUEST_COMMANDS = (b"CALL.GET", b"CALL.POST")


class CommandHandler:
    """Replies to the commands of one order server, unless a fault prevents it."""

    def __init__(
        self, server: int, work_s: float, record: Record, faults: ActiveFaults, rng: random.Random
    ) -> None:
        """Take the server's number, and the mean time of a request in seconds."""
        self._loop = asyncio.get_running_loop()
        self._server = server
        self._work_s = work_s
        self._record = record
        self._faults = faults
        self._rng = rng
        self._faulty_replies = FaultyReplies(rng, work_s)
        self._hanging: list[Callable[[], None]] = []  # replies that wait for the end of a hang

    def handle(self, connection: ServerConnection, words: list[bytes], began_at: float, now: float) -> None:
        """Reply to a command, now or later, unless a fault prevents it."""
        name = words[0].upper()
        if name not in REQUEST_COMMANDS:
            connection.reply(None, {b"PING": PONG_REPLY}.get(name, UNKNOWN_REPLY))
            return
        seen = self._record_attempt(connection, words, began_at, now)
        if self._faults.affects_command(FaultKind.BUSY):
            seen.may_have_executed = False
            connection.reply(seen, BUSY_REPLY)
            return
        if self._faults.affects_command(FaultKind.RESET):
            self._loop.call_later(self._rng.uniform(0.0, self._work_s), connection.abort)
            return
        work_s = self._work_s * self._rng.expovariate(1.0)
        if self._faults.is_active(FaultKind.SLOW):
            work_s *= SLOW_FACTOR
        self._loop.call_later(work_s, self._finish, connection, seen)

    def _record_attempt(
        self, connection: ServerConnection, words: list[bytes], began_at: float, now: float
    ) -> AttemptSeen:
        pairs = dict(pair.partition(b"=")[::2] for pair in words[3].split(b","))
        seen = AttemptSeen(
            request_id=words[2].decode(),
            gateway=connection.gateway,
            server=self._server,
            first_byte_at=began_at,
            last_byte_at=now,
            wait_ms=int(pairs[b"d"]),
            content=content_of(words),
        )
        connection.add_attempt(seen)
        self._record.attempts.append(seen)
        return seen

    def _finish(self, connection: ServerConnection, seen: AttemptSeen) -> None:
        if self._loop.time() - seen.last_byte_at > seen.wait_ms / 1000 and self._faults.draw():
            return  # an expired request may be dropped without a reply
        value = response_value(seen.request_id, self._server)
        if self._faults.affects_command(FaultKind.LARGE):
            self._faulty_replies.send_large(connection, seen, value)
            return
        size = requested_bytes(seen.request_id)
        reply = success_reply(padded(value, size) if size else value)
        if self._faults.affects_command(FaultKind.ERROR):
            reply = ERROR_REPLY
        if self._faults.is_active(FaultKind.HANG):
            self._hanging.append(lambda: connection.reply(seen, reply))
        elif self._faults.affects_command(FaultKind.LOST_RESPONSE):
            return
        elif self._faults.affects_command(FaultKind.MALFORMED):
            self._faulty_replies.send_malformed(connection, seen, reply)
        else:
            connection.reply(seen, reply)

    def end_hang(self) -> None:
        """Send some of the replies that waited for the end of a hang, and drop the others."""
        hanging, self._hanging = self._hanging, []
        for send in hanging:
            if self._faults.draw():
                self._loop.call_later(self._rng.uniform(0.0, MAX_DELAY_AFTER_HANG_S), send)

    def drop_hanging_replies(self) -> None:
        """Drop the replies that wait for the end of a hang."""
        self._hanging.clear()
