"""One gateway: the life of its processes, and its reloads."""

from __future__ import annotations

import asyncio
import signal

from soak.addresses import free_tcp_address
from soak.background_tasks import BackgroundTasks
from soak.counter_server import CounterServer
from soak.discovery_agents import DiscoveryAgent
from soak.gateways.configuration_file import ConfigurationFile
from soak.gateways.launch import GatewaySetup, ProcessLauncher
from soak.gateways.process import GatewayProcess
from soak.observations import MaintenanceSeen
from soak.operators import call_operators
from soak.order_servers import OrderServer

SHARED_SOCKET_EVERY = 3  # gateways
TERMINATION_GRACE_S = 0.7  # between the longest deadline after SIGTERM and SIGKILL
MAX_GRACE_DEADLINE_S = 3.0  # the longest deadline that the platform waits for
PAUSE_S = 0.14
SIGNAL_INTERVAL_S = 0.12  # within a series
SIGNALS_AFTER_TERMINATION = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
RELOADS_IN_SERIES = 3
OVERLAP_S = 0.2  # of an upgrade, while both processes serve
OLD_AGENT_CLOSES_AFTER_S = 1.5
AGENT_LAG_S = 1.5
BALANCER_DELAY_S = 0.3  # in which new connections still come after SIGTERM


class Gateway:
    """One gateway; `moved_at` has the times of the SIGHUPs with a new, valid configuration."""

    def __init__(self, position: int, setup: GatewaySetup) -> None:
        self.position = position
        self.process: GatewayProcess | None = None
        self.moved_at: list[float] = []
        self._configuration = ConfigurationFile(setup, position)
        shares_socket = position % SHARED_SOCKET_EVERY == SHARED_SOCKET_EVERY - 1
        self._launcher = ProcessLauncher(setup, position, shares_socket)
        self._record = setup.record
        self._longest_deadline_s = setup.deployment.longest_deadline_s
        self._process_number = 0
        self._is_replacing_process = False
        self._tasks = BackgroundTasks()

    @property
    def agents(self) -> list[DiscoveryAgent]:
        """Return both agents, that of the configuration first."""
        return self._configuration.agents

    @property
    def agent(self) -> DiscoveryAgent:
        """Return the agent that the configuration names."""
        return self._configuration.agent

    async def prepare(self, counter: CounterServer) -> None:
        """Start the agents, and two addresses of the counter."""
        await self._configuration.listen(counter)

    # The life of its processes.

    async def start(self, has_cached_list: bool = False) -> None:
        """Start a process, with a cached list or without, and wait until it is ready."""
        self._process_number += 1
        admin_address = free_tcp_address()
        self._configuration.write_for_start(self._process_number, admin_address, has_cached_list)
        started = await self._launcher.start(self._process_number, self._configuration.path, admin_address)
        self._tasks.spawn(started.record_exit())
        has_shared_socket = self._launcher.has_shared_socket
        if not has_shared_socket:
            self.process = started
        # With a shared socket the process before could answer a ping.
        await started.wait_until_ready(pings=not has_shared_socket)
        self.process = started

    async def restart(self) -> None:
        """End the process by SIGTERM and start the next one, before it where they share the socket."""
        process = self.process
        if self._is_replacing_process or process is None or not process.is_serving():
            return
        self._is_replacing_process = True
        if self._launcher.has_shared_socket:
            await self.start(has_cached_list=True)
            await asyncio.sleep(OVERLAP_S)
            await self.terminate(process)
        else:
            await self.terminate(process)
            await self.start(has_cached_list=True)
        self._is_replacing_process = False

    async def terminate(self, process: GatewayProcess) -> None:
        """Send SIGTERM, and SIGKILL at the time at which the platform does."""
        if process.seen.exited_at is not None:
            return
        loop = asyncio.get_running_loop()
        process.seen.terminated_at = loop.time()
        process.signal(signal.SIGTERM)
        loop.call_later(BALANCER_DELAY_S, process.stop_new_connections)
        grace_s = min(MAX_GRACE_DEADLINE_S, self._longest_deadline_s) + TERMINATION_GRACE_S
        try:
            await asyncio.wait_for(asyncio.shield(process.wait_for_exit()), grace_s)
        except TimeoutError:
            process.seen.killed_at = loop.time()
            process.signal(signal.SIGKILL)
        await process.wait_for_exit()

    async def restart_with_more_signals(self) -> None:
        """Restart, and send the process further signals after its SIGTERM."""
        process = self.process
        if process is None:
            return
        restart = asyncio.ensure_future(self.restart())
        while process.seen.terminated_at is None and not restart.done():
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        if process.seen.terminated_at is not None:  # else a restart was going on already
            for number in SIGNALS_AFTER_TERMINATION:
                process.signal(number)
                await asyncio.sleep(SIGNAL_INTERVAL_S)
        await restart

    async def kill(self) -> None:
        """End the process by SIGKILL, and start the next one."""
        process = self.process
        if self._is_replacing_process or process is None or not process.is_serving():
            return
        self._is_replacing_process = True
        process.seen.killed_at = asyncio.get_running_loop().time()
        process.stop_new_connections()
        process.signal(signal.SIGKILL)
        await process.wait_for_exit()
        await self.start(has_cached_list=True)
        self._is_replacing_process = False

    async def pause(self) -> None:
        """Stop the process by SIGSTOP for `PAUSE_S`."""
        process = self.process
        if process is None or process.seen.exited_at is not None:
            return
        process.seen.paused.append(asyncio.get_running_loop().time())
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        process.signal(signal.SIGCONT)

    async def close(self) -> None:
        """Kill the process if it still runs, and close the agents."""
        self._launcher.close()
        if self.process is not None:
            self.process.signal(signal.SIGKILL)
            await self.process.record_exit()
        self._configuration.close()

    # What operators do.

    async def maintain(self, server: OrderServer, duration_s: float) -> None:
        """Disable an order server at this gateway for a while, as operators do."""
        process = self.process
        if process is None or not process.is_serving():
            return
        if not await call_operators(process.admin_address, "down", server.name):
            return
        loop = asyncio.get_running_loop()
        seen = MaintenanceSeen(gateway=self.position, server=server.number, down_at=loop.time())
        self._record.maintenance.append(seen)
        await asyncio.sleep(duration_s)
        seen.up_at = loop.time()
        await call_operators((self.process or process).admin_address, "up", server.name)

    # Reloads.

    def reload(self, torn_first: bool = False) -> None:
        """Name the other agent in the configuration, and send SIGHUP.

        With `torn_first` the process first gets a SIGHUP while the file is truncated.
        """
        process = self.process
        if process is None or not process.is_serving():
            return
        if self._is_replacing_process and (process.seen.terminated_at is None or process.seen.is_upgraded):
            return
        loop = asyncio.get_running_loop()
        old_agent = self.agent
        text = self._configuration.swap_targets()
        if torn_first:
            self._configuration.write_truncated(text)
            process.signal(signal.SIGHUP)
        self._configuration.replace(text)
        process.signal(signal.SIGHUP)
        self.moved_at.append(loop.time())
        loop.call_later(OLD_AGENT_CLOSES_AFTER_S, self._configuration.retire_unless_named, old_agent)

    async def reload_in_series(self) -> None:
        """Reload several times in quick succession."""
        for _ in range(RELOADS_IN_SERIES):
            self.reload()
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    def reload_to_silent_agent(self) -> None:
        """Reload with an agent that sends nothing on its next watch."""
        self.agents[1].mute_next_watch()
        self.reload()

    def reload_to_lagging_agent(self, version: int) -> None:
        """Reload with an agent that has an older version of the list for a while."""
        self.agents[1].lag(version, AGENT_LAG_S)
        self.reload()
