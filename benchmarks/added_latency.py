"""Latency that a real gateway process adds to requests, and its processor time and memory.

`python -m benchmarks.added_latency leases` runs only the cases with a quota counter.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import dataclass

import uvloop

from benchmarks.customer_population import GATEWAYS_PER_CUSTOMER
from benchmarks.design import DESIGN
from benchmarks.gateway_process import GatewayProcess, run_gateway
from benchmarks.load_generator import INITIAL_CONNECTIONS, REQUESTS_PER_S, LoadGenerator, LoadResult
from benchmarks.measurement import resident_memory_kb
from benchmarks.stand_in_process import run_stand_ins
from benchmarks.stand_ins import StandInCounts, StandInPorts
from benchmarks.tables import Column, print_timed_table, report_progress

DURATION_S = 15.0
WARM_UP_S = 3.0  # time for the gateway to open its connections
WARM_UP_SEED = 2


@dataclass(frozen=True)
class Case:
    """Configuration of a gateway: the length of its endpoint list, and its quota counter."""

    label: str
    endpoints: int
    has_counter: bool
    lease_term_s: int = 0  # 0: each request is counted

    @property
    def gateways_per_customer(self) -> int:
        """Return the size of each customer's set of gateways; one alone needs no counter."""
        return GATEWAYS_PER_CUSTOMER if self.has_counter else 1


CASES_WITHOUT_COUNTER = (
    Case("12 listed", endpoints=12, has_counter=False),
    Case("7,100 listed", endpoints=DESIGN.endpoints, has_counter=False),
)
CASES_WITH_COUNTER = (
    Case("7,100 listed, counter", endpoints=DESIGN.endpoints, has_counter=True),
    Case("7,100 listed, leases of 50 s", endpoints=DESIGN.endpoints, has_counter=True, lease_term_s=50),
)
ALL_CASES = CASES_WITHOUT_COUNTER + CASES_WITH_COUNTER


@dataclass(frozen=True)
class GatewayLoad:
    """Results of requests through a gateway, and the gateway's resource use."""

    warm_up: LoadResult
    result: LoadResult
    cpu_s: float
    memory_mb: float


@dataclass(frozen=True)
class AddedLatency:
    """Results of the same load sent directly to an endpoint and through a gateway."""

    case: Case
    duration_s: float
    direct: LoadResult
    gateway: GatewayLoad
    stand_ins: StandInCounts

    def added_ms(self, percent: int) -> float:
        """Return the difference that the gateway makes to a percentile of the latency, in ms."""
        return self.gateway.result.latency_ms(percent) - self.direct.latency_ms(percent)

    @property
    def cpu_ms_per_request(self) -> float:
        """Return the gateway's processor time per request in ms."""
        return 1000 * self.gateway.cpu_s / max(1, self.gateway.result.sent)

    @property
    def cpu_percent(self) -> float:
        """Return the gateway's processor time in percent of a core."""
        return 100 * self.gateway.cpu_s / self.duration_s

    @property
    def gateway_connections(self) -> int:
        """Return the connections that the gateway opened to endpoints."""
        return self.stand_ins.connections - INITIAL_CONNECTIONS

    @property
    def counter_calls_per_request(self) -> float:
        """Return the gateway's calls to the counter for each request that it got."""
        return self.stand_ins.counter_calls / (self.gateway.result.sent + self.gateway.warm_up.sent)


COLUMNS: tuple[Column[AddedLatency], ...] = (
    Column("case", lambda row: row.case.label),
    Column("served", lambda row: len(row.gateway.result.latencies_s)),
    Column("rejected", lambda row: row.gateway.result.rejected),
    Column("failed", lambda row: row.gateway.result.failed),
    Column("direct p50 (ms)", lambda row: row.direct.latency_ms(50)),
    Column("direct p99 (ms)", lambda row: row.direct.latency_ms(99)),
    Column("added p50 (ms)", lambda row: row.added_ms(50)),
    Column("added p90 (ms)", lambda row: row.added_ms(90)),
    Column("added p99 (ms)", lambda row: row.added_ms(99)),
    Column("CPU a request (ms)", lambda row: row.cpu_ms_per_request),
    Column("CPU (% of a core)", lambda row: row.cpu_percent),
    Column("RSS (MB)", lambda row: row.gateway.memory_mb),
    Column("connections opened", lambda row: row.gateway_connections),
    Column("counter calls/request", lambda row: row.counter_calls_per_request),
    Column("client late p99 (ms)", lambda row: row.gateway.result.send_delay_ms(99)),
)


async def load_gateway(gateway: GatewayProcess, case: Case, duration_s: float) -> GatewayLoad:
    """Send requests through a gateway, after a warm-up that opens its connections."""
    warm_up = await LoadGenerator(gateway.port, case.gateways_per_customer, WARM_UP_SEED).run(WARM_UP_S)
    cpu_before = gateway.cpu_seconds()
    result = await LoadGenerator(gateway.port, case.gateways_per_customer).run(duration_s)
    cpu_s = gateway.cpu_seconds() - cpu_before
    memory_mb = resident_memory_kb(gateway.pid) / 1024
    return GatewayLoad(warm_up=warm_up, result=result, cpu_s=cpu_s, memory_mb=memory_mb)


async def measure_gateway(ports: StandInPorts, case: Case, duration_s: float) -> GatewayLoad:
    """Start a gateway and send requests through it."""
    async with run_gateway(ports, case.has_counter, case.lease_term_s) as gateway:
        return await load_gateway(gateway, case, duration_s)


async def measure_added_latency(case: Case, duration_s: float) -> AddedLatency:
    """Send the same requests directly to an endpoint, and then through a gateway."""
    report_progress(f"added latency: {case.label}: direct, then through a gateway, {duration_s:g} s each")
    async with run_stand_ins(case.endpoints) as stand_ins:
        ports = await stand_ins.read_ports()
        direct = await LoadGenerator(ports.endpoint, case.gateways_per_customer).run(duration_s)
        gateway = await measure_gateway(ports, case, duration_s)
        counts = await stand_ins.stop()
    return AddedLatency(case=case, duration_s=duration_s, direct=direct, gateway=gateway, stand_ins=counts)


async def print_added_latency(cases: Sequence[Case] = ALL_CASES, duration_s: float = DURATION_S) -> None:
    """Print the added latency of every case."""
    rows = [await measure_added_latency(case, duration_s) for case in cases]
    print_timed_table(f"A real gateway process at {REQUESTS_PER_S:.0f} requests/s", COLUMNS, rows)


def main(arguments: Sequence[str] = ()) -> None:
    """Print the table of all cases, or of those with a counter if the arguments say `leases`."""
    cases = CASES_WITH_COUNTER if "leases" in arguments else ALL_CASES
    uvloop.run(print_added_latency(cases))


if __name__ == "__main__":
    main(sys.argv[1:])
