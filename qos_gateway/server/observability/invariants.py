"""Invariants that are checked at run time; each violation is counted and logged.

Each guard is in the package of the operation that it checks, and reports violations to `InvariantMonitor`.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

from .logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())


class Invariant(Enum):
    """The operations that guards check; the values are parts of the metrics' names."""

    SEND = "send"  # an attempt is written only to an endpoint in service, in time, for an open request
    REPEAT = "repeat"  # only requests that may be repeated can be executed twice
    CLOSE = "close"  # a connection ends only after the replies to its requests
    START = "start"  # clients are served only with the latest endpoint list from discovery


class InvariantMonitor:
    """Counts violations for the metrics, and logs each with the request that it concerns."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()

    def report(self, invariant: Invariant, rule: str, request_id: bytes = b"") -> None:
        """Count and log one violation; `rule` names the violated condition."""
        self.violations[invariant] += 1
        log.error(
            "invariant_violated invariant=%s rule=%s request=%s",
            invariant.value,
            rule,
            request_id.decode("ascii", "replace") or "none",
        )
