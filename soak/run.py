"""One run: the world is built, gateways start, faults come, all is drained, and the judge speaks."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from soak.addresses import free_udp_addresses
from soak.checks.verdict import Verdict, reach_verdict
from soak.clients import GARBAGE, HALF_COMMAND, Traffic
from soak.counter_server import CounterServer
from soak.discovery_agents import (
    PROPAGATION_DEADLINE_AFTER_MOVE_S,
    PROPAGATION_DEADLINE_S,
    Health,
    ListSource,
)
from soak.gateways import Gateway, Launch
from soak.observations import Lag, Record
from soak.order_servers import OrderServer
from soak.schedule import OF_COUNTER, Fault, FaultKind, draw_schedule
from soak.settings import Deployment, draw_deployment

LAG_CHECK_S = 0.01
MIN_LAG_S = 0.02  # below it the limits' own slack is enough
LAGGING_VERSIONS = 6
RETURN_AFTER_S = 2.0  # of a drained server, after its end
TERMINATED_AFTER_S = 1.0  # of a draining server
ANSWERS_AFTER_S = 4.0  # after the last request, until all answers are in
START_STAGGER_S = 0.05
DEFAULT_LAUNCH = Launch()
SERVER_FAULTS = frozenset(
    {
        FaultKind.HANG,
        FaultKind.SLOW,
        FaultKind.RESET,
        FaultKind.BUSY,
        FaultKind.ERROR,
        FaultKind.LARGE,
        FaultKind.LOST_RESPONSE,
        FaultKind.MALFORMED,
        FaultKind.IDLE_CLOSE,
        FaultKind.UNACCEPTING,
    }
)


@dataclass(frozen=True, slots=True)
class Options:
    """What to play."""

    seed: int
    duration_s: float = 30.0
    gateways: int = 24
    order_servers: int = 16
    requests_per_s: float = 12.0
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)
    faults: tuple[Fault, ...] | None = None  # in place of those drawn from the seed
    launch: Launch = DEFAULT_LAUNCH
    deployment: Deployment | None = None
    log_folder: Path | None = None


class Soak:
    """The world of one run."""

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.deployment = options.deployment or draw_deployment(
            options.seed, options.gateways, options.order_servers, options.requests_per_s
        )
        self.record = Record()
        self.source = ListSource()
        self.servers: list[OrderServer] = []
        self.counter = CounterServer(options.seed)
        peers = free_udp_addresses(options.gateways) if self.deployment.peer_messages_per_s else ()
        self.gateways = [
            Gateway(n, self.deployment, self.source, self.record, folder, options.launch, options.seed, peers)
            for n in range(options.gateways)
        ]
        self.traffic = Traffic(self.deployment, self.gateways, self.record, options.seed)
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[Any]] = set()

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler({"message": "soak task", "exception": task.exception()})

    async def play(self) -> Verdict:
        """Play the run, and return the verdict."""
        lag_task = self._loop.create_task(self._watch_lag())
        try:
            await self._start()
            await self._play_faults()
            await self._finish()
        finally:
            lag_task.cancel()
            for gateway in self.gateways:
                await gateway.close()
            self.counter.close()
            for server in self.servers:
                server.close()
        self._note_deadlines()
        return reach_verdict(self.deployment, self.record)

    async def _watch_lag(self) -> None:
        while True:
            due_at = self._loop.time() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            lag_s = time.monotonic() - due_at
            if lag_s > MIN_LAG_S:
                self.record.lags.append(Lag(at=self._loop.time(), seconds=lag_s))

    # The beginning and the end.

    async def _start(self) -> None:
        for _ in range(self.options.order_servers):
            self._add_server(began_at=0.0)
        starts = []
        for gateway in self.gateways:
            await gateway.prepare(self.counter)
            starts.append(self._loop.create_task(gateway.start()))
            await asyncio.sleep(START_STAGGER_S)
        await asyncio.gather(*starts)
        self.traffic.start()

    def _add_server(self, began_at: float) -> OrderServer:
        number = len(self.servers)
        born_at = time.time() if began_at else 0.0
        rng = random.Random(f"server {self.options.seed} {number}")
        server = OrderServer(number, self.deployment, self.record, rng, born_at)
        server.began_at = began_at
        self.servers.append(server)
        server.start()
        self.source.publish(server, Health.IN_SERVICE)
        return server

    async def _play_faults(self) -> None:
        options = self.options
        faults = options.faults
        if faults is None:
            drawn = draw_schedule(
                options.seed, options.duration_s, options.gateways, options.order_servers, options.kinds
            )
            faults = tuple(drawn)
        begun_at = self._loop.time()
        self.record.faults_end_at = begun_at
        for fault in faults:
            await asyncio.sleep(max(0.0, begun_at + fault.at - self._loop.time()))
            self._begin(fault)
            end = self._loop.time() + fault.duration_s
            self.record.faults_end_at = max(self.record.faults_end_at, end)
        await asyncio.sleep(max(0.0, begun_at + options.duration_s - self._loop.time()))

    async def _finish(self) -> None:
        self.traffic.stop()
        self.record.ends_at = self._loop.time()
        await asyncio.sleep(ANSWERS_AFTER_S)
        last = [(gateway, gateway.process) for gateway in self.gateways if gateway.process is not None]
        await asyncio.gather(*(gateway.terminate(process) for gateway, process in last))

    # Faults.

    def _begin(self, fault: Fault) -> None:
        if fault.kind in SERVER_FAULTS:
            for server in self._live_servers(fault):
                server.begin_fault(fault.kind, fault.duration_s)
        elif fault.kind in self._server_changes():
            for server in self._live_servers(fault):
                self._spawn(self._server_changes()[fault.kind](server, fault.duration_s))
        elif fault.kind in OF_COUNTER:
            {
                FaultKind.COUNTER_DOWN: self.counter.take_down,
                FaultKind.COUNTER_SLOW: self.counter.slow_down,
                FaultKind.COUNTER_SILENT: self.counter.fall_silent,
                FaultKind.COUNTER_MALFORMED: self.counter.answer_malformed,
            }[fault.kind](fault.duration_s)
        else:
            for number in fault.targets:
                self._begin_at_gateway(fault, self.gateways[number])

    def _live_servers(self, fault: Fault) -> list[OrderServer]:
        """Return the servers that a fault hits; never so many that none would be left in service."""
        listed = [
            entry.server
            for entry in self.source.entries_at(self.source.version).values()
            if entry.health is Health.IN_SERVICE
        ]
        return [listed[target % len(listed)] for target in fault.targets][: max(1, len(listed) // 2)]

    def _server_changes(self) -> dict[FaultKind, Callable[[OrderServer, float], Coroutine[Any, Any, None]]]:
        return {
            FaultKind.CRASH: self._crash,
            FaultKind.DRAIN: self._drain,
            FaultKind.REPLACE: self._replace,
        }

    async def _crash(self, server: OrderServer, duration_s: float) -> None:
        if not server.is_up:
            return
        server.stop()
        await asyncio.sleep(duration_s)
        if not server.is_up:
            self._restart(server)

    def _restart(self, server: OrderServer) -> None:
        server.born_at, server.began_at = time.time(), self._loop.time()
        server.start()
        self.source.publish(server, Health.IN_SERVICE)

    async def _drain(self, server: OrderServer, duration_s: float) -> None:
        """Drain a server; it answers on for a while, ends, and comes back cold."""
        if not server.is_up:
            return
        self.source.publish(server, Health.TERMINATING)
        await asyncio.sleep(duration_s + TERMINATED_AFTER_S)
        self.source.publish(server, Health.TERMINATED)
        await asyncio.sleep(RETURN_AFTER_S)
        server.stop()
        self._restart(server)

    async def _replace(self, server: OrderServer, duration_s: float) -> None:
        """Drain a server for good, while another one joins."""
        if not server.is_up:
            return
        self.source.publish(server, Health.TERMINATING)
        self._add_server(began_at=self._loop.time())
        await asyncio.sleep(duration_s + TERMINATED_AFTER_S)
        self.source.publish(server, Health.TERMINATED)

    def _begin_at_gateway(self, fault: Fault, gateway: Gateway) -> None:
        position = gateway.position
        actions: dict[FaultKind, Callable[[], Coroutine[Any, Any, None] | None]] = {
            FaultKind.RESTART: gateway.restart,
            FaultKind.KILL: gateway.kill,
            FaultKind.RELOAD: gateway.reload,
            FaultKind.RELOAD_TORN: lambda: gateway.reload(torn_first=True),
            FaultKind.RELOAD_SILENT: gateway.reload_to_silent_agent,
            FaultKind.RELOAD_LAGGING: lambda: gateway.reload_to_lagging_agent(
                max(1, self.source.version - LAGGING_VERSIONS)
            ),
            FaultKind.PAUSE: gateway.pause,
            FaultKind.MAINTENANCE: lambda: gateway.maintain(
                self._live_servers(Fault(fault.kind, 0.0, 0.0, (position,)))[0], fault.duration_s
            ),
            FaultKind.WATCH_SILENT: gateway.agent.mute_watches,
            FaultKind.WATCH_RESET: gateway.agent.reset_watches,
            FaultKind.DISCOVERY_DOWN: lambda: gateway.agent.take_down(fault.duration_s),
            FaultKind.PIPELINE: lambda: self.traffic.pipeline(position),
            FaultKind.LEAVE: lambda: self.traffic.leave(position),
            FaultKind.SLOW_READER: lambda: self.traffic.read_slowly(position),
            FaultKind.IMPATIENT: lambda: self.traffic.be_impatient(position),
            FaultKind.HALF_COMMAND: lambda: self.traffic.misbehave(position, HALF_COMMAND),
            FaultKind.CROWD: lambda: self.traffic.crowd(position, fault.duration_s),
            FaultKind.GARBAGE: lambda: self.traffic.misbehave(position, GARBAGE),
        }
        coroutine = actions[fault.kind]()
        if coroutine is not None:
            self._spawn(coroutine)

    # What counts as notified though nothing arrived.

    def _note_deadlines(self) -> None:
        for gateway in self.gateways:
            starts = [
                self._informed_at(gateway, p.ready_at)
                for p in self.record.processes
                if p.gateway == gateway.position and p.ready_at is not None
            ]
            for _, change in self.source.changes:
                at = self._reachable_at(gateway, change.at) + PROPAGATION_DEADLINE_S
                # While discovery is down its agent is silent, and what it has at the end counts at once.
                moves = [
                    max(self._informed_at(gateway, moved_at + PROPAGATION_DEADLINE_AFTER_MOVE_S), change.at)
                    for moved_at in gateway.moved_at
                    if moved_at + PROPAGATION_DEADLINE_AFTER_MOVE_S >= change.at
                ]
                later_starts = [start for start in starts if start >= change.at]
                known_at = min([at, *moves, *later_starts])
                self.record.notifications.append(gateway.agent.notified(change, known_at))

    def _informed_at(self, gateway: Gateway, at: float) -> float:
        """Return from when on a gateway counts as told of what its agents know: not while they are down."""
        spans = [span for agent in gateway.agents for span in (*agent.outages, *agent.lags)]
        for begin, end in sorted(spans):
            if begin <= at < end:
                at = end
        return at

    def _reachable_at(self, gateway: Gateway, at: float) -> float:
        outages = sorted(outage for agent in gateway.agents for outage in agent.outages)
        for begin, end in outages:
            if begin - PROPAGATION_DEADLINE_S <= at < end:
                at = max(at, end)
        return at


async def play(options: Options) -> tuple[Verdict, Record]:
    """Play one run in a temporary folder, or in the one for logs."""
    if options.log_folder is not None:
        options.log_folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(options, options.log_folder)
        return await soak.play(), soak.record
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(options, Path(folder))
        return await soak.play(), soak.record
