"""The interface of the classes that inject faults."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from soak.schedule import Fault, FaultKind


class FaultActions(Protocol):
    """Injects the faults of one part of the world."""

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults that this part has."""
        ...

    def inject(self, fault: Fault) -> None:
        """Begin a fault; it ends by itself after its duration."""
        ...
