"""Faults of the quota counter."""

from __future__ import annotations

from collections.abc import Callable, Collection

from soak.counter_server import CounterServer
from soak.schedule import Fault, FaultKind


class CounterFaults:
    """Injects faults into the counter, for all gateways at once."""

    def __init__(self, counter: CounterServer) -> None:
        self._actions: dict[FaultKind, Callable[[float], None]] = {
            FaultKind.COUNTER_DOWN: counter.take_down,
            FaultKind.COUNTER_SLOW: counter.slow_down,
            FaultKind.COUNTER_SILENT: counter.fall_silent,
            FaultKind.COUNTER_MALFORMED: counter.answer_malformed,
        }

    @property
    def kinds(self) -> Collection[FaultKind]:
        """Return the kinds of faults of the counter."""
        return self._actions.keys()

    def inject(self, fault: Fault) -> None:
        """Begin a fault."""
        self._actions[fault.kind](fault.duration_s)
