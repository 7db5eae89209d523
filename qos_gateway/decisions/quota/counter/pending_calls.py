"""Calls to the shared counter that have no reply yet."""

from __future__ import annotations

from collections import deque
from typing import TypeVar

Call = TypeVar("Call")


class PendingCalls(dict[int, deque[Call]]):
    """Calls without a reply by counter key, oldest first: replies for one key arrive in that order."""

    def push(self, key: int, call: Call) -> None:
        """Add a call that is about to be made."""
        self.setdefault(key, deque()).append(call)

    def pop_oldest(self, key: int) -> Call | None:
        """Remove and return the call that a reply belongs to; None if no call is pending."""
        calls = self.get(key)
        if not calls:
            return None
        call = calls.popleft()
        if not calls:
            del self[key]
        return call
