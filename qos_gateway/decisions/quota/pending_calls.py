"""Calls to shared counters that have no reply yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TypeVar

Call = TypeVar("Call")


@dataclass(slots=True)
class CounterCall:
    """One addition to the counter of a customer's usage."""

    reservation: int  # number of the reservation that waits for the reply; 0 where none does
    amount: float  # units, with the in-flight slot where one is taken or given back
    is_correction: bool  # whether it takes out of the count what the bucket has refilled meanwhile
    released: float  # in-flight slots of earlier requests, given back by the same call; 0 or less
    unreported: float  # units that were spent without a call before, reported by the same call

    @property
    def total(self) -> float:
        """What the call adds to the counter."""
        return self.amount + self.released + self.unreported


class PendingCalls(dict[int, deque[Call]]):
    """Calls without a reply by counter key, oldest first: the replies to a key come in that order."""

    def push(self, key: int, call: Call) -> None:
        """Record a call that is about to be made."""
        self.setdefault(key, deque()).append(call)

    def pop_oldest(self, key: int) -> Call | None:
        """Forget and return the call that a reply belongs to; None where no call is pending."""
        calls = self.get(key)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self[key]
        return call
