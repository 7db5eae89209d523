"""Processor time and resident memory, of this process or of a fresh one."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from statistics import median
from typing import ParamSpec, TypeVar

Params = ParamSpec("Params")
Result = TypeVar("Result")

REPEATS = 3  # runs of which a measurement takes the median
REFERENCE_ITERATIONS = 200_000  # some 10 ms of processor time


def cpu_seconds(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the processor time of one run of `work` in seconds: the median of `repeats` runs."""
    durations = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        durations.append(time.process_time() - started)
    return median(durations)


def _reference_work() -> int:
    return sum(number * number % 7 for number in range(REFERENCE_ITERATIONS))


def reference_work_ms() -> float:
    """Return the processor time of a fixed computation in ms; other load on the machine changes it."""
    return 1000 * cpu_seconds(_reference_work)


def resident_memory_kb(pid: int | None = None) -> int:
    """Return the resident memory of a process, of this one by default, in kB."""
    status = Path(f"/proc/{pid or 'self'}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(resident.split()[1])


def run_in_fresh_process(
    function: Callable[Params, Result], *args: Params.args, **kwargs: Params.kwargs
) -> Result:
    """Call `function` in a new process and return its result.

    Memory that earlier measurements have freed in this process would hide growth.
    """
    with ProcessPoolExecutor(1, mp_context=get_context("spawn")) as pool:
        return pool.submit(function, *args, **kwargs).result()
