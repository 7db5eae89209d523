"""Calls to the quota counter: each increment is completed exactly once, within its timeout."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ...types import CounterReplied, Outcome
from ...units import SECOND
from ..config import Address
from .connection import CounterConnection, PendingIncrement, PendingRequest
from .connections import CounterConnections
from .protocol import CounterResponse

CONNECTION_CHECK_INTERVAL_S = 0.25
MIN_EXPIRY_DELAY_S = 0.001  # a timer due immediately would keep the event loop busy


@dataclass(slots=True)
class InFlightKey:
    """The connection used by a key's in-flight increments, and their number."""

    connection: CounterConnection
    count: int


class CounterClient:
    """Sends increments over a few connections.

    Each increment is completed exactly once, within the timeout and never before `call` returns. Increments
    of one key are completed in call order.
    """

    def __init__(
        self,
        address: Address,
        timeout_s: float,
        connect_timeout_s: float,
        on_reply: Callable[[CounterReplied], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.time = self._loop.time
        self._connections = CounterConnections(address, connect_timeout_s, self)
        self._timeout_s = timeout_s
        self._on_reply = on_reply
        self._incomplete: deque[PendingIncrement] = deque()  # oldest first; completed ones are removed lazily
        self._in_flight_by_key: dict[int, InFlightKey] = {}
        self._waiting_for_connection: list[PendingIncrement] = []
        self._closed = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._check_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start connecting and checking connections periodically."""
        self._connections.connect()
        self._schedule_check()

    def change_address(self, address: Address) -> None:
        """Connect to another address; the previous one is used until a connection to it is open."""
        self._connections.change_address(address)

    def close(self) -> None:
        """Stop reporting replies, and close the connections after sending buffered data."""
        self._closed = True
        for timer in (self._expiry_timer, self._check_timer):
            if timer is not None:
                timer.cancel()
        self._connections.close()

    def call(self, key: int, time_to_live_ns: int, amount: float) -> None:
        """Add `amount` to a key's total, which expires after `time_to_live_ns`."""
        increment = PendingIncrement(key, time_to_live_ns, amount, self.time())
        if self._connections.is_unreachable():
            self._loop.call_soon(self._complete, increment, Outcome.CONNECT_FAILED)
            return
        self._incomplete.append(increment)
        if self._expiry_timer is None:
            self._expiry_timer = self._loop.call_later(self._timeout_s, self._expire)
        if self._waiting_for_connection or not self._try_write(increment):
            self._waiting_for_connection.append(increment)

    def _try_write(self, increment: PendingIncrement) -> bool:
        """Write an increment to its key's connection, so that a key's responses stay in order."""
        in_flight = self._in_flight_by_key.get(increment.key)
        if in_flight is None:
            connection = self._connections.pick_connection()
            if connection is None:
                return False
            self._in_flight_by_key[increment.key] = InFlightKey(connection, 1)
        else:
            connection = in_flight.connection
            if not (self._connections.is_active(connection) and connection.is_usable()):
                return False
            in_flight.count += 1
        increment.connection = connection
        connection.write(increment)
        return True

    def _write_waiting(self) -> None:
        waiting = self._waiting_for_connection
        self._waiting_for_connection = []
        still_waiting = [
            increment for increment in waiting if not (increment.completed or self._try_write(increment))
        ]
        self._waiting_for_connection = still_waiting + self._waiting_for_connection

    # Callbacks from the connections.

    def on_response(self, request: PendingRequest, response: CounterResponse) -> None:
        """Complete an increment unless it has already timed out."""
        if isinstance(request, PendingIncrement):
            self._complete(request, response.outcome, response.total)
        if self._waiting_for_connection:
            self._write_waiting()

    def on_increments_reset(self, increments: list[PendingIncrement]) -> None:
        """Complete increments whose connection has closed; the counter may have added any of them."""
        for increment in increments:
            self._complete(increment, Outcome.RESET)

    def on_unreachable(self) -> None:
        """Fail the increments waiting for a connection; none of them was sent."""
        waiting = self._waiting_for_connection
        self._waiting_for_connection = []
        for increment in waiting:
            self._complete(increment, Outcome.CONNECT_FAILED)

    def on_connections_changed(self) -> None:
        """Write the increments waiting for a connection."""
        self._write_waiting()

    # Completing increments.

    def _complete(self, increment: PendingIncrement, outcome: Outcome, total: float = 0.0) -> None:
        if increment.completed:
            return
        increment.completed = True
        if increment.connection is not None:
            self._release_key(increment.key)
        if not self._closed:
            elapsed_ns = max(0, int((self.time() - increment.called_at_s) * SECOND))
            self._on_reply(CounterReplied(elapsed_ns, outcome, increment.key, total))

    def _release_key(self, key: int) -> None:
        """Decrement a key's in-flight count; at 0 its next increment may use any connection."""
        in_flight = self._in_flight_by_key[key]
        in_flight.count -= 1
        if not in_flight.count:
            del self._in_flight_by_key[key]

    def _expire(self) -> None:
        """Complete the increments that have timed out.

        Written increments stay pending on their connection, so that late responses are matched with them.
        """
        self._expiry_timer = None
        now_s = self.time()
        while self._incomplete and self._is_completed_or_expired(self._incomplete[0], now_s):
            self._complete_expired(self._incomplete.popleft())
        self._write_waiting()
        if self._incomplete and self._expiry_timer is None:
            delay_s = self._incomplete[0].called_at_s + self._timeout_s - now_s
            self._expiry_timer = self._loop.call_later(max(MIN_EXPIRY_DELAY_S, delay_s), self._expire)

    def _is_completed_or_expired(self, increment: PendingIncrement, now_s: float) -> bool:
        return increment.completed or now_s - increment.called_at_s >= self._timeout_s

    def _complete_expired(self, increment: PendingIncrement) -> None:
        if increment.completed:
            return
        connection = increment.connection
        if connection is None:
            self._complete(increment, Outcome.CONNECT_FAILED)
        elif not self._connections.abandon_if_response_missing(connection, self._timeout_s):
            self._complete(increment, Outcome.TIMEOUT)

    # Periodic checks.

    def _check(self) -> None:
        self._schedule_check()
        self._connections.check(self._timeout_s)

    def _schedule_check(self) -> None:
        self._check_timer = self._loop.call_later(CONNECTION_CHECK_INTERVAL_S, self._check)
