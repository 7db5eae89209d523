"""The budget for all memory that peers cause a process to hold."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from ..observability.memory_uses import MemoryUse
from .limits import CLIENT_CONNECTION_BYTES, ENDPOINT_CONNECTION_BYTES, REQUEST_BYTES


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """The connections that the gateway may have at most."""

    clients: int
    endpoints: int


# What no peer can be made to wait for once it is there. The other uses are data, which share the remainder.
STATE_USES = (
    MemoryUse.CLIENT_CONNECTIONS,
    MemoryUse.ENDPOINT_CONNECTIONS,
    MemoryUse.CUSTOMERS,
    MemoryUse.UNCOUNTED,
)
# Fraction of the memory for data that open requests may use, so that there is some for their responses.
REQUESTS_FRACTION = 0.22
# Fraction of the open requests whose responses may wait for memory at the same time.
WAITING_RESPONSES_FRACTION = 0.5
PERCENT = 100


class Priority(IntEnum):
    """The percentage of the memory for data up to which a reservation succeeds.

    What one connection wants beyond its first open request leaves room for the first ones of others. Those of
    clients that have sent further commands leave room for those of clients that wait for each reply, large
    ones for small ones, and those of new clients for those of clients that were served before.
    """

    ADDITIONAL = 55
    COMMAND = 60  # that is incomplete: whether a request comes of it is not known yet
    PIPELINED = 70
    FIRST = 80
    SMALL = 90
    SMALL_OF_SERVED_CLIENT = 100


class MemoryWaiter(Protocol):
    """Waits for memory, with the source of its data paused."""

    @property
    def memory_use(self) -> MemoryUse:
        """What the memory is for."""

    @property
    def needed_bytes(self) -> int:
        """The memory that it waits for."""

    @property
    def priority(self) -> Priority:
        """The current priority, which may change while it waits."""

    def grant_memory(self) -> None:
        """Reserve the memory, for which there is room now, and continue."""


class MemoryBudget:
    """Counts memory by use against a capacity, and passes it on to those that wait for it, in order."""

    def __init__(self, capacity_bytes: int, call_soon: Callable[[Callable[[], None]], object]) -> None:
        """`call_soon` runs a function in the next turn of the event loop."""
        self._configured_capacity_bytes = capacity_bytes
        self._fraction = 1.0
        self.capacity_bytes = capacity_bytes
        self.held = dict.fromkeys(MemoryUse, 0)
        self.data_bytes = 0
        self._state_bytes = 0  # kept for connections, whether or not they are there
        self.max_connections = 1
        self._max_requests_bytes = capacity_bytes
        self._call_soon = call_soon
        self._waiters: OrderedDict[MemoryWaiter, None] = OrderedDict()
        self._is_pass_scheduled = False

    # Capacity.

    def set_capacity(self, capacity_bytes: int) -> None:
        """Set the capacity of a process that has no other one beside it."""
        self._configured_capacity_bytes = capacity_bytes
        self.capacity_bytes = int(capacity_bytes * self._fraction)

    def set_connection_limits(self, limits: ConnectionLimits) -> None:
        """Keep memory for connections that may still come, so that no data holds it by then.

        Open requests are limited to the number that can have a connection to an endpoint.
        """
        self.max_connections = limits.clients + limits.endpoints
        self._state_bytes = (
            limits.clients * CLIENT_CONNECTION_BYTES + limits.endpoints * ENDPOINT_CONNECTION_BYTES
        )
        self._max_requests_bytes = limits.endpoints * REQUEST_BYTES

    def limit_to_fraction(self, fraction: float) -> None:
        """Use only a fraction of the capacity, while another process uses the rest."""
        self._fraction = fraction
        self.capacity_bytes = int(self._configured_capacity_bytes * fraction)

    @property
    def data_capacity_bytes(self) -> int:
        """The memory for data, which is what connections and other state leave of the capacity."""
        state_bytes = sum([self.held[use] for use in STATE_USES])
        return self.capacity_bytes - max(state_bytes, self._state_bytes)

    def has_room(self, size_bytes: int, priority: Priority) -> bool:
        """Return whether a reservation of data of this size would succeed."""
        return (self.data_bytes + size_bytes) * PERCENT <= self.data_capacity_bytes * priority

    def has_room_for_request(self, size_bytes: int, priority: Priority) -> bool:
        """Return whether there is room for one more open request, which needs more for its response."""
        requests_bytes = self.held[MemoryUse.REQUESTS] + size_bytes
        is_within = requests_bytes * PERCENT <= self._limit_of_requests_bytes() * priority
        return is_within and self.has_room(size_bytes, priority)

    def _limit_of_requests_bytes(self) -> float:
        return min(self._max_requests_bytes, self.data_capacity_bytes * REQUESTS_FRACTION)

    # Counting.

    def reserve(self, use: MemoryUse, size_bytes: int, priority: Priority) -> bool:
        """Count memory if there is room for it; return whether there is."""
        if not self.has_room(size_bytes, priority):
            return False
        self.add(use, size_bytes)
        return True

    def add(self, use: MemoryUse, size_bytes: int) -> None:
        """Count memory that is held already, whether or not there is room for it."""
        self.held[use] += size_bytes
        if use not in STATE_USES:
            self.data_bytes += size_bytes

    def release(self, use: MemoryUse, size_bytes: int) -> None:
        """Subtract memory that is no longer held, and have it passed on in the next turn."""
        self.held[use] -= size_bytes
        if use not in STATE_USES:
            self.data_bytes -= size_bytes
        self._schedule_pass()

    def set(self, use: MemoryUse, size_bytes: int) -> None:
        """Set what a use holds."""
        change = size_bytes - self.held[use]
        if change > 0:
            self.add(use, change)
        elif change < 0:
            self.release(use, -change)

    # Waiting.

    @property
    def is_short(self) -> bool:
        """Whether anything waits for memory."""
        return bool(self._waiters)

    def waiting_bytes(self) -> int:
        """Return the memory that is waited for."""
        return sum(waiter.needed_bytes for waiter in self._waiters)

    def waiting_count(self) -> int:
        """Return how many connections wait for memory."""
        return len(self._waiters)

    def may_wait_for_response(self) -> bool:
        """Return whether one more response may wait for memory.

        Others that wait hold requests and connections to endpoints, of which some are left to new requests.
        """
        waiting = sum(waiter.memory_use is MemoryUse.RESPONSES for waiter in self._waiters)
        return waiting * REQUEST_BYTES < self._limit_of_requests_bytes() * WAITING_RESPONSES_FRACTION

    def enqueue(self, waiter: MemoryWaiter) -> None:
        """Grant memory to a waiter when there is room for it; one that waits already keeps its place."""
        self._waiters.setdefault(waiter, None)
        self._schedule_pass()

    def discard(self, waiter: MemoryWaiter) -> None:
        """Forget a waiter that needs no memory any more."""
        if self._waiters.pop(waiter, self) is None:
            self._schedule_pass()

    def _schedule_pass(self) -> None:
        if self._waiters and not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            self._call_soon(self._pass_on)

    def _pass_on(self) -> None:
        """Grant memory in the order of waiting.

        The first of a priority that does not fit keeps those behind it, of the same priority or a lower one,
        from taking what it waits for.
        """
        self._is_pass_scheduled = False
        refused_priority = 0
        for waiter in list(self._waiters):
            if waiter.priority <= refused_priority or waiter not in self._waiters:
                continue
            if self.has_room(waiter.needed_bytes, waiter.priority):
                del self._waiters[waiter]
                waiter.grant_memory()
            else:
                refused_priority = max(refused_priority, waiter.priority)


class MemoryReservation:
    """Memory of one holder, which grows and shrinks."""

    __slots__ = ("_budget", "_use", "size_bytes")

    def __init__(self, budget: MemoryBudget, use: MemoryUse) -> None:
        self._budget = budget
        self._use = use
        self.size_bytes = 0

    def resize(self, size_bytes: int, priority: Priority) -> bool:
        """Change the size, if there is room for a larger one; return whether there is."""
        added_bytes = size_bytes - self.size_bytes
        if added_bytes > 0 and not self._budget.has_room(added_bytes, priority):
            return False
        self.set_size(size_bytes)
        return True

    def set_size(self, size_bytes: int) -> None:
        """Change the size to that of memory which is held already."""
        added_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        if added_bytes > 0:
            self._budget.add(self._use, added_bytes)
        elif added_bytes < 0:
            self._budget.release(self._use, -added_bytes)

    def release(self) -> None:
        """Hold nothing."""
        self.set_size(0)
