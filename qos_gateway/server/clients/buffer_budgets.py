"""Memory budgets shared by all client connections: buffered bytes, and large values being streamed."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from ..networking.resp import MAX_VALUE_BYTES

# Minimum write buffer of a connection that streams no value; exceeds any value that is not streamed.
MIN_WRITE_BUFFER_BYTES = 96 << 10
# Minimum write buffer of a connection that streams a value, however many values are streamed.
MIN_STREAM_BUFFER_BYTES = 16 << 10
# Deferred input and buffered values may each use this fraction of the memory.
BUFFER_MEMORY_FRACTION = 0.125
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
    of them would be released. One value is buffered whatever the limit.
    """

    __slots__ = (
        "_configured_limit_bytes",
        "_queued",
        "buffered_bytes",
        "deferred_bytes",
        "limit_bytes",
        "write_buffer_bytes",
    )

    def __init__(self, memory_bytes: int, max_connections: int) -> None:
        self._configured_limit_bytes = int(memory_bytes * BUFFER_MEMORY_FRACTION)
        self.limit_bytes = self._configured_limit_bytes
        # A connection is blocked once more written bytes than this wait for its client to accept them.
        self.write_buffer_bytes = max(MIN_WRITE_BUFFER_BYTES, self.limit_bytes // max_connections)
        self.deferred_bytes = 0  # commands that were read and not parsed
        # Memory reserved for large values that are not yet written, or not yet accepted by the client.
        self.buffered_bytes = 0
        self._queued: OrderedDict[QueuedValue, None] = OrderedDict()

    def limit_to_fraction(self, fraction: float) -> None:
        """Reduce the limit to a fraction of the configured one."""
        self.limit_bytes = int(self._configured_limit_bytes * fraction)

    def add_deferred(self, added_bytes: int) -> None:
        """Add to the count of deferred bytes; a negative number subtracts."""
        self.deferred_bytes += added_bytes

    def is_deferred_over_limit(self, connection_bytes: int) -> bool:
        """Return whether deferred input exceeds its limit, in total or for one connection."""
        connection_limit_bytes = self.limit_bytes * CONNECTION_DEFERRED_FRACTION
        return self.deferred_bytes > self.limit_bytes or connection_bytes > connection_limit_bytes

    def is_read_ahead_over_limit(self, connection_bytes: int) -> bool:
        """Return whether deferred input exceeds its limit for input that only waits for its turn."""
        connection_limit_bytes = self.limit_bytes * CONNECTION_READ_AHEAD_FRACTION
        limit_bytes = self.limit_bytes * READ_AHEAD_FRACTION
        return self.deferred_bytes > limit_bytes or connection_bytes > connection_limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserve memory for a value that waits for earlier replies; return whether there is room for it."""
        limit_bytes = self.limit_bytes - MAX_VALUE_BYTES
        if self._queued or self.buffered_bytes + size_bytes > limit_bytes:
            return False
        self.buffered_bytes += size_bytes
        return True

    def reserve_first(self, size_bytes: int) -> bool:
        """Reserve memory for a value that is the first reply; return whether there is room for it."""
        return not self._queued and self._reserve_first(size_bytes)

    def _reserve_first(self, size_bytes: int) -> bool:
        if self.buffered_bytes and self.buffered_bytes + size_bytes > self.limit_bytes:
            return False
        self.buffered_bytes += size_bytes
        return True

    def add_buffered(self, size_bytes: int) -> None:
        """Count a value that was received without a reservation."""
        self.buffered_bytes += size_bytes

    def release_buffered(self, size_bytes: int) -> None:
        """Subtract bytes that are no longer reserved, and pass them to the values that wait, in order."""
        self.buffered_bytes -= size_bytes
        while self._queued:
            value = next(iter(self._queued))
            if not self._reserve_first(value.length):
                return
            del self._queued[value]
            value.buffer()

    def enqueue(self, value: QueuedValue) -> None:
        """Have memory reserved for a first reply as soon as there is room for it."""
        self._queued[value] = None

    def discard(self, value: QueuedValue) -> None:
        """Forget a value that needs no memory any more."""
        self._queued.pop(value, None)


class StreamBudget:
    """Divides the buffer limit evenly among the large values that are being streamed."""

    __slots__ = ("_buffers", "active_streams")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self.active_streams = 0

    def start(self) -> int:
        """Count another stream; return the size of its write buffer in bytes."""
        self.active_streams += 1
        fair_share = self._buffers.limit_bytes // self.active_streams
        return max(MIN_STREAM_BUFFER_BYTES, min(self._buffers.write_buffer_bytes, fair_share))

    def end(self) -> None:
        """Count a stream as ended."""
        self.active_streams -= 1
