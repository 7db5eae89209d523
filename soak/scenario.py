"""The scenario of one run: start the world, inject the faults, stop it, and reach the verdict."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from soak.addresses import free_udp_addresses
from soak.background_tasks import BackgroundTasks
from soak.checks.verdict import Verdict, reach_verdict
from soak.clients import Traffic
from soak.counter_server import CounterServer
from soak.discovery_agents import ListSource
from soak.fault_injection.clients import ClientFaults
from soak.fault_injection.counter import CounterFaults
from soak.fault_injection.discovery import DiscoveryFaults
from soak.fault_injection.gateways import GatewayFaults
from soak.fault_injection.injector import FaultInjector
from soak.fault_injection.server_lifecycle import ServerLifecycleFaults
from soak.fault_injection.server_responses import ServerResponseFaults
from soak.gateways import Gateway, GatewaySetup
from soak.lag_monitor import record_lags
from soak.observations import Record
from soak.options import Options
from soak.order_server_fleet import OrderServerFleet
from soak.propagation import record_propagation_deadlines
from soak.schedule import Fault, draw_schedule
from soak.settings import draw_deployment

LAST_RESPONSES_S = 4.0  # from the last request, until all responses are complete
START_STAGGER_S = 0.05  # between the starts of two gateways


@dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """The verdict on a run, and the observations behind it."""

    verdict: Verdict
    record: Record
    memory_mb: int  # the limit of each gateway


class Scenario:
    """The world of one run and its phases."""

    def __init__(self, options: Options, folder: Path) -> None:
        """Write the gateways' configurations and logs to `folder`."""
        self._options = options
        self._deployment = options.deployment or draw_deployment(
            options.seed, options.gateways, options.order_servers, options.requests_per_s
        )
        self._loop = asyncio.get_running_loop()
        self._record = Record()
        self._source = ListSource()
        self._fleet = OrderServerFleet(self._deployment, self._source, self._record, options.seed)
        self._counter = CounterServer(options.seed)
        self._gateways = self._build_gateways(folder)
        self._traffic = Traffic(self._deployment, self._gateways, self._record, options.seed)
        self._injector = self._build_injector()

    def _build_gateways(self, folder: Path) -> list[Gateway]:
        options = self._options
        has_peer_messages = self._deployment.fleet.peer_messages_per_s > 0.0
        setup = GatewaySetup(
            deployment=self._deployment,
            source=self._source,
            record=self._record,
            folder=folder,
            launch=options.launch,
            seed=options.seed,
            peers=free_udp_addresses(options.gateways) if has_peer_messages else (),
        )
        return [Gateway(position, setup) for position in range(options.gateways)]

    def _build_injector(self) -> FaultInjector:
        tasks = BackgroundTasks()
        return FaultInjector(
            (
                GatewayFaults(self._gateways, self._fleet, self._source, tasks),
                DiscoveryFaults(self._gateways),
                ServerResponseFaults(self._fleet),
                ServerLifecycleFaults(self._fleet, tasks),
                ClientFaults(self._traffic, tasks),
                CounterFaults(self._counter),
            )
        )

    async def play(self) -> RunResult:
        """Play all phases, and return the result."""
        lag_task = self._loop.create_task(record_lags(self._record))
        try:
            await self._start()
            await self._inject_faults()
            await self._finish()
        finally:
            lag_task.cancel()
            await self._close()
        record_propagation_deadlines(self._gateways, self._source, self._record)
        return RunResult(
            verdict=reach_verdict(self._deployment, self._record),
            record=self._record,
            memory_mb=self._deployment.fleet.memory_mb,
        )

    async def _start(self) -> None:
        for _ in range(self._options.order_servers):
            self._fleet.add_initial()
        starts = []
        for gateway in self._gateways:
            await gateway.prepare(self._counter)
            starts.append(self._loop.create_task(gateway.start()))
            await asyncio.sleep(START_STAGGER_S)
        await asyncio.gather(*starts)
        self._traffic.start(self._options.has_crowd)

    async def _inject_faults(self) -> None:
        begun_at = self._loop.time()
        self._record.faults_end_at = begun_at
        for fault in self._faults():
            await asyncio.sleep(max(0.0, begun_at + fault.at - self._loop.time()))
            self._injector.inject(fault)
            end = self._loop.time() + fault.duration_s
            self._record.faults_end_at = max(self._record.faults_end_at, end)
        await asyncio.sleep(max(0.0, begun_at + self._options.duration_s - self._loop.time()))

    def _faults(self) -> tuple[Fault, ...]:
        options = self._options
        if options.faults is not None:
            return options.faults
        drawn = draw_schedule(
            options.seed, options.duration_s, options.gateways, options.order_servers, options.kinds
        )
        return tuple(drawn)

    async def _finish(self) -> None:
        """Stop the clients, wait for the last responses, and shut the gateways down."""
        self._traffic.stop()
        self._record.ends_at = self._loop.time()
        await asyncio.sleep(LAST_RESPONSES_S)
        last = [(gateway, gateway.process) for gateway in self._gateways if gateway.process is not None]
        await asyncio.gather(*(gateway.terminate(process) for gateway, process in last))

    async def _close(self) -> None:
        for gateway in self._gateways:
            await gateway.close()
        self._counter.close()
        self._fleet.close()


async def play(options: Options) -> RunResult:
    """Play one run; its files are kept only in a given log folder."""
    if options.log_folder is not None:
        options.log_folder.mkdir(parents=True, exist_ok=True)
        return await Scenario(options, options.log_folder).play()
    with tempfile.TemporaryDirectory() as folder:
        return await Scenario(options, Path(folder)).play()
