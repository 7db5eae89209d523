"""The life of one gateway: its start, its graceful shutdown, and the reload of its configuration."""

from __future__ import annotations

import asyncio
import logging

from ..units import MILLISECOND, SECOND
from .config import Config, keys_requiring_restart
from .discovery.endpoint_feed import FIRST_LIST_TIMEOUT_S, SOCKET_POLL_INTERVAL_S
from .memory.process_memory import ProcessMemory
from .observability.activity_log import ActivityGauges
from .start_guard import check_start, check_stop
from .wiring import build_parts

log = logging.getLogger(__name__)

# The platform kills a process this long after SIGTERM, and the longest deadline of a request class later.
KILL_DELAY_NS = 700 * MILLISECOND
MAX_KILL_DEADLINE_NS = 3 * SECOND  # the most that the platform adds for the longest deadline
KILL_MARGIN_NS = 100 * MILLISECOND  # before the kill, for responses in transit
PEER_REPORT_TIME_S = 0.4  # after the longest deadline, during which a stopping gateway reports to peers


class GatewayProcess:
    """One running gateway."""

    def __init__(self, config: Config, process_memory: ProcessMemory | None = None) -> None:
        """Build all parts; nothing is opened before `start`.

        Without `process_memory` the memory that peers cause is counted, and not compared with the process's.
        """
        self.config = config
        self.parts = build_parts(config, process_memory)

    def is_ready(self) -> bool:
        """Return whether any endpoint takes requests."""
        return self.parts.endpoint_connections.has_usable_endpoint()

    async def start(self) -> None:
        """Open all sockets, the clients' last, when requests can be served.

        Raises OSError if an address cannot be listened on.
        """
        parts, services = self.parts, self.parts.services
        if self.config.peer_listen is not None and self.config.settings.may_message:
            is_upgrade = self.config.inherited_descriptor is not None
            await parts.peers.listen(self.config.peer_listen, may_be_in_use=is_upgrade)
        if services.admin_server is not None:
            await services.admin_server.start()
        parts.discovery.start()
        if parts.counter is not None:
            parts.counter.start()
        parts.observability.activity.start(self._activity_gauges())
        await parts.endpoint_feed.wait_for_first_list(parts.endpoint_connections)
        if services.handover_channel is not None:
            received = await services.handover_channel.request_state()
            if received is not None:
                services.handover.restore_state(received, parts.endpoint_feed.has_received_list())
        await self._read_from_discovery()
        invariants, engine = parts.observability.invariants, parts.dispatcher.engine
        check_start(invariants, engine.started, parts.discovery.has_unread_data())
        if parts.memory_monitor is not None:
            parts.memory_monitor.start()
        await parts.clients.start()
        if services.handover_channel is not None:
            await services.handover_channel.listen()
        log.info("listening on=%s:%d", self.config.listen[0], parts.clients.port)

    def _activity_gauges(self) -> ActivityGauges:
        clients, connections = self.parts.clients, self.parts.endpoint_connections
        return ActivityGauges(
            open_requests=self.parts.requests.__len__,
            client_connections=clients.connection_count,
            endpoint_connections=lambda: connections.open_connections,
            idle_endpoint_connections=connections.idle_count,
            memory=self._memory_summary,
        )

    def _memory_summary(self) -> str:
        """Return what holds how much memory, for the log."""
        parts = self.parts
        held = ",".join(f"{use.value}:{size}" for use, size in parts.memory.held.items() if size)
        resident = 0 if parts.memory_monitor is None else parts.memory_monitor.resident_bytes()
        return (
            f"memory_resident={resident} memory_capacity={parts.memory.capacity_bytes} "
            f"memory_waiting={parts.memory.waiting_count()} memory_held={held or 'none'}"
        )

    async def _read_from_discovery(self) -> None:
        """Wait until the event loop has read what discovery sent: it applies from the first request on."""
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + FIRST_LIST_TIMEOUT_S
        while self.parts.discovery.has_unread_data() and loop.time() < give_up_at_s:
            await asyncio.sleep(SOCKET_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Answer all requests that were received, then close everything."""
        parts, settings = self.parts, self.config.settings
        longest_deadline_ns = max(request_class.deadline for request_class in settings.classes)
        loop = asyncio.get_running_loop()
        report_until_s = loop.time() + longest_deadline_ns / SECOND + PEER_REPORT_TIME_S
        # Further requests are answered before the platform may kill this process.
        time_left_ns = min(longest_deadline_ns, MAX_KILL_DEADLINE_NS) + KILL_DELAY_NS - KILL_MARGIN_NS
        parts.deadlines.latest_deadline = parts.clock() + time_left_ns
        await parts.clients.drain(parts.clients.time() + time_left_ns / SECOND)
        check_stop(parts.observability.invariants, parts.requests.unanswered_count())
        parts.observability.activity.stop()
        await parts.discovery.close()
        parts.endpoint_connections.close()
        if settings.may_message and settings.gateway_count > 1:
            # The engine's timer still reports that this gateway uses no quota. Peers would otherwise reserve
            # its slices, as for a gateway without reports, while they serve its customers.
            await asyncio.sleep(max(0.0, report_until_s - loop.time()))
        await self._close_services()

    async def _close_services(self) -> None:
        parts, services = self.parts, self.parts.services
        parts.peers.close()
        if parts.memory_monitor is not None:
            parts.memory_monitor.close()
        if parts.counter is not None:
            parts.counter.close()
        if services.admin_server is not None:
            await services.admin_server.stop()
        if services.handover_channel is not None:
            await services.handover_channel.close()

    def reconfigure(self, config: Config) -> None:
        """Move to the addresses of discovery and counter in `config`; all other settings need a restart."""
        changed = keys_requiring_restart(self.config, config)
        if changed:
            log.warning("configuration_needs_restart settings=%s", ",".join(changed))
        self.parts.discovery.change_agent(config.discovery)
        if self.parts.counter is not None and config.counter is not None:
            self.parts.counter.change_address(config.counter)
