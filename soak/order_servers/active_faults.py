"""The faults that are injected into one order server."""

from __future__ import annotations

import asyncio
import random

from soak.schedule import FaultKind

FAULT_PROBABILITY = 0.5  # that one command is affected by a fault that affects only some


class ActiveFaults:
    """Until when each fault lasts, and which commands it affects."""

    def __init__(self, rng: random.Random) -> None:
        self._time = asyncio.get_running_loop().time
        self._rng = rng
        self._ends_at: dict[FaultKind, float] = {}

    def begin(self, kind: FaultKind, duration_s: float) -> None:
        """Begin a fault, or extend it."""
        self._ends_at[kind] = max(self._ends_at.get(kind, 0.0), self._time() + duration_s)

    def is_active(self, kind: FaultKind) -> bool:
        """Return whether a fault is active now."""
        return self._ends_at.get(kind, 0.0) > self._time()

    def affects_command(self, kind: FaultKind) -> bool:
        """Return whether a fault is active, and by a random draw affects the command at hand."""
        return self.is_active(kind) and self.draw()

    def draw(self) -> bool:
        """Return True with the probability that a command is affected."""
        return self._rng.random() < FAULT_PROBABILITY

    def remove(self, kind: FaultKind) -> None:
        """Forget a fault that has ended."""
        self._ends_at.pop(kind, None)

    def clear(self) -> None:
        """End all faults."""
        self._ends_at.clear()
