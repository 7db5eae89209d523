"""The size to design for, lists of order servers in discovery's form, and plain tables."""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

ZONES = ("west-a", "west-b", "west-c", "east-a", "east-b", "east-c")
REGIONS = 2  # the first half of the zones is one, the rest the other
KINDS = ("std-4core", "std-8core")
MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
UNIX = 1_790_000_000  # s: a fixed day, so that every list of one seed is the same
START = (UNIX + 86_400) * SECOND  # ns: a day after the last start in any list, when all are warm


@dataclass(frozen=True)
class Size:
    """What the capacity page has to answer for, with the budgets of a gateway for control."""

    gateways: int = 480
    order_servers: int = 7_100
    tenants: int = 11_000
    requests_per_s: float = 97_000.0
    changes_per_day: int = 710
    in_force_s: float = 13.0
    core_part: float = 0.038
    memory_mb: float = 128.0
    bytes_per_s: float = 14_000.0
    restarts_per_day: int = 1_300

    @property
    def each(self) -> float:
        """Requests a second at one gateway."""
        return self.requests_per_s / self.gateways


DESIGN = Size()


def entry(number: int, rng: random.Random, dial: str | None = None) -> dict[str, Any]:
    """One order server as discovery lists it; without `dial` at an address of its own."""
    zone = number % len(ZONES)
    kind = KINDS[rng.random() < 0.3]
    return {
        "host": f"s-{rng.getrandbits(32):08x}",
        "dial": dial or f"10.{zone + 1}.{number // 250 % 250}.{number % 250 + 1}:6379",
        "site": ZONES[zone],
        "class": kind,
        "block": number // 20,
        "health": "in_service",
        "share": 2.0 if kind == KINDS[1] else 1.0,
        "born_ms": (UNIX - rng.randrange(86_400 * 5)) * 1000 if rng.random() < 0.5 else 0,
    }


def servers(n: int, seed: int = 1, dial: str | None = None) -> list[dict[str, Any]]:
    """So many order servers, evenly over the zones; the same for one seed."""
    rng = random.Random(seed)
    return [entry(number, rng, dial) for number in range(n)]


def whole(hosts: Sequence[dict[str, Any]], seq: int = 1) -> dict[str, Any]:
    return {"seq": seq, "whole": True, "hosts": list(hosts)}


def change(hosts: Sequence[dict[str, Any]], health: str = "terminating", seq: int = 2) -> dict[str, Any]:
    """One object that tells of these order servers that they are now so."""
    return {"seq": seq, "whole": False, "hosts": [{**host, "health": health} for host in hosts]}


def line(update: dict[str, Any]) -> bytes:
    """As the agent writes it: compact JSON on a line."""
    return json.dumps(update, separators=(",", ":")).encode() + b"\n"


def slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Slope and intercept of the least-squares line through these points."""
    n = len(points)
    mx, my = sum(x for x, _ in points) / n, sum(y for _, y in points) / n
    spread = sum((x - mx) ** 2 for x, _ in points)
    a = sum((x - mx) * (y - my) for x, y in points) / spread if spread else 0.0
    return a, my - a * mx


def at(points: Sequence[tuple[float, float]], x: float) -> float:
    """The least-squares line's value at `x`."""
    a, b = slope(points)
    return a * x + b


def cpu(work: Callable[[], object], repeats: int = 3) -> float:
    """Processor seconds of one run of `work`: the median of so many."""
    spans = []
    for _ in range(repeats):
        began = time.process_time()
        work()
        spans.append(time.process_time() - began)
    return median(spans)


def pace() -> float:
    """Processor milliseconds that a fixed piece of work takes now: other load on the machine swings them."""
    return 1000 * cpu(lambda: sum(number * number % 7 for number in range(200_000)))


def rss_kb(pid: int | None = None) -> int:
    """Resident memory of a process, this one by default, in kB."""
    status = Path(f"/proc/{pid or 'self'}/status").read_text()
    return int(next(row.split()[1] for row in status.splitlines() if row.startswith("VmRSS")))


def cell(value: object) -> str:
    if isinstance(value, float):
        return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.4g}"
    return f"{value:,}" if isinstance(value, int) else str(value)


def table(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """One plain table on stdout."""
    cells = [list(columns), *([cell(value) for value in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    print(title)
    for row in cells:
        print("  ".join(text.rjust(width) for text, width in zip(row, widths, strict=True)).rstrip())
    print(flush=True)


def timed(title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """A table of times, whose title tells how fast the machine was when they had been taken."""
    table(f"{title} [a fixed piece of work: {pace():.1f} ms]", columns, rows)


def progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
