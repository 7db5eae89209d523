"""Divides the event loop's time among clients whose commands wait to be executed."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

# Commands of all clients are executed for this time in one turn of the event loop; then the loop serves its
# other sockets and its timers.
TURN_TIME_S = 0.005
SLICE_TIME_S = 0.001  # commands of one client are executed for this time before those of another one
# The same for a client that has got no reply yet: one command, so that hundreds of new clients get a turn.
FIRST_SLICE_TIME_S = 0.0001


class ScheduledConnection(Protocol):
    """A connection whose commands wait to be executed."""

    @property
    def was_served(self) -> bool:
        """Whether the client has got a reply before."""

    def resume_input(self) -> None:
        """Execute waiting commands for one slice, and schedule the connection again if some remain."""


class InputScheduler:
    """Gives slices of time to connections in turn, up to a total in each turn of the event loop.

    A connection that has just begun to wait comes before those that have used up a slice, as new flows do in
    FQ-CoDel: however many commands other clients send, a single command waits for no more than one turn.
    Among those that have just begun, clients that were served before come first: hundreds that connect at
    the same time do not delay them.
    """

    __slots__ = ("_call_soon", "_has_turn", "_new", "_served", "_used", "_used_s")

    def __init__(self, call_soon: Callable[[Callable[[], None]], asyncio.Handle]) -> None:
        """`call_soon` runs a function in the next turn of the event loop."""
        self._call_soon = call_soon
        self._has_turn = False  # `_run_turn` is scheduled
        self._served: OrderedDict[ScheduledConnection, None] = OrderedDict()  # and have used no slice
        self._new: OrderedDict[ScheduledConnection, None] = OrderedDict()
        self._used: OrderedDict[ScheduledConnection, None] = OrderedDict()  # have used up a slice
        self._used_s = 0.0  # time that commands have taken since the last turn

    def has_time(self) -> bool:
        """Return whether more commands may be executed in this turn."""
        return self._used_s < TURN_TIME_S

    def record(self, elapsed_s: float) -> None:
        """Count time in which commands were executed."""
        self._used_s += elapsed_s
        if self._used_s >= TURN_TIME_S:
            self._schedule_turn()

    def add(self, connection: ScheduledConnection, has_used_slice: bool) -> None:
        """Have a connection resumed in one of the next turns; one that waits already keeps its place."""
        if connection in self._served or connection in self._new or connection in self._used:
            return
        unused = self._served if connection.was_served else self._new
        (self._used if has_used_slice else unused)[connection] = None
        self._schedule_turn()

    def discard(self, connection: ScheduledConnection) -> None:
        """Forget a connection that was closed."""
        self._served.pop(connection, None)
        self._new.pop(connection, None)
        self._used.pop(connection, None)

    def _schedule_turn(self) -> None:
        if not self._has_turn:
            self._has_turn = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Resume waiting connections until the turn's time is used up."""
        self._has_turn = False
        self._used_s = 0.0
        while self.has_time() and (waiting := self._served or self._new or self._used):
            connection, _ = waiting.popitem(last=False)
            connection.resume_input()
        if self._served or self._new or self._used:
            self._schedule_turn()
