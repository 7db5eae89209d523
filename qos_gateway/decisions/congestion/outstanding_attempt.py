"""An attempt without a response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class OutstandingAttempt:
    """An attempt without a response: its age (ns) tells of congestion before the response does."""

    class_index: int
    age: int
