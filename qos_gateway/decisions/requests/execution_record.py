"""Whether an endpoint may have executed a request, and which attempt stored its idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from ...types import Endpoint


@dataclass(slots=True)
class ExecutionRecord:
    """Execution state of one request, derived from its attempts."""

    may_have_executed: bool = False
    first_keyed_attempt_at: int = 0  # ns
    first_keyed_endpoint: Endpoint | None = None

    def attempt_sent(self, now: int, endpoint: Endpoint) -> None:
        """Record an attempt sent at `now` (ns); the first one that may have executed stores the key."""
        if not self.may_have_executed:
            self.first_keyed_attempt_at = now
            self.first_keyed_endpoint = endpoint

    def mark_possibly_executed(self) -> None:
        """Record that an attempt may have executed the request, or may still execute it."""
        self.may_have_executed = True

    def unmark_possibly_executed(self) -> None:
        """Undo `mark_possibly_executed`, if it preceded an attempt that was not sent."""
        self.may_have_executed = False
