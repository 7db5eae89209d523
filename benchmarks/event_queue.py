"""Events of a discrete-event simulation in the order of a virtual clock."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import Generic, TypeVar

Item = TypeVar("Item")


class EventQueue(Generic[Item]):
    """A priority queue by time; events of the same time come out in the order of their scheduling."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Item]] = []
        self._sequence = count()

    def schedule(self, time: int, item: Item) -> None:
        """Add an event at `time` (ns)."""
        heappush(self._heap, (time, next(self._sequence), item))

    def next_time(self) -> int:
        """Return the time of the earliest event (ns); raise IndexError if there is none."""
        return self._heap[0][0]

    def pop(self) -> Item:
        """Remove and return the earliest event; raise IndexError if there is none."""
        return heappop(self._heap)[2]
