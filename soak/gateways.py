"""The gateways: real processes, started, signalled and restarted."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

from soak import call_shim
from soak.addresses import free_tcp_address
from soak.counter_server import CounterListener, CounterServer
from soak.discovery_agents import (
    OLD_AGENT_CLOSES_AFTER_S,
    DiscoveryAgent,
    ListSource,
)
from soak.observations import MaintenanceSeen, ProcessSeen, Record
from soak.operators import call_operators
from soak.order_servers import OrderServer
from soak.settings import LOCALHOST, Addresses, Deployment, configuration

READY_TIMEOUT_S = 30.0
PING_INTERVAL_S = 0.05
MAX_KNOWN_AGE = 8  # versions by which the list that a process starts with may be old
KILL_AFTER_DEADLINE_S = 0.7  # over the longest deadline, after SIGTERM
MAX_KILL_DEADLINE_S = 3.0  # of which it counts so much at most
PAUSE_S = 0.14
INHERITING_EVERY = 3  # gateways: the last of so many gets its listening socket from the platform
BACKLOG = 256
FIRST_OF_TWO_ENDS_AFTER_S = 0.2  # of an upgrade, once both processes serve
AGENT_LAG_S = 1.5
FRONT_NOTICES_STOP_S = 0.3  # for which new connections still come after SIGTERM
PING = b"*1\r\n$4\r\nPING\r\n"
FAULT_PATTERN = re.compile(r"invariant_violated|Traceback|event_fault|action_fault|Error\b.*exception")
LISTENING_EVENT = "listening on="


@dataclass(frozen=True, slots=True)
class Launch:
    """How gateways are started."""

    command: tuple[str, ...] = (sys.executable, "-m", "qos_gateway")
    failing_calls: Path | None = None  # the library that lets system calls fail


class GatewayProcess:
    """One process of a gateway."""

    def __init__(
        self, seen: ProcessSeen, process: asyncio.subprocess.Process, log_path: Path, operators: str
    ) -> None:
        self.seen = seen
        self.operators = operators  # where it takes the operators' calls
        self.process = process
        self.port = 0
        self.takes_new_connections = False
        self._log_path = log_path
        self._listening = asyncio.get_running_loop().create_future()
        self._log_task = asyncio.get_running_loop().create_task(self._read_log())

    async def _read_log(self) -> None:
        assert self.process.stderr is not None
        with self._log_path.open("ab", buffering=0) as file:
            while line := await self.process.stderr.readline():
                file.write(line)
                text = line.decode(errors="replace")
                if LISTENING_EVENT in text and not self._listening.done():
                    self._listening.set_result(int(text.rsplit(":", 1)[1]))
                if FAULT_PATTERN.search(text):
                    self.seen.faults.append(text.strip())
        if not self._listening.done():
            self._listening.set_result(0)

    async def wait_until_ready(self, pings: bool) -> None:
        """Wait until it answers `PING`, or only until it listens, or has ended."""
        loop = asyncio.get_running_loop()
        try:
            self.port = await asyncio.wait_for(asyncio.shield(self._listening), READY_TIMEOUT_S)
        except TimeoutError:
            return
        while self.port and self.process.returncode is None:
            if loop.time() - self.seen.started_at > READY_TIMEOUT_S:
                return
            if not pings or await self._answers_ping():
                self.seen.ready_at = loop.time()
                self.takes_new_connections = True
                return
            await asyncio.sleep(PING_INTERVAL_S)

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOCALHOST, self.port)
            writer.write(PING)
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return answer == b"+PONG\r\n"

    def is_serving(self) -> bool:
        """Return whether clients may still send on the connections they have."""
        return self.seen.exited_at is None and self.seen.ready_at is not None

    async def wait(self) -> None:
        """Note the end."""
        status = await self.process.wait()
        if self.seen.exited_at is None:
            self.seen.exited_at = asyncio.get_running_loop().time()
            self.seen.exit_status = status
        self.takes_new_connections = False
        await self._log_task

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)


class Gateway:
    """One gateway: its process, its agents, and what it is told."""

    def __init__(
        self,
        position: int,
        deployment: Deployment,
        source: ListSource,
        record: Record,
        folder: Path,
        launch: Launch,
        seed: int,
        peers: tuple[str, ...] = (),
    ) -> None:
        """Take `peers` as the addresses for messages of all gateways, none where a counter is used."""
        self.position = position
        self.agents = [
            DiscoveryAgent(position, source, record, random.Random(f"agent {seed} {position} {n}"))
            for n in range(2)
        ]
        self.process: GatewayProcess | None = None
        self.moved_at: list[float] = []  # SIGHUP with a configuration that can be used
        self._deployment = deployment
        self._source = source
        self._record = record
        self._launch = launch
        self._seed = seed
        self._path = folder / f"n{position}.json"
        self._log_path = folder / f"n{position}.log"
        self._counters: list[CounterListener] = []
        self._peers = peers
        self._operators = ""
        self._rng = random.Random(f"gateway {seed} {position}")
        self._number = 0
        self._busy = False  # being started or stopped
        self._listening: socket.socket | None = None  # that the platform holds for its processes
        # Two processes at a time would want the address for messages.
        if not peers and position % INHERITING_EVERY == INHERITING_EVERY - 1:
            self._listening = socket.create_server((LOCALHOST, 0), backlog=BACKLOG)
            self._listening.set_inheritable(True)
        self._waiters: set[asyncio.Task[None]] = set()

    @property
    def agent(self) -> DiscoveryAgent:
        """Return the agent that the configuration names."""
        return self.agents[0]

    async def prepare(self, counter: CounterServer) -> None:
        """Start the agents, and take two addresses of the counter."""
        self._counters = [await counter.listen() for _ in self.agents]
        for agent in self.agents:
            await agent.start()

    def _configuration_text(self, known: bool) -> str:
        # The list as the gateway last had it. Older ones only where the agent tells the newest at once.
        version = self.agent.version
        if not self.agent.is_silent():
            version = max(1, version - self._rng.randrange(MAX_KNOWN_AGE))
        known_list = self._source.whole_list(version, self.position) if known else None
        addresses = Addresses(self.agent.address, self._counters[0].address, self._operators, self._peers)
        seed = f"{self._seed:08x}{self.position:04x}{self._number:04x}"
        return json.dumps(configuration(self._deployment, self.position, addresses, known_list, seed))

    def _faulty_environment(self) -> dict[str, str]:
        library = self._launch.failing_calls
        if library is None:
            return {}
        return call_shim.environment(library, self._seed, self.position, self._number)

    async def start(self, known: bool = False) -> None:
        """Start a process and wait until it is ready."""
        loop = asyncio.get_running_loop()
        self._number += 1
        self._operators = free_tcp_address()
        self._path.write_text(self._configuration_text(known))
        seen = ProcessSeen(gateway=self.position, number=self._number, started_at=loop.time())
        seen.is_upgraded = self._listening is not None
        self._record.processes.append(seen)
        descriptors = () if self._listening is None else (self._listening.fileno(),)
        process = await asyncio.create_subprocess_exec(
            *self._launch.command,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=descriptors,
            env={
                **os.environ,
                **self._faulty_environment(),
                "ROUTER_CONFIG": str(self._path),
                "TMPDIR": str(self._path.parent),
                "ROUTER_PASSED_SOCKET": "".join(map(str, descriptors)),
            },
        )
        started = GatewayProcess(seen, process, self._log_path, self._operators)
        waiter = loop.create_task(started.wait())
        self._waiters.add(waiter)
        waiter.add_done_callback(self._waiters.discard)
        if self._listening is None:
            self.process = started
        # A ping could be answered by the process before, where both have the socket.
        await started.wait_until_ready(pings=self._listening is None)
        self.process = started

    async def restart(self) -> None:
        """End the process by SIGTERM and start the next one, before it where they share the socket."""
        process = self.process
        if self._busy or process is None or not process.is_serving():
            return
        self._busy = True
        if self._listening is None:
            await self.terminate(process)
            await self.start(known=True)
        else:
            await self.start(known=True)
            await asyncio.sleep(FIRST_OF_TWO_ENDS_AFTER_S)
            await self.terminate(process)
        self._busy = False

    async def terminate(self, process: GatewayProcess) -> None:
        """Send SIGTERM, and SIGKILL when the platform would."""
        if process.seen.exited_at is not None:
            return
        loop = asyncio.get_running_loop()
        process.seen.terminated_at = loop.time()
        process.signal(signal.SIGTERM)
        loop.call_later(FRONT_NOTICES_STOP_S, setattr, process, "takes_new_connections", False)
        patience_s = min(MAX_KILL_DEADLINE_S, self._deployment.longest_deadline_s) + KILL_AFTER_DEADLINE_S
        try:
            await asyncio.wait_for(asyncio.shield(process.process.wait()), patience_s)
        except TimeoutError:
            process.seen.killed_at = loop.time()
            process.signal(signal.SIGKILL)
        await process.process.wait()

    async def kill(self) -> None:
        """End the process by SIGKILL, and start the next one."""
        process = self.process
        if self._busy or process is None or not process.is_serving():
            return
        self._busy = True
        process.seen.killed_at = asyncio.get_running_loop().time()
        process.takes_new_connections = False
        process.signal(signal.SIGKILL)
        await process.process.wait()
        await self.start(known=True)
        self._busy = False

    async def pause(self) -> None:
        """Hold the process up for a moment."""
        process = self.process
        if process is None or process.seen.exited_at is not None:
            return
        process.seen.paused.append(asyncio.get_running_loop().time())
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        process.signal(signal.SIGCONT)

    async def maintain(self, server: OrderServer, duration_s: float) -> None:
        """Take an order server out of use for a while, as operators do."""
        process = self.process
        if process is None or not process.is_serving():
            return
        if not await call_operators(process.operators, "down", server.name):
            return
        down_at = asyncio.get_running_loop().time()
        seen = MaintenanceSeen(gateway=self.position, server=server.number, down_at=down_at)
        self._record.maintenance.append(seen)
        await asyncio.sleep(duration_s)
        seen.up_at = asyncio.get_running_loop().time()
        await call_operators((self.process or process).operators, "up", server.name)

    def reload(self, torn_first: bool = False) -> None:
        """Name the other agent in the configuration, and send SIGHUP."""
        process = self.process
        if process is None or not process.is_serving():
            return
        if self._busy and (process.seen.terminated_at is None or process.seen.is_upgraded):
            return
        loop = asyncio.get_running_loop()
        old = self.agent
        old_counter = self._counters[0]
        self.agents.reverse()
        self._counters.reverse()
        self.agent.is_retired = False
        self._counters[0].is_retired = False
        text = self._configuration_text(known=False)
        if torn_first:
            self._path.write_text(text[: len(text) // 2])
            process.signal(signal.SIGHUP)
        replacement = self._path.with_suffix(".new")
        replacement.write_text(text)
        replacement.replace(self._path)
        process.signal(signal.SIGHUP)
        self.moved_at.append(loop.time())
        loop.call_later(OLD_AGENT_CLOSES_AFTER_S, self._close_old_addresses, old, old_counter)

    def reload_to_silent_agent(self) -> None:
        """Reload with an agent whose next watch says nothing."""
        self.agents[1].mutes_next_watch = True
        self.reload()

    def reload_to_lagging_agent(self, version: int) -> None:
        """Reload with an agent that has only an older list for a while."""
        self.agents[1].lag(version, AGENT_LAG_S)
        self.reload()

    def _close_old_addresses(self, agent: DiscoveryAgent, counter: CounterListener) -> None:
        if agent is not self.agent:
            agent.retire()
            counter.retire()

    async def close(self) -> None:
        """End what is left."""
        if self._listening is not None:
            self._listening.close()
        if self.process is not None:
            self.process.signal(signal.SIGKILL)
            await self.process.wait()
        for agent in self.agents:
            agent.close()
