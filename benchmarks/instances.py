"""Many hollow instances in one process that share one list's entries: memory, and processor time at idle."""

from __future__ import annotations

import gc
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.common import DESIGN, SECOND, START, cpu, line, progress, rss_kb, servers, timed, whole
from benchmarks.lists import instance, read
from qos_gateway.decisions.engine import TICK_TIMER
from qos_gateway.types import TimerFired, Topology

INSTANCES = (1, 8, 60, 240, 480)
TICKS = 10
BEAT = SECOND // 10  # ns


@dataclass(frozen=True)
class Cost:
    """Of each instance."""

    shared_kb: int  # the list itself, once for the process
    memory_kb: float
    start_ms: float  # making it and learning the list
    tick_ms: float  # at idle


def list_of(n: int) -> Topology:
    return read(line(whole(servers(n)))).topology


def measure(n: int, length: int = DESIGN.order_servers) -> Cost:
    """For so many instances; in a fresh process, or memory from before would be taken for new."""
    before = rss_kb()
    topology = list_of(length)
    gc.collect()
    shared, ticks = rss_kb() - before, 0
    gateways = [instance(position % DESIGN.gateways) for position in range(n)]

    def start() -> None:
        for gateway in gateways:
            gateway.handle(START, topology)

    def tick() -> None:
        nonlocal ticks
        for _ in range(TICKS):
            ticks += 1
            for gateway in gateways:
                gateway.handle(START + ticks * BEAT, TimerFired(TICK_TIMER))

    spent = cpu(start, 1)
    gc.collect()
    memory = (rss_kb() - before - shared) / n
    return Cost(shared, memory, 1000 * spent / n, 1000 * cpu(tick) / TICKS / n)


def measured(n: int) -> Cost:
    """In a process of its own."""
    code = f"from benchmarks.instances import measure; print(*vars(measure({n})).values())"
    done = subprocess.run([sys.executable, "-c", code], check=True, capture_output=True, text=True)
    shared, *rest = done.stdout.split()
    return Cost(int(shared), *map(float, rest))


def main(numbers: Sequence[int] = INSTANCES) -> None:
    rows = []
    for n in numbers:
        progress(f"instances: {n}")
        c = measured(n)
        rows.append(
            [
                n,
                c.shared_kb / 1024,
                c.memory_kb / 1024,
                n * c.memory_kb / 1024,
                c.start_ms,
                c.tick_ms,
                n * c.tick_ms / 100,  # ten a second
            ]
        )
    timed(
        "Hollow instances in one process, a list of 7,100 whose entries they share",
        (
            "instances",
            "the list (MB)",
            "each (MB)",
            "all (MB)",
            "start of each (ms)",
            "idle tick of each (ms)",
            "all at idle (cores)",
        ),
        rows,
    )


if __name__ == "__main__":
    main()
