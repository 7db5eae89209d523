"""Replies that are large, stalled, truncated, repeated or malformed."""

from __future__ import annotations

import asyncio
import random

from soak.observations import AttemptSeen
from soak.order_servers.active_faults import FAULT_PROBABILITY
from soak.order_servers.connection import ServerConnection
from soak.order_servers.responses import MALFORMED_REPLIES, padded, success_reply

MIN_LARGE_BYTES = 66_000
MAX_LARGE_BYTES = 600_000
CHUNK_BYTES = 48_000
CHUNK_INTERVAL_S = 0.002
MIN_WHOLE_BYTES = 100  # of a large reply, before a fault in the middle of it
MAX_RESET_DELAY_S = 0.1
TRICKLE_BYTES = 100
TRICKLE_INTERVAL_S = 0.1
TRICKLE_CHUNKS = 10
MAX_REPEAT_DELAY_S = 0.003
SMALL_CHUNK_BYTES = 16
SMALL_CHUNK_DELAY_PER_BYTE_S = 0.0005


class FaultyReplies:
    """Writes the faulty replies of one order server."""

    def __init__(self, rng: random.Random, work_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._rng = rng
        self._work_s = work_s

    def send_large(self, connection: ServerConnection, seen: AttemptSeen, value: bytes) -> None:
        """Reply with a large value in chunks, which may stall, end or slow to a trickle in the middle."""
        size = self._rng.randint(MIN_LARGE_BYTES, MAX_LARGE_BYTES)
        reply = success_reply(padded(value, size))
        what = self._rng.choices(("whole", "stall", "reset", "trickle"), (5, 1, 1, 1))[0]
        if what == "whole":
            self._send_in_chunks(connection, seen, reply, 0.0)
            return
        middle = self._rng.randint(MIN_WHOLE_BYTES, len(reply) - 2 * TRICKLE_BYTES * TRICKLE_CHUNKS)
        self._send_in_chunks(connection, None, reply[:middle], 0.0)
        if what == "reset":
            self._loop.call_later(self._rng.uniform(0.0, MAX_RESET_DELAY_S), connection.abort)
        elif what == "trickle":
            self._trickle(connection, seen, reply[middle:])

    def _trickle(self, connection: ServerConnection, seen: AttemptSeen, data: bytes) -> None:
        """Send a few small chunks at long intervals, then all other bytes."""
        for number in range(TRICKLE_CHUNKS):
            chunk = data[number * TRICKLE_BYTES : (number + 1) * TRICKLE_BYTES]
            self._loop.call_later((number + 1) * TRICKLE_INTERVAL_S, connection.reply, None, chunk)
        rest = data[TRICKLE_CHUNKS * TRICKLE_BYTES :]
        self._send_in_chunks(connection, seen, rest, (TRICKLE_CHUNKS + 1) * TRICKLE_INTERVAL_S)

    def _send_in_chunks(
        self, connection: ServerConnection, seen: AttemptSeen | None, reply: bytes, delay_s: float
    ) -> None:
        """Write a reply in chunks; the last one ends the attempt, unless that is None."""
        for at in range(0, len(reply), CHUNK_BYTES):
            is_last = at + CHUNK_BYTES >= len(reply)
            chunk = reply[at : at + CHUNK_BYTES]
            chunk_delay_s = delay_s + at / CHUNK_BYTES * CHUNK_INTERVAL_S
            self._loop.call_later(chunk_delay_s, connection.reply, seen if is_last else None, chunk)

    def send_malformed(self, connection: ServerConnection, seen: AttemptSeen, reply: bytes) -> None:
        """Reply with malformed bytes, a half of the reply, the reply twice, or in small chunks."""
        send = (self._send_garbage, self._send_half, self._send_twice, self._send_in_small_chunks)
        send[self._rng.randrange(4)](connection, seen, reply)

    def _send_garbage(self, connection: ServerConnection, seen: AttemptSeen, _: bytes) -> None:
        connection.reply(seen, self._rng.choice(MALFORMED_REPLIES))

    def _send_half(self, connection: ServerConnection, _: AttemptSeen, reply: bytes) -> None:
        """Send the first half, then nothing or a reset."""
        connection.reply(None, reply[: len(reply) // 2])
        if self._rng.random() < FAULT_PROBABILITY:
            self._loop.call_later(self._work_s, connection.abort)

    def _send_twice(self, connection: ServerConnection, seen: AttemptSeen, reply: bytes) -> None:
        connection.reply(seen, reply)
        delay_s = self._rng.uniform(0.0, MAX_REPEAT_DELAY_S)
        self._loop.call_later(delay_s, connection.reply, None, reply)

    def _send_in_small_chunks(self, connection: ServerConnection, seen: AttemptSeen, reply: bytes) -> None:
        for at in range(0, len(reply), SMALL_CHUNK_BYTES):
            chunk = reply[at : at + SMALL_CHUNK_BYTES]
            is_last = at + SMALL_CHUNK_BYTES >= len(reply)
            delay_s = at * SMALL_CHUNK_DELAY_PER_BYTE_S
            self._loop.call_later(delay_s, connection.reply, seen if is_last else None, chunk)
