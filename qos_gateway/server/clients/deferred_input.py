"""Input of one client that was read and not parsed: its chunks in order, with their receive times."""

from __future__ import annotations

from collections import deque

from .buffer_budgets import BufferBudget
from .receive_times import ReceiveTimes

CHUNK_OVERHEAD_BYTES = 192  # memory of the objects that hold one chunk


class InputChunk:
    """The bytes of one read, and the position up to which they are parsed."""

    __slots__ = ("data", "position", "times")

    def __init__(self, data: bytes, times: ReceiveTimes) -> None:
        self.data = data
        self.position = 0  # index of the first unparsed byte
        self.times = times

    def received_at_s(self, end: int) -> float:
        """Return the earliest receive time of the command that ends at this position."""
        return self.times.last_s if end == len(self.data) else self.times.first_s

    @property
    def size_bytes(self) -> int:
        """The memory that the chunk uses, including its parsed bytes."""
        return len(self.data) + CHUNK_OVERHEAD_BYTES


class DeferredInput:
    """Unparsed chunks of input, the oldest first, counted in the buffer budget."""

    __slots__ = ("_buffers", "_chunks", "_size_bytes")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self._chunks: deque[InputChunk] = deque()
        self._size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._chunks)

    def append(self, chunk: InputChunk) -> None:
        """Add a chunk at the end."""
        self._chunks.append(chunk)
        self._add_size(chunk.size_bytes)

    def prepend(self, chunk: InputChunk) -> None:
        """Add a chunk at the front."""
        self._chunks.appendleft(chunk)
        self._add_size(chunk.size_bytes)

    def pop_first(self) -> InputChunk:
        """Remove the oldest chunk and return it."""
        chunk = self._chunks.popleft()
        self._release_size(chunk.size_bytes)
        return chunk

    def clear(self) -> None:
        """Drop all chunks."""
        self._chunks.clear()
        self._release_size(self._size_bytes)

    def is_over_limit(self) -> bool:
        """Return whether the chunks of this connection, or of all connections, exceed their memory limit."""
        return bool(self._chunks) and self._buffers.is_deferred_over_limit(self._size_bytes)

    def is_read_ahead_over_limit(self) -> bool:
        """Return whether these chunks, or all, exceed their limit for input that could be executed now."""
        return self._buffers.is_read_ahead_over_limit(self._size_bytes)

    def _add_size(self, added_bytes: int) -> None:
        self._size_bytes += added_bytes
        self._buffers.add_deferred(added_bytes)

    def _release_size(self, released_bytes: int) -> None:
        self._size_bytes -= released_bytes
        self._buffers.release_deferred(released_bytes)
