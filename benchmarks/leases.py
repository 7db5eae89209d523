"""Calls to the counter and what passes with quotas leased for terms, beside each request counted.

`python -m benchmarks.leases` plays a whole term after the first one, which takes minutes of processor time.
"""

from __future__ import annotations

from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, replace

from benchmarks.common import DESIGN, SECOND, progress, table
from benchmarks.counter import (
    COLUMNS,
    LIMIT,
    SIZES,
    Fault,
    Result,
    Spell,
    cut_off,
    extrapolated,
    row,
    simulate,
)
from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.types import Settings

TERM = 50  # s: the longest that the configuration takes
BEFORE, END = 60.0, 110.0  # s of the virtual clock: counted over a whole term, after the first
WORKERS = 4  # processes at once: other work has the rest of the machine
LEASED = SIZES[:3]  # 9,700 requests a second over two terms would take an hour's part


@dataclass(frozen=True)
class Leased:
    """Makes gateways whose quotas are leased for so many seconds."""

    term: float

    def __call__(self, made: Settings, seed: int, now: int) -> DecisionEngine:
        return DecisionEngine(replace(made, lease_term=int(self.term * SECOND)), seed, now)


def play(
    size: tuple[int, int, float],
    capacity: float | None,
    spells: Sequence[Spell] = (),
    term: float = TERM,
    after: float = BEFORE,
    end: float = END,
) -> Result:
    """With leases; `capacity` in calls a second, times in s of the virtual clock."""
    gateways, n, requests_per_s = size
    return simulate(
        gateways, n, requests_per_s, capacity, seconds=end, after=after, spells=spells, make=Leased(term)
    )


def main(sizes: Sequence[tuple[int, int, float]] = LEASED) -> None:
    shares = (("unlimited", None), ("750/s x G/480", LIMIT))
    fault_size = sizes[min(1, len(sizes) - 1)]
    spells: list[tuple[str, list[Spell]]] = [(f.value, [Spell(f, BEFORE, END)]) for f in Fault]
    spells.append(("half of the gateways cut off", [cut_off(fault_size[0], BEFORE, END)]))
    with ProcessPoolExecutor(WORKERS) as pool:
        each: dict[str, list[Future[Result]]] = {}
        for label, limit in shares:
            capacities = [None if limit is None else limit * size[0] / DESIGN.gateways for size in sizes]
            pairs = list(zip(sizes, capacities, strict=True))
            each[f"each counted, {label}"] = [pool.submit(simulate, *size, limit) for size, limit in pairs]
            each[f"leases of {TERM} s, {label}"] = [pool.submit(play, size, limit) for size, limit in pairs]
        faulty = [(label, pool.submit(play, fault_size, None, script)) for label, script in spells]
        rows: list[list[object]] = []
        for label, futures in each.items():
            progress(f"leases: {label}")
            results = [future.result() for future in futures]
            rows += [row(label, False, r) for r in results]
            if len(results) > 1:
                rows.append(extrapolated(label, False, results))
        table("Quotas leased and counted (virtual clock; leases over the whole second term)", COLUMNS, rows)
        rows = []
        for label, future in faulty:
            progress(f"leases: {label}")
            r = future.result()
            rows.append(
                [
                    label,
                    r.gateways,
                    r.rate(r.calls),
                    r.rate(r.answered),
                    r.granted,
                    r.price,
                    r.rate(r.over_ceiling),
                ]
            )
    table(
        f"Leases, with a fault of an unlimited counter over the whole term of {TERM} s that is counted",
        (
            "fault",
            "gateways",
            "calls/s",
            "answered/s",
            "granted (part)",
            "over-quota price (part)",
            "over ceiling/s",
        ),
        rows,
    )


if __name__ == "__main__":
    main()
