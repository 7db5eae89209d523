"""The time from the start of a real gateway process to its first answer."""

from __future__ import annotations

from dataclasses import dataclass
from statistics import median

import uvloop

from benchmarks.design import DESIGN
from benchmarks.gateway_process import run_gateway
from benchmarks.measurement import REPEATS, resident_memory_kb
from benchmarks.stand_in_process import run_stand_ins
from benchmarks.tables import Column, print_timed_table, report_progress

SMALL_LIST = 12  # endpoints


@dataclass(frozen=True)
class Start:
    """One start of a gateway."""

    time_to_ready_s: float
    memory_mb: float  # resident, once it is ready


@dataclass(frozen=True)
class Starts:
    """Several starts with one length of the endpoint list."""

    endpoints: int
    starts: tuple[Start, ...]

    @property
    def times_s(self) -> list[float]:
        """Return the times to ready."""
        return [start.time_to_ready_s for start in self.starts]


COLUMNS: tuple[Column[Starts], ...] = (
    Column("endpoints", lambda row: row.endpoints),
    Column("median (s)", lambda row: median(row.times_s)),
    Column("min (s)", lambda row: min(row.times_s)),
    Column("max (s)", lambda row: max(row.times_s)),
    Column("RSS then (MB)", lambda row: median(start.memory_mb for start in row.starts)),
)


async def measure_starts(endpoints: int, repeats: int = REPEATS) -> Starts:
    """Start a gateway several times, one after another."""
    starts = []
    async with run_stand_ins(endpoints) as stand_ins:
        ports = await stand_ins.read_ports()
        for _ in range(repeats):
            report_progress(f"time to ready: {endpoints:,} endpoints")
            async with run_gateway(ports, has_counter=False) as gateway:
                starts.append(Start(gateway.time_to_ready_s, resident_memory_kb(gateway.pid) / 1024))
        await stand_ins.stop()
    return Starts(endpoints, tuple(starts))


async def print_time_to_ready() -> None:
    """Print the time to ready with a small list and with one of the design size."""
    rows = [await measure_starts(endpoints) for endpoints in (SMALL_LIST, DESIGN.endpoints)]
    print_timed_table("From the start of a process to its first PONG", COLUMNS, rows)


def main() -> None:
    """Print the table."""
    uvloop.run(print_time_to_ready())


if __name__ == "__main__":
    main()
