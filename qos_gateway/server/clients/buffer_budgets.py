"""Budgets of memory that all connections of clients share: buffered bytes, and large values being written."""

from __future__ import annotations

MIN_WRITE_BUFFER_BYTES = 96 << 10  # of a connection; more than a value that is not streamed
MIN_STREAM_BUFFER_BYTES = 16 << 10  # of a connection that streams a value, however many do
BUFFER_MEMORY_FRACTION = 0.125  # of the memory: the limit on deferred input, and on buffered values
CONNECTION_DEFERRED_FRACTION = 0.25  # of that limit: deferred input of one connection


class BufferBudget:
    """Bytes that the gateway buffers for clients, over all connections.

    Deferred input and buffered values each may use the whole limit.
    """

    __slots__ = (
        "_configured_limit_bytes",
        "buffered_bytes",
        "deferred_bytes",
        "limit_bytes",
        "write_buffer_bytes",
    )

    def __init__(self, memory_bytes: int, max_connections: int) -> None:
        self._configured_limit_bytes = int(memory_bytes * BUFFER_MEMORY_FRACTION)
        self.limit_bytes = self._configured_limit_bytes
        self.write_buffer_bytes = max(  # written to one connection and not accepted by its client
            MIN_WRITE_BUFFER_BYTES, self.limit_bytes // max_connections
        )
        self.deferred_bytes = 0  # of commands that were read and not parsed
        self.buffered_bytes = 0  # of large values that are not written, or not accepted by the client

    def limit_to_fraction(self, fraction: float) -> None:
        """Limit deferred input and buffered values to a fraction of the configured limit."""
        self.limit_bytes = int(self._configured_limit_bytes * fraction)

    def add_deferred(self, added_bytes: int) -> None:
        """Count deferred input; a negative number counts it as deferred no longer."""
        self.deferred_bytes += added_bytes

    def is_deferred_over_limit(self, connection_bytes: int) -> bool:
        """Return whether deferred input exceeds a limit, given how much of it one connection has."""
        connection_limit_bytes = self.limit_bytes * CONNECTION_DEFERRED_FRACTION
        return self.deferred_bytes > self.limit_bytes or connection_bytes > connection_limit_bytes

    def reserve_buffered(self, size_bytes: int) -> bool:
        """Count bytes of a large value, unless that exceeds the limit; return whether they are counted."""
        if self.buffered_bytes + size_bytes > self.limit_bytes:
            return False
        self.buffered_bytes += size_bytes
        return True

    def release_buffered(self, size_bytes: int) -> None:
        """Count bytes as buffered no longer."""
        self.buffered_bytes -= size_bytes


class StreamBudget:
    """The large values that are being written: they divide the limit of the buffers evenly."""

    __slots__ = ("_buffers", "active_streams")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self.active_streams = 0

    def start(self) -> int:
        """Count one more stream; return how many of its bytes its client may leave in the write buffer."""
        self.active_streams += 1
        fair_share = self._buffers.limit_bytes // self.active_streams
        return max(MIN_STREAM_BUFFER_BYTES, min(self._buffers.write_buffer_bytes, fair_share))

    def end(self) -> None:
        """Count one stream less."""
        self.active_streams -= 1
