"""Many customers at one gateway at the design size's rate: processor time and memory of its engine."""

from __future__ import annotations

import gc
from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

from benchmarks.design import DESIGN
from benchmarks.gateway_simulation import ENDPOINTS, GatewaySimulation
from benchmarks.measurement import REPEATS, resident_memory_kb, run_in_fresh_process
from benchmarks.tables import Column, print_timed_table, report_progress

CUSTOMER_COUNTS = (100, 1_000, 4_000, 11_000)
DURATION_S = 60.0  # of the virtual clock


@dataclass(frozen=True)
class AccountCost:
    """Cost of customer accounts; times are processor times of the second half of the simulation."""

    accounts: int  # at the end
    commitments: int  # active at the end
    request_us: float  # arrival, end of the attempt and calls to the counter
    median_tick_ms: float
    longest_tick_ms: float
    memory_kb: int  # growth since the first request


def measure_accounts(
    customers: int,
    duration_s: float = DURATION_S,
    requests_per_s: float = DESIGN.requests_per_s_and_gateway,
    seed: int = 1,
) -> AccountCost:
    """Return the cost of `customers` customers with equal request rates.

    Must run in a fresh process, because memory freed earlier would hide the growth.
    """
    simulation = GatewaySimulation(customers, requests_per_s, duration_s, seed)
    gc.collect()
    memory_before = resident_memory_kb()
    simulation.run()
    gc.collect()
    return AccountCost(
        accounts=len(simulation.engine.quota.accounts),
        commitments=len(simulation.engine.commitments.active),
        request_us=simulation.stopwatch.request_us,
        median_tick_ms=simulation.stopwatch.median_tick_ms,
        longest_tick_ms=simulation.stopwatch.longest_tick_ms,
        memory_kb=resident_memory_kb() - memory_before,
    )


@dataclass(frozen=True)
class AccountCosts:
    """The costs of several seeds for one number of customers."""

    customers: int
    costs: tuple[AccountCost, ...]

    @property
    def accounts(self) -> float:
        """Return the median number of accounts kept."""
        return median(cost.accounts for cost in self.costs)

    @property
    def memory_kb(self) -> float:
        """Return the median growth of memory."""
        return median(cost.memory_kb for cost in self.costs)


COLUMNS: tuple[Column[AccountCosts], ...] = (
    Column("customers", lambda row: row.customers),
    Column("accounts kept", lambda row: row.accounts),
    Column("commitments", lambda row: median(cost.commitments for cost in row.costs)),
    Column("a request (us)", lambda row: median(cost.request_us for cost in row.costs)),
    Column("a tick (ms)", lambda row: median(cost.median_tick_ms for cost in row.costs)),
    Column("longest tick (ms)", lambda row: median(cost.longest_tick_ms for cost in row.costs)),
    Column("memory grown (MB)", lambda row: row.memory_kb / 1024),
    Column("an account (kB)", lambda row: row.memory_kb / row.accounts),
)


def main(customer_counts: Sequence[int] = CUSTOMER_COUNTS) -> None:
    """Print the cost by the number of customers."""
    rows = []
    for customers in customer_counts:
        report_progress(f"customer accounts: {customers:,} customers")
        costs = tuple(
            run_in_fresh_process(measure_accounts, customers, seed=seed) for seed in range(1, REPEATS + 1)
        )
        rows.append(AccountCosts(customers, costs))
    rate = DESIGN.requests_per_s_and_gateway
    title = f"Customers at one gateway, {rate:.0f} requests/s, {ENDPOINTS} endpoints, {DURATION_S:.0f} s"
    print_timed_table(title, COLUMNS, rows)


if __name__ == "__main__":
    main()
