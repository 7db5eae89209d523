"""Gateways that restart together: the load on discovery, connections, and calls to the quota counter."""

from __future__ import annotations

from dataclasses import dataclass, replace
from statistics import median

from benchmarks.connection_counts import FleetShape, count_connections
from benchmarks.counter_calls import FLEET_SIZES, PROPORTIONAL, UNLIMITED, CounterCapacity
from benchmarks.design import DESIGN, SECONDS_PER_DAY
from benchmarks.discovery_updates import encode_full_list
from benchmarks.fleet_simulation import simulate
from benchmarks.quota_audit import FleetCounts
from benchmarks.scenario import FleetSize, Restart, Scenario
from benchmarks.tables import Column, print_table, report_progress

SIMULATED_FLEET = FLEET_SIZES[-1]
RESTART_AT_S = 4.0
COUNTED_S = 2.0  # before the restart, and after it
RESTARTED_FRACTIONS = (0.1, 1.0)


@dataclass(frozen=True)
class RestartWave:
    """Gateways whose restarts are spread evenly over a duration."""

    label: str
    gateways: int
    duration_s: float

    @property
    def restarts_per_s(self) -> float:
        """Return the rate of restarts."""
        return self.gateways / self.duration_s


RESTART_WAVES = (
    RestartWave("1,300 a day, evenly", gateways=DESIGN.restarts_per_day, duration_s=SECONDS_PER_DAY),
    RestartWave("a tenth at once (1 s)", gateways=DESIGN.gateways // 10, duration_s=1.0),
    RestartWave("all within 60 s", gateways=DESIGN.gateways, duration_s=60.0),
)


@dataclass(frozen=True)
class RestartWaveLoad:
    """A wave in which every gateway reads a list and opens connections to its subset of endpoints."""

    wave: RestartWave
    list_bytes: int
    connections_per_gateway: float


WAVE_COLUMNS: tuple[Column[RestartWaveLoad], ...] = (
    Column("wave", lambda row: row.wave.label),
    Column("gateways", lambda row: row.wave.gateways),
    Column("within (s)", lambda row: row.wave.duration_s),
    Column("restarts/s", lambda row: row.wave.restarts_per_s),
    Column("list bytes (MB)", lambda row: row.list_bytes * row.wave.gateways / 1e6),
    Column("list (MB/s)", lambda row: row.wave.restarts_per_s * row.list_bytes / 1e6),
    Column("connections opened", lambda row: row.connections_per_gateway * row.wave.gateways),
    Column("connections/s", lambda row: row.wave.restarts_per_s * row.connections_per_gateway),
)


def print_restart_waves() -> None:
    """Print the load of every wave on discovery and on endpoints."""
    list_bytes = len(encode_full_list(DESIGN.endpoints))
    connections = count_connections(FleetShape(DESIGN.gateways, DESIGN.endpoints))
    connections_per_gateway = median(connections.by_gateway)
    rows = [RestartWaveLoad(wave, list_bytes, connections_per_gateway) for wave in RESTART_WAVES]
    title = "Restart waves: the whole list to each, and a connection at least to each endpoint of its subset"
    print_table(title, WAVE_COLUMNS, rows)


@dataclass(frozen=True)
class RestartCounts:
    """Counts of a fleet just before and just after some gateways restart at once."""

    before: FleetCounts
    after: FleetCounts


def simulate_restart(
    size: FleetSize, restarted_fraction: float, counter_capacity: float | None
) -> RestartCounts:
    """Return the counts around the restart of a fraction of the gateways."""
    before = Scenario(
        size,
        counter_capacity=counter_capacity,
        count_from_s=RESTART_AT_S - COUNTED_S,
        end_s=RESTART_AT_S,
    )
    restarted = range(int(size.gateways * restarted_fraction))
    after = replace(
        before,
        count_from_s=RESTART_AT_S,
        end_s=RESTART_AT_S + COUNTED_S,
        restarts=tuple(Restart(RESTART_AT_S, gateway) for gateway in restarted),
    )
    return RestartCounts(simulate(before), simulate(after))


@dataclass(frozen=True)
class RestartRow:
    """The counts of one interval around a restart."""

    counter_capacity: float | None
    restarted_fraction: float
    interval: str
    counts: FleetCounts


RESTART_COLUMNS: tuple[Column[RestartRow], ...] = (
    Column(
        "counter", lambda row: "unlimited" if row.counter_capacity is None else f"{row.counter_capacity:g}/s"
    ),
    Column("restarted", lambda row: f"{row.restarted_fraction:.0%}"),
    Column("counted", lambda row: row.interval),
    Column("calls/s", lambda row: row.counts.per_second(row.counts.calls)),
    Column("calls/request", lambda row: row.counts.calls_per_request),
    Column("answered/s", lambda row: row.counts.per_second(row.counts.answered_calls)),
    Column("overloaded/s", lambda row: row.counts.per_second(row.counts.overloaded_calls)),
    Column("granted (fraction)", lambda row: row.counts.granted_fraction),
    Column("over-quota price (fraction)", lambda row: row.counts.unpaid_fraction),
)


def restart_rows(size: FleetSize, restarted_fraction: float, capacity: CounterCapacity) -> list[RestartRow]:
    """Return the rows before and after the restart of a fraction of the gateways."""
    report_progress(f"gateway restarts: {restarted_fraction:.0%} of {size.gateways} gateways")
    calls_per_s = capacity.for_gateways(size.gateways)
    counts = simulate_restart(size, restarted_fraction, calls_per_s)
    return [
        RestartRow(calls_per_s, restarted_fraction, interval="2 s before", counts=counts.before),
        RestartRow(calls_per_s, restarted_fraction, interval="2 s after", counts=counts.after),
    ]


def print_counter_calls(size: FleetSize = SIMULATED_FLEET) -> None:
    """Print the calls to the counter around restarts."""
    rows: list[RestartRow] = []
    for restarted_fraction in RESTARTED_FRACTIONS:
        for capacity in (UNLIMITED, PROPORTIONAL):
            rows += restart_rows(size, restarted_fraction, capacity)
    title = f"Counter calls where a fraction of {size.gateways} gateways start anew at once"
    print_table(title, RESTART_COLUMNS, rows)


def main() -> None:
    """Print all tables."""
    print_restart_waves()
    print_counter_calls()


if __name__ == "__main__":
    main()
