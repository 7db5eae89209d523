"""Run all benchmarks in turn; tables go to stdout, progress to stderr. Some ten minutes beside other load."""

from __future__ import annotations

from benchmarks import (
    added_latency,
    connection_counts,
    counter_calls,
    customer_accounts,
    endpoint_lists,
    engine_instances,
    gateway_restarts,
    latency_change,
    quota_leases,
    time_to_ready,
    zone_outage,
)
from benchmarks.tables import report_progress

BENCHMARKS = (
    counter_calls,
    quota_leases,
    endpoint_lists,
    engine_instances,
    customer_accounts,
    zone_outage,
    connection_counts,
    gateway_restarts,
    latency_change,
    added_latency,
    time_to_ready,
)


def main() -> None:
    """Print the tables of all benchmarks."""
    for benchmark in BENCHMARKS:
        report_progress(f"-- {benchmark.__name__}")
        benchmark.main()


if __name__ == "__main__":
    main()
