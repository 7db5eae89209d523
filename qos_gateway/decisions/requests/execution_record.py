"""Whether an endpoint may have executed a request, and which attempt stored its idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from ...types import Endpoint


@dataclass(slots=True)
class ExecutionRecord:
    """What the attempts of one request show of its execution."""

    may_have_executed: bool = False
    first_keyed_attempt_at: int = 0  # ns
    first_keyed_endpoint: Endpoint | None = None

    def attempt_sent(self, now: int, endpoint: Endpoint) -> None:
        """Record an attempt sent now (ns): the first that may execute is the one that stores the key."""
        if not self.may_have_executed:
            self.first_keyed_attempt_at = now
            self.first_keyed_endpoint = endpoint

    def mark_possibly_executed(self) -> None:
        """Record that an attempt may have executed the request, or still may do so."""
        self.may_have_executed = True

    def unmark_possibly_executed(self) -> None:
        """Undo `mark_possibly_executed` where it was called ahead of an attempt that was not sent."""
        self.may_have_executed = False
