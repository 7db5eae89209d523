"""Cost of an endpoint list at a gateway by the list's length: bytes, processor time and memory."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from statistics import median

from benchmarks.customer_population import GATEWAYS_PER_CUSTOMER
from benchmarks.design import DESIGN, ENDPOINT_TYPES, START, ZONES
from benchmarks.discovery_updates import (
    EndpointRecord,
    encode_full_list,
    encode_update,
    endpoint_records,
    full_update,
    health_update,
    parse_line,
    records_in_zone,
)
from benchmarks.engines import make_engine, successful_attempt
from benchmarks.measurement import REPEATS, cpu_seconds, resident_memory_kb, run_in_fresh_process
from benchmarks.tables import Column, print_table, print_timed_table, report_progress
from qos_gateway.decisions.engine import TICK_TIMER, DecisionEngine
from qos_gateway.server.config import Address
from qos_gateway.server.discovery.endpoint_list import parse_update
from qos_gateway.types import Send, TimerFired, Topology
from qos_gateway.units import MILLISECOND
from tests.support.builders import arrival

LIST_LENGTHS = (200, 800, 1_800, 3_500, 7_100)
REQUESTS_PER_RUN = 200  # arrivals and ends in one timed run
REQUEST_INTERVAL_NS = 5 * MILLISECOND  # as at the design size's rate
ATTEMPT_DURATION_NS = MILLISECOND
CUSTOMERS_PER_GATEWAY = 23  # the design size's customers over its gateways
TICKS_PER_RUN = 10


@dataclass(frozen=True)
class ListSizes:
    """Bytes as discovery writes them, without HTTP's chunk headers."""

    full: int
    change: int  # of one endpoint
    zone_outage: int  # of one zone's endpoints, in one object
    zone_outage_one_by_one: int  # the same as one object for each endpoint


def measure_sizes(endpoints: int) -> ListSizes:
    """Return the sizes of a list of `endpoints` endpoints and of its changes."""
    records = endpoint_records(endpoints)
    affected = records_in_zone(records, ZONES[0])
    return ListSizes(
        full=len(encode_update(full_update(records))),
        change=len(encode_update(health_update(records[:1]))),
        zone_outage=len(encode_update(health_update(affected, "terminated"))),
        zone_outage_one_by_one=sum(
            len(encode_update(health_update([record], "terminated"))) for record in affected
        ),
    )


@dataclass(frozen=True)
class ListTimes:
    """Processor milliseconds; `apply` is what the decision engine does with a parsed list."""

    decode_json_ms: float
    parse_ms: float
    apply_full_ms: float
    read_change_ms: float  # decoding and parsing
    apply_change_ms: float
    apply_zone_outage_ms: float
    request_ms: float  # an arrival and its end
    tick_ms: float

    @property
    def full_list_s(self) -> float:
        """Return the processor seconds to decode, parse and apply a full list."""
        return (self.decode_json_ms + self.parse_ms + self.apply_full_ms) / 1000

    @property
    def ticks_core_percent(self) -> float:
        """Return the processor time of ticks in percent of a core: at 10 per second, 1 ms each is 1%."""
        return self.tick_ms


class EngineTimer:
    """Measures the processor time of one engine's work in milliseconds."""

    def __init__(self, repeats: int) -> None:
        self._engine = make_engine()
        self._repeats = repeats
        self._now = START
        self._request_ids = count(1)

    def apply(self, topology: Topology) -> float:
        """Return the time to apply a list."""
        return 1000 * cpu_seconds(lambda: self._engine.handle(self._now, topology), self._repeats)

    def apply_change(self, change: Topology, full: Topology) -> float:
        """Return the time to apply a change; the full list undoes it before the next time."""
        durations = []
        for _ in range(self._repeats):
            durations.append(self.apply(change))
            self.apply(full)
        return median(durations)

    def request(self) -> float:
        """Return the time of one request."""
        self._run_requests()
        return 1000 * cpu_seconds(self._run_requests, self._repeats) / REQUESTS_PER_RUN

    def tick(self) -> float:
        """Return the time of one tick."""
        return 1000 * cpu_seconds(self._run_ticks, self._repeats) / TICKS_PER_RUN

    def _run_requests(self) -> None:
        for _ in range(REQUESTS_PER_RUN):
            request_id = next(self._request_ids)
            self._now += REQUEST_INTERVAL_NS
            customer = request_id % CUSTOMERS_PER_GATEWAY + 1
            request = arrival(
                request_id, self._now, customer_id=customer, gateway_spread=GATEWAYS_PER_CUSTOMER
            )
            actions = self._engine.handle(self._now, request)
            (sent,) = (action for action in actions if isinstance(action, Send))
            ended = successful_attempt(request_id, sent.endpoint, ATTEMPT_DURATION_NS)
            self._engine.handle(self._now + ATTEMPT_DURATION_NS, ended)

    def _run_ticks(self) -> None:
        for _ in range(TICKS_PER_RUN):
            self._engine.handle(self._now, TimerFired(TICK_TIMER))


def measure_times(endpoints: int, repeats: int = REPEATS) -> ListTimes:
    """Return the processor times of a list of `endpoints` endpoints, each the median of `repeats` runs."""
    records = endpoint_records(endpoints)
    full_line = encode_update(full_update(records))
    change_line = encode_update(health_update(records[:1]))
    raw = json.loads(full_line)
    full = parse_line(full_line).topology
    change = parse_line(change_line).topology
    zone_outage = parse_line(encode_update(health_update(records_in_zone(records, ZONES[0])))).topology
    timer = EngineTimer(repeats)
    timer.apply(full)
    apply_full_ms = timer.apply(full)
    apply_change_ms = timer.apply_change(change, full)
    apply_zone_outage_ms = timer.apply(zone_outage)
    timer.apply(full)
    return ListTimes(
        decode_json_ms=1000 * cpu_seconds(lambda: json.loads(full_line), repeats),
        parse_ms=1000 * cpu_seconds(lambda: parse_update(raw, ZONES, ENDPOINT_TYPES), repeats),
        apply_full_ms=apply_full_ms,
        read_change_ms=1000 * cpu_seconds(lambda: parse_line(change_line), repeats),
        apply_change_ms=apply_change_ms,
        apply_zone_outage_ms=apply_zone_outage_ms,
        request_ms=timer.request(),
        tick_ms=timer.tick(),
    )


@dataclass(frozen=True)
class RetainedList:
    """Data of a list that a gateway keeps outside its engine: the records and their addresses."""

    records: dict[str, EndpointRecord]
    addresses: dict[int, Address]


def load_list(engine: DecisionEngine, endpoints: int) -> RetainedList:
    """Decode, parse and apply a list as a gateway does."""
    raw = json.loads(encode_full_list(endpoints))
    update = parse_update(raw, ZONES, ENDPOINT_TYPES)
    engine.handle(START, update.topology)
    records = {record["host"]: record for record in raw["hosts"]}
    return RetainedList(records, update.addresses)


def measure_memory_growth_kb(endpoints: int) -> int:
    """Return the growth of this process in kB through a list. Must run in a fresh process."""
    engine = make_engine()
    memory_before = resident_memory_kb()
    retained = load_list(engine, endpoints)
    growth = resident_memory_kb() - memory_before
    del retained  # alive until its memory is measured
    return growth


@dataclass(frozen=True)
class ListCost:
    """Measured cost of one endpoint list."""

    endpoints: int
    sizes: ListSizes
    times: ListTimes
    memory_kb: int


SIZE_COLUMNS: tuple[Column[ListCost], ...] = (
    Column("endpoints", lambda row: row.endpoints),
    Column("whole list (B)", lambda row: row.sizes.full),
    Column("an entry (B)", lambda row: row.sizes.full / row.endpoints),
    Column("one change (B)", lambda row: row.sizes.change),
    Column("zone outage (B)", lambda row: row.sizes.zone_outage),
    Column("whole at 14 KB/s (s)", lambda row: row.sizes.full / DESIGN.control_bytes_per_s),
    Column("zone at 14 KB/s (s)", lambda row: row.sizes.zone_outage / DESIGN.control_bytes_per_s),
    Column("whole at 3.8% core (s)", lambda row: row.times.full_list_s / DESIGN.control_core_fraction),
    Column("memory (MB)", lambda row: row.memory_kb / 1024),
)
TIME_COLUMNS: tuple[Column[ListCost], ...] = (
    Column("endpoints", lambda row: row.endpoints),
    Column("read JSON", lambda row: row.times.decode_json_ms),
    Column("parse_update", lambda row: row.times.parse_ms),
    Column("apply whole", lambda row: row.times.apply_full_ms),
    Column("read a change", lambda row: row.times.read_change_ms),
    Column("apply a change", lambda row: row.times.apply_change_ms),
    Column("apply a zone outage", lambda row: row.times.apply_zone_outage_ms),
    Column("a request (us)", lambda row: 1000 * row.times.request_ms),
    Column("a tick", lambda row: row.times.tick_ms),
    Column("ticks (% of a core)", lambda row: row.times.ticks_core_percent),
)


def measure_list(endpoints: int) -> ListCost:
    """Return the cost of a list of `endpoints` endpoints; a fresh process measures its memory."""
    report_progress(f"endpoint lists: {endpoints:,} endpoints")
    return ListCost(
        endpoints=endpoints,
        sizes=measure_sizes(endpoints),
        times=measure_times(endpoints),
        memory_kb=run_in_fresh_process(measure_memory_growth_kb, endpoints),
    )


def main(lengths: Sequence[int] = LIST_LENGTHS) -> None:
    """Print the cost by the list's length."""
    rows = [measure_list(endpoints) for endpoints in lengths]
    title = "Lists: bytes as discovery writes them, and the budgets of a gateway (14 KB/s, 3.8% of a core)"
    print_table(title, SIZE_COLUMNS, rows)
    title = "Lists: processor time (ms unless stated otherwise; at 480 gateways)"
    print_timed_table(title, TIME_COLUMNS, rows)


if __name__ == "__main__":
    main()
