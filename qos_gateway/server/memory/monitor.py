"""Compares what is counted with the resident memory of the process, at short intervals."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Callable

from ..observability.logs import RateLimitFilter
from ..observability.memory_uses import MemoryUse
from .budget import MemoryBudget
from .limits import CUSTOMER_BYTES, MARGIN_BYTES, MemoryLimits
from .process_memory import ProcessMemory

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

CHECK_INTERVAL_S = 0.05
MIN_TRIM_INTERVAL_S = 0.5  # between two returns of free memory, as each walks the whole heap


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
        self._trimmed_at_s = 0.0
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
        uncounted_bytes = self._uncounted_bytes()
        if uncounted_bytes > 0 and self._loop.time() - self._trimmed_at_s >= MIN_TRIM_INTERVAL_S:
            self._trimmed_at_s = self._loop.time()
            gc.collect()  # closed connections are part of cycles
            self._process.return_free_memory()
            uncounted_bytes = self._uncounted_bytes()
        budget.set(MemoryUse.UNCOUNTED, max(0, uncounted_bytes))
        if budget.is_short and not self._was_short:
            log.warning("memory_short waiting=%d %s", budget.waiting_count(), self._summary())
        self._was_short = budget.is_short

    def _uncounted_bytes(self) -> int:
        """Return the resident memory beyond that at rest, what is counted, and the margin."""
        counted_bytes = sum(self._budget.held.values()) - self._budget.held[MemoryUse.UNCOUNTED]
        return self._process.resident_bytes() - self.at_rest_bytes - counted_bytes - MARGIN_BYTES

    def _summary(self) -> str:
        held = " ".join(f"{use.value}={size}" for use, size in self._budget.held.items())
        return f"resident={self.resident_bytes()} capacity={self._budget.capacity_bytes} {held}"
