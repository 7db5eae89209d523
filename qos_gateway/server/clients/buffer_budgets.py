"""Limits on deferred input and on buffered large values of all clients, within the memory budget."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from ..memory.budget import MemoryBudget, Priority
from ..networking.resp import MAX_VALUE_BYTES
from ..observability.memory_uses import MemoryUse

# Deferred input and buffered values may each use this fraction of the memory for data.
BUFFER_MEMORY_FRACTION = 0.2
# One connection may use this fraction of the limit on deferred input.
CONNECTION_DEFERRED_FRACTION = 0.25
# Input that only waits for its turn to be executed may use these fractions of the limit. The remainder is
# left to commands that have to wait for replies, which are rejected beyond the limit.
READ_AHEAD_FRACTION = 0.5
CONNECTION_READ_AHEAD_FRACTION = 0.0625


class QueuedValue(Protocol):
    """A large value that is the first reply of its connection, and waits for memory."""

    @property
    def length(self) -> int:
        """The memory in bytes that the value needs."""

    def buffer(self) -> None:
        """Use the memory, which was reserved."""


class BufferBudget:
    """Counts the bytes that the gateway buffers for all client connections.

    Deferred input and buffered values may each use the whole limit. Values that are not the first reply of
    their connection leave room for one that is: they are written only after it, so without room for it none
    of them would be released. One value is buffered whatever the limit, if the memory budget has room for it.
    """

    memory_use = MemoryUse.REPLIES  # of the values that wait for memory
    priority = Priority.FIRST

    __slots__ = (
        "_configured_limit_bytes",
        "_memory",
        "_queued",
        "buffered_bytes",
        "deferred_bytes",
        "limit_bytes",
    )

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._configured_limit_bytes = int(memory.data_capacity_bytes * BUFFER_MEMORY_FRACTION)
        self.limit_bytes = self._configured_limit_bytes
        self.deferred_bytes = 0  # commands that were read and not parsed
        # Memory reserved for large values that are not yet written, or not yet accepted by the client.
        self.buffered_bytes = 0
        self._queued: OrderedDict[QueuedValue, None] = OrderedDict()

    def limit_to_fraction(self, fraction: float) -> None:
        """Reduce the limit, and the memory budget, to a fraction of the configured one."""
        self._memory.limit_to_fraction(fraction)
        self.limit_bytes = int(self._configured_limit_bytes * fraction)

    # Deferred input.

    def add_deferred(self, added_bytes: int) -> None:
        """Add to the count of deferred bytes."""
        self.deferred_bytes += added_bytes
        self._memory.add(MemoryUse.COMMANDS, added_bytes)

    def release_deferred(self, released_bytes: int) -> None:
        """Subtract from the count of deferred bytes."""
        self.deferred_bytes -= released_bytes
        self._memory.release(MemoryUse.COMMANDS, released_bytes)

    def is_deferred_over_limit(self, connection_bytes: int) -> bool:
        """Return whether deferred input exceeds its limit, in total or for one connection."""
        connection_limit_bytes = self.limit_bytes * CONNECTION_DEFERRED_FRACTION
        return self.deferred_bytes > self.limit_bytes or connection_bytes > connection_limit_bytes

    def is_read_ahead_over_limit(self, connection_bytes: int) -> bool:
        """Return whether deferred input exceeds its limit for input that only waits for its turn."""
        connection_limit_bytes = self.limit_bytes * CONNECTION_READ_AHEAD_FRACTION
        limit_bytes = self.limit_bytes * READ_AHEAD_FRACTION
        return self.deferred_bytes > limit_bytes or connection_bytes > connection_limit_bytes

    # Large values.

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a value that waits for earlier replies; return whether there is room for it."""
        limit_bytes = self.limit_bytes - MAX_VALUE_BYTES
        if self._queued or self.buffered_bytes + size_bytes > limit_bytes:
            return False
        return self._reserve(size_bytes, Priority.ADDITIONAL)

    def reserve_first(self, size_bytes: int) -> bool:
        """Reserve memory for a value that is the first reply; return whether there is room for it."""
        return not self._queued and self._reserve_first(size_bytes)

    def _reserve_first(self, size_bytes: int) -> bool:
        return self._is_within_limit(size_bytes) and self._reserve(size_bytes, Priority.FIRST)

    def _is_within_limit(self, size_bytes: int) -> bool:
        return not self.buffered_bytes or self.buffered_bytes + size_bytes <= self.limit_bytes

    def _reserve(self, size_bytes: int, priority: Priority) -> bool:
        if not self._memory.reserve(MemoryUse.REPLIES, size_bytes, priority):
            return False
        self.buffered_bytes += size_bytes
        return True

    def add_buffered(self, size_bytes: int) -> None:
        """Count a value that was received without a reservation."""
        self.buffered_bytes += size_bytes
        self._memory.add(MemoryUse.REPLIES, size_bytes)

    def release_buffered(self, size_bytes: int) -> None:
        """Subtract bytes that are no longer reserved, and pass them to the values that wait, in order."""
        self.buffered_bytes -= size_bytes
        self._memory.release(MemoryUse.REPLIES, size_bytes)
        self.grant_memory()

    @property
    def needed_bytes(self) -> int:
        """The memory that the first waiting value needs."""
        return next(iter(self._queued)).length if self._queued else 0

    def grant_memory(self) -> None:
        """Reserve memory for the values that wait, in order, as far as there is room."""
        while self._queued:
            value = next(iter(self._queued))
            if not self._is_within_limit(value.length):
                return
            if not self._reserve(value.length, self.priority):
                self._memory.enqueue(self)
                return
            del self._queued[value]
            value.buffer()

    def enqueue(self, value: QueuedValue) -> None:
        """Have memory reserved for a first reply as soon as there is room for it."""
        self._queued[value] = None
        self.grant_memory()

    def discard(self, value: QueuedValue) -> None:
        """Forget a value that needs no memory any more."""
        self._queued.pop(value, None)
        if not self._queued:
            self._memory.discard(self)


class ActiveStreams:
    """Counts the large values that are being streamed."""

    __slots__ = ("active_streams",)

    def __init__(self) -> None:
        self.active_streams = 0

    def start(self) -> None:
        """Count another stream."""
        self.active_streams += 1

    def end(self) -> None:
        """Count a stream as ended."""
        self.active_streams -= 1
