"""An attempt without a response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class OutstandingAttempt:
    """An attempt without a response: its age (ns) shows congestion before the response arrives."""

    class_index: int
    age: int
