"""The injector of all kinds of faults."""

from __future__ import annotations

from collections.abc import Iterable

from soak.fault_injection.fault_actions import FaultActions
from soak.schedule import Fault, FaultKind


class FaultInjector:
    """Passes each fault to the part of the world that has its kind."""

    def __init__(self, parts: Iterable[FaultActions]) -> None:
        """Raise ValueError if no part, or more than one, has a kind of fault."""
        self._parts: dict[FaultKind, FaultActions] = {}
        for part in parts:
            for kind in part.kinds:
                if kind in self._parts:
                    raise ValueError(f"two parts have the fault {kind.value}")
                self._parts[kind] = part
        missing = [kind.value for kind in FaultKind if kind not in self._parts]
        if missing:
            raise ValueError(f"no part has the faults {', '.join(missing)}")

    def inject(self, fault: Fault) -> None:
        """Begin a fault; it ends by itself after its duration."""
        self._parts[fault.kind].inject(fault)
