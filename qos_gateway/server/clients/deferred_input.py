"""Input of one client that was read and not parsed: its pieces in order, with the times of their reads."""

from __future__ import annotations

from collections import deque

from .buffer_budgets import BufferBudget
from .receive_times import ReceiveTimes

PIECE_OVERHEAD_BYTES = 192  # of the objects that hold one piece


class InputPiece:
    """Bytes of one read, and how far they are parsed."""

    __slots__ = ("data", "position", "times")

    def __init__(self, data: bytes, times: ReceiveTimes) -> None:
        self.data = data
        self.position = 0  # of the first byte that is not parsed
        self.times = times

    def received_at_s(self, end: int) -> float:
        """Return when the command that ends before this position was received, at the earliest."""
        return self.times.last_s if end == len(self.data) else self.times.first_s

    @property
    def size_bytes(self) -> int:
        """The memory that the piece takes, its parsed bytes included."""
        return len(self.data) + PIECE_OVERHEAD_BYTES


class DeferredInput:
    """Pieces of input that wait to be parsed, the oldest first, counted in the buffer budget."""

    __slots__ = ("_buffers", "_pieces", "_size_bytes")

    def __init__(self, buffers: BufferBudget) -> None:
        self._buffers = buffers
        self._pieces: deque[InputPiece] = deque()
        self._size_bytes = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    def append(self, piece: InputPiece) -> None:
        """Add the newest piece."""
        self._pieces.append(piece)
        self._count(piece.size_bytes)

    def put_back(self, piece: InputPiece) -> None:
        """Add a piece before all others."""
        self._pieces.appendleft(piece)
        self._count(piece.size_bytes)

    def take_first(self) -> InputPiece:
        """Remove the oldest piece and return it."""
        piece = self._pieces.popleft()
        self._count(-piece.size_bytes)
        return piece

    def clear(self) -> None:
        """Drop all pieces."""
        self._pieces.clear()
        self._count(-self._size_bytes)

    def is_over_limit(self) -> bool:
        """Return whether this connection's pieces, or those of all connections, take too much memory."""
        return bool(self._pieces) and self._buffers.is_deferred_over_limit(self._size_bytes)

    def _count(self, added_bytes: int) -> None:
        self._size_bytes += added_bytes
        self._buffers.defer(added_bytes)
