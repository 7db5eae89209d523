"""Dependencies shared by all connections to endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..memory.budget import MemoryBudget
from .attempt_reporter import AttemptListener, AttemptReporter
from .keep_alive import KeepAliveEstimator


@dataclass(slots=True, kw_only=True)
class ConnectionContext:
    """Clocks and shared objects of the connections and their pools."""

    loop: asyncio.AbstractEventLoop
    time: Callable[[], float]  # the event loop's clock, in s
    clock: Callable[[], int]  # the gateway's clock, in ns
    keep_alive: KeepAliveEstimator
    attempt_listener: AttemptListener
    reporter: AttemptReporter
    memory: MemoryBudget
    read_buffer: memoryview  # holds the bytes of one read until they are copied
