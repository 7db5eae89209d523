"""Many decision engines in one process that share a list's entries: memory, and processor time at idle."""

from __future__ import annotations

import gc
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.design import DESIGN, START
from benchmarks.discovery_updates import encode_full_list, parse_line
from benchmarks.engines import make_engine
from benchmarks.measurement import cpu_seconds, resident_memory_kb, run_in_fresh_process
from benchmarks.tables import Column, print_timed_table, report_progress
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.types import TimerFired, Topology
from qos_gateway.units import SECOND

INSTANCE_COUNTS = (1, 8, 60, 240, 480)
TICKS_PER_RUN = 10
TICKS_PER_S = 10
TICK_INTERVAL_NS = SECOND // TICKS_PER_S


@dataclass(frozen=True)
class InstanceCost:
    """Cost of each engine in a process of several."""

    instances: int
    list_memory_kb: int  # the list itself, once for the process
    memory_kb: float
    start_ms: float  # to apply the list
    tick_ms: float  # at idle


class InstanceGroup:
    """Engines at different positions of one fleet."""

    def __init__(self, count: int) -> None:
        self._engines: list[DecisionEngine] = [
            make_engine(position % DESIGN.gateways) for position in range(count)
        ]
        self._ticks = 0

    def apply(self, topology: Topology) -> None:
        """Let all engines apply a list."""
        for engine in self._engines:
            engine.handle(START, topology)

    def run_ticks(self) -> None:
        """Let the timers of all engines fire several times."""
        for _ in range(TICKS_PER_RUN):
            self._ticks += 1
            for engine in self._engines:
                engine.handle(START + self._ticks * TICK_INTERVAL_NS, TimerFired(TICK_TIMER))


def read_list(endpoints: int) -> Topology:
    """Return a parsed list, and drop the text that it was parsed from."""
    return parse_line(encode_full_list(endpoints)).topology


def measure_instances(count: int, endpoints: int = DESIGN.endpoints) -> InstanceCost:
    """Return the cost of each of `count` engines.

    Must run in a fresh process, because memory freed earlier would hide the growth.
    """
    memory_before = resident_memory_kb()
    topology = read_list(endpoints)
    gc.collect()
    memory_with_list = resident_memory_kb()
    group = InstanceGroup(count)
    start_s = cpu_seconds(lambda: group.apply(topology), 1)
    gc.collect()
    memory_growth = resident_memory_kb() - memory_with_list
    return InstanceCost(
        instances=count,
        list_memory_kb=memory_with_list - memory_before,
        memory_kb=memory_growth / count,
        start_ms=1000 * start_s / count,
        tick_ms=1000 * cpu_seconds(group.run_ticks) / TICKS_PER_RUN / count,
    )


COLUMNS: tuple[Column[InstanceCost], ...] = (
    Column("instances", lambda row: row.instances),
    Column("the list (MB)", lambda row: row.list_memory_kb / 1024),
    Column("each (MB)", lambda row: row.memory_kb / 1024),
    Column("all (MB)", lambda row: row.instances * row.memory_kb / 1024),
    Column("start of each (ms)", lambda row: row.start_ms),
    Column("idle tick of each (ms)", lambda row: row.tick_ms),
    Column("all at idle (cores)", lambda row: row.instances * row.tick_ms * TICKS_PER_S / 1000),
)


def main(instance_counts: Sequence[int] = INSTANCE_COUNTS) -> None:
    """Print the cost by the number of engines."""
    rows = []
    for count in instance_counts:
        report_progress(f"engine instances: {count}")
        rows.append(run_in_fresh_process(measure_instances, count))
    title = f"Decision engines in one process, a list of {DESIGN.endpoints:,} whose entries they share"
    print_timed_table(title, COLUMNS, rows)


if __name__ == "__main__":
    main()
