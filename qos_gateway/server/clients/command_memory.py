"""The memory of one client's incomplete command, and its wait for memory."""

from __future__ import annotations

from collections.abc import Callable

from ..memory.budget import MemoryBudget, MemoryReservation, MemoryWaiter
from ..observability.memory_uses import MemoryUse
from .command_reader import CommandReader


class CommandMemory:
    """Reserves memory for the whole of an incomplete command, as far as it is known."""

    __slots__ = ("_budget", "_reader", "_reservation", "_time", "waits_since_s")

    def __init__(self, budget: MemoryBudget, reader: CommandReader, time: Callable[[], float]) -> None:
        """Take `time`, which returns the event loop's time in seconds."""
        self._budget = budget
        self._reader = reader
        self._time = time
        self._reservation = MemoryReservation(budget, MemoryUse.COMMANDS)
        self.waits_since_s = 0.0  # 0 while the command has the memory that it needs

    @property
    def size_bytes(self) -> int:
        """The memory that is reserved."""
        return self._reservation.size_bytes

    @property
    def needed_bytes(self) -> int:
        """The memory that the command needs beyond what is reserved."""
        return max(0, self._reader.needed_memory_bytes() - self._reservation.size_bytes)

    def reserve(self, waiter: MemoryWaiter) -> bool:
        """Reserve what the command needs, or have `waiter` wait for it; return whether it need not wait."""
        if not self._reader.held_bytes:
            self._reservation.release()
            return True
        needed_bytes = self.needed_bytes
        if self.waits_since_s or not needed_bytes:
            return not self.waits_since_s
        reserved_bytes = self._reservation.size_bytes
        if self._reservation.resize(reserved_bytes + needed_bytes, waiter.priority):
            return True
        self._reservation.set_size(max(reserved_bytes, self._reader.held_bytes))
        self.waits_since_s = self._time()
        self._budget.enqueue(waiter)
        return False

    def grant(self) -> None:
        """Reserve what the command waits for, as there is room for it."""
        self._reservation.set_size(self._reservation.size_bytes + self.needed_bytes)
        self.waits_since_s = 0.0

    def end_command(self) -> None:
        """Release the memory of a command that is complete."""
        self._reservation.release()

    def release(self, waiter: MemoryWaiter) -> None:
        """Release all memory, and wait for none."""
        self._budget.discard(waiter)
        self.waits_since_s = 0.0
        self._reservation.release()
