"""Attempts that have not received a response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class OutstandingAttempt:
    """An attempt without a response; its age (ns) indicates congestion before the response arrives."""

    class_index: int
    age: int
