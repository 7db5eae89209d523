"""Compares what is counted with the resident memory of the process, at short intervals."""

from __future__ import annotations

import asyncio
import gc
import logging
import time
from collections.abc import Callable

from ..observability.logs import RateLimitFilter
from ..observability.memory_uses import MemoryUse
from .budget import MemoryBudget
from .limits import CUSTOMER_BYTES, MARGIN_BYTES, MemoryLimits
from .process_memory import ProcessMemory

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

CHECK_INTERVAL_S = 0.05
# Free memory is collected and returned once the process uses this fraction of the capacity.
TRIM_FRACTION = 0.5
MIN_TRIM_INTERVAL_S = 0.5
# Between two trims there are at least so many times the duration of the last one, as each walks the heap.
TRIM_PAUSE_FACTOR = 50.0


class MemoryMonitor:
    """Keeps the budget's uncounted memory up to date, and logs when memory is short."""

    def __init__(
        self, budget: MemoryBudget, limits: MemoryLimits, process: ProcessMemory, customers: Callable[[], int]
    ) -> None:
        """Take `customers`, which returns the number of customers with state."""
        self._budget = budget
        self._limits = limits
        self._process = process
        self._customers = customers
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._next_trim_at_s = 0.0
        self._was_short = False
        self.at_rest_bytes = limits.at_rest_bytes

    def start(self) -> None:
        """Measure the memory at rest, and begin to check."""
        self._process.return_free_memory()
        self.at_rest_bytes = self._process.resident_bytes()
        limits = MemoryLimits(limit_bytes=self._limits.limit_bytes, at_rest_bytes=self.at_rest_bytes)
        self._budget.set_capacity(limits.capacity_bytes)
        log.info(
            "memory_budget limit=%d at_rest=%d capacity=%d",
            limits.limit_bytes,
            self.at_rest_bytes,
            limits.capacity_bytes,
        )
        self._schedule()

    def close(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()
        self._process.close()

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        return self._process.resident_bytes()

    def _schedule(self) -> None:
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._schedule()
        budget = self._budget
        budget.set(MemoryUse.CUSTOMERS, self._customers() * CUSTOMER_BYTES)
        if self._uncounted_bytes() > 0 and self._may_trim():
            self._trim()
        budget.set(MemoryUse.UNCOUNTED, max(0, self._uncounted_bytes()))
        if budget.is_short and not self._was_short:
            log.warning("memory_short waiting=%d %s", budget.waiting_count(), self._summary())
        self._was_short = budget.is_short

    def _may_trim(self) -> bool:
        """Return whether memory is used to a degree that makes a trim worth its time."""
        used_bytes = self._process.resident_bytes() - self.at_rest_bytes
        is_due = self._loop.time() >= self._next_trim_at_s
        return is_due and used_bytes >= TRIM_FRACTION * self._budget.capacity_bytes

    def _trim(self) -> None:
        """Collect garbage, as closed connections are part of cycles, and return free memory."""
        started_at_s = time.monotonic()
        gc.collect()
        self._process.return_free_memory()
        pause_s = TRIM_PAUSE_FACTOR * (time.monotonic() - started_at_s)
        self._next_trim_at_s = self._loop.time() + max(MIN_TRIM_INTERVAL_S, pause_s)

    def _uncounted_bytes(self) -> int:
        """Return the resident memory beyond that at rest, what is counted, and the margin."""
        counted_bytes = sum(self._budget.held.values()) - self._budget.held[MemoryUse.UNCOUNTED]
        return self._process.resident_bytes() - self.at_rest_bytes - counted_bytes - MARGIN_BYTES

    def _summary(self) -> str:
        held = " ".join(f"{use.value}={size}" for use, size in self._budget.held.items())
        return f"resident={self.resident_bytes()} capacity={self._budget.capacity_bytes} {held}"
