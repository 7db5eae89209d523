"""Run-time checks of what a gateway must never do: each violation is counted and logged."""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from .logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())


class Invariant(Enum):
    """What is guarded, each at the one place where it happens; the values are parts of the metrics' names."""

    SEND = "send"  # an attempt is written only where it may go, in its time, for a client that waits
    REPEAT = "repeat"  # a request runs twice only where that is harmless
    CLOSE = "close"  # a connection ends only when its requests have their answers
    START = "start"  # clients are served only by the list that discovery has told


class InvariantMonitor:
    """Counts violations for the metrics, and logs each with the request that it concerns."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()

    def report(self, invariant: Invariant, rule: str, request_id: bytes = b"") -> None:
        """Count and log one violation; `rule` names the condition that did not hold."""
        self.violations[invariant] += 1
        log.error(
            "invariant_violated invariant=%s rule=%s request=%s",
            invariant.value,
            rule,
            request_id.decode("ascii", "replace") or "none",
        )
