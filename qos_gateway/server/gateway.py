"""One running gateway: builds its parts, connects them, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import logging

from ..decisions.engine import DecisionEngine
from ..types import CounterReplied
from ..units import MILLISECOND, SECOND
from .action_executor import ActionExecutor, ActionTargets
from .admin.operations import AdminOperations, AdminTargets
from .admin.server import AdminServer
from .clients.close_guard import CloseGuard
from .clients.connections import ClientConnections
from .config import Config, needs_restart
from .counter.client import CounterClient
from .discovery.client import DiscoveryClient
from .discovery.endpoint_directory import EndpointDirectory
from .discovery.endpoint_feed import FIRST_LIST_TIMEOUT_S, SOCKET_POLL_S, EndpointFeed
from .discovery.endpoint_list import EndpointUpdate
from .endpoints.connections import EndpointConnections
from .event_dispatcher import EventDispatcher
from .handover.channel import HandoverChannel
from .handover.handover import Handover, SharedParts
from .networking.clock import monotonic_unix_ns
from .networking.transient_errors import retry_transient
from .observability.activity_log import ActivityLog, ActivitySources
from .observability.invariants import InvariantMonitor
from .observability.metrics import Metrics
from .peers import Peers
from .requests.open_requests import OpenRequests
from .requests.repeat_guard import RepeatGuard
from .requests.request_attempts import RequestAttempts
from .requests.send_guard import SendGuard
from .start_guard import check_start, check_stop

log = logging.getLogger(__name__)

KILL_DELAY_NS = 700 * MILLISECOND  # the platform kills so long, and the longest deadline, after SIGTERM ...
MAX_KILL_DEADLINE_NS = 3 * SECOND  # ... of which it counts so much at most
KILL_MARGIN_NS = 100 * MILLISECOND  # before it, for answers on their way
PEER_REPORT_TIME_S = 0.4  # over the longest deadline that a stopping gateway goes on to report to its peers
RESERVED_DESCRIPTORS = 64  # neither a client's nor a endpoint's: listener, peers, discovery, files
MIN_CONNECTIONS = 16  # of clients and endpoints together, however few descriptors there are
ENDPOINT_CONNECTION_FRACTION = 0.5  # a request needs one connection on either side at most


class GatewayProcess:
    """One running gateway."""

    def __init__(self, config: Config) -> None:
        """Build all parts; nothing is opened before `start`."""
        self.config = config
        self.clock = monotonic_unix_ns()
        self.invariants = InvariantMonitor()
        self.metrics = Metrics(config.classes, self.invariants.violations)
        self.activity = ActivityLog()
        engine = DecisionEngine(config.settings, config.seed, self.clock())
        self.dispatcher = EventDispatcher(engine, self.clock)
        self.requests = OpenRequests(config.settings, self.metrics, self.clock, self.dispatcher)
        self.attempts = RequestAttempts(
            config.settings, self.clock, self.dispatcher, self.requests, self.activity, self.metrics
        )
        connections = max(MIN_CONNECTIONS, config.max_descriptors - RESERVED_DESCRIPTORS)
        max_endpoint_connections = int(connections * ENDPOINT_CONNECTION_FRACTION)
        self.endpoint_connections = self._build_endpoints(max_endpoint_connections)
        self.endpoint_directory = EndpointDirectory(self.endpoint_connections)
        repeat_guard = RepeatGuard(config.settings, self.invariants, self.endpoint_directory.find_listed)
        self.requests.bind(self.endpoint_connections, repeat_guard)
        self.attempts.bind(self.endpoint_connections, SendGuard(self.invariants), repeat_guard)
        close_guard = CloseGuard(self.invariants, self.metrics, self.requests.client_id)
        self.clients = ClientConnections(
            config, self.requests, connections - max_endpoint_connections, close_guard
        )
        self.peers = Peers(
            config.peers, config.peer_broadcast, config.settings.position, self.dispatcher.handle
        )
        self.counter = self._build_counter()
        self.executor = self._build_executor()
        self.dispatcher.bind(self.executor.execute, self.requests.fail_after_fault)
        self.endpoint_feed = EndpointFeed(self.endpoint_directory, self.dispatcher)
        self.discovery = self._build_discovery(self.endpoint_feed.apply_cached(config))
        self.handover = self._build_handover()
        self.handover_channel = self._build_handover_channel()
        self.operations = self._build_operations()
        self.admin_server = None if config.admin is None else AdminServer(config.admin, self.operations)

    def _build_endpoints(self, max_connections: int) -> EndpointConnections:
        return EndpointConnections(
            max_connections,
            self.config.connect_timeout / SECOND,
            self.config.connection_idle / SECOND,
            self.config.settings.drain_grace / SECOND,
            self.clock,
            self.attempts.on_attempt_ended,
            self.metrics,
            self.attempts.on_response_started,
            self.attempts.is_wanted,
            self.attempts.allows_send,
        )

    def _build_counter(self) -> CounterClient | None:
        config = self.config
        if config.counter is None:
            return None
        return CounterClient(
            config.counter,
            config.counter_timeout / SECOND,
            config.connect_timeout / SECOND,
            self._on_counter_reply,
        )

    def _build_executor(self) -> ActionExecutor:
        targets = ActionTargets(
            self.requests, self.attempts, self.endpoint_connections, self.peers, self.counter
        )
        probe_timeout = self.config.connect_timeout if self.config.settings.may_probe else None
        return ActionExecutor(targets, self.dispatcher, self.clock, probe_timeout)

    def _build_discovery(self, cached: EndpointUpdate | None) -> DiscoveryClient:
        config = self.config
        client = DiscoveryClient(
            config.discovery,
            config.zones,
            config.machine_classes,
            None if cached is None else cached.topology.version,
            self.endpoint_feed.on_update,
            config.settings.drain_grace / SECOND,
        )
        if cached is not None:
            client.note_known(cached)
        return client

    def _build_handover(self) -> Handover:
        parts = SharedParts(
            clients=self.clients,
            endpoint_connections=self.endpoint_connections,
            discovery=self.discovery,
            endpoint_directory=self.endpoint_directory,
        )
        return Handover(parts, self.config.settings, self.clock, self.dispatcher, self.endpoint_feed.apply)

    def _build_handover_channel(self) -> HandoverChannel | None:
        """Without an inherited listening socket no two processes serve at a time."""
        if self.config.shared_folder is None or self.config.inherited_descriptor is None:
            return None
        return HandoverChannel(self.config.shared_folder, self.config.name, self.handover)

    def _build_operations(self) -> AdminOperations:
        targets = AdminTargets(
            clients=self.clients,
            requests=self.requests,
            endpoint_directory=self.endpoint_directory,
            metrics=self.metrics,
            load_balancer=self.dispatcher.engine.load_balancer,
            handover=self.handover,
            handover_channel=self.handover_channel,
        )
        return AdminOperations(targets, self.clock)

    def _on_counter_reply(self, reply: CounterReplied) -> None:
        self.activity.counter_outcomes[reply.outcome] += 1
        self.dispatcher.handle(reply)

    # The life of the process.

    def is_ready(self) -> bool:
        """Return whether any endpoint takes requests."""
        return self.endpoint_connections.has_usable()

    async def start(self) -> None:
        """Open the sockets, the clients' last, when requests can be served.

        Raises OSError where an address cannot be listened on.
        """
        config = self.config
        if config.peer_listen is not None and config.settings.may_message:
            await retry_transient(self._listen_to_peers)
        if self.admin_server is not None:
            await self.admin_server.start()
        self.discovery.start()
        if self.counter is not None:
            self.counter.start()
        self.activity.start(ActivitySources(self.requests, self.clients, self.endpoint_connections))
        await self.endpoint_feed.wait_for_first(self.endpoint_connections)
        if self.handover_channel is not None:
            received = await self.handover_channel.request_state()
            if received is not None:
                self.handover.restore_state(received, self.endpoint_feed.is_received())
        await self._read_from_discovery()
        check_start(self.invariants, self.dispatcher.engine.started, self.discovery.has_unread_data())
        await self.clients.start()
        if self.handover_channel is not None:
            await self.handover_channel.listen()
        log.info("listening on=%s:%d", config.listen[0], self.clients.port)

    async def _read_from_discovery(self) -> None:
        """Let the loop read what discovery has sent: it binds this process from its first request on."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + FIRST_LIST_TIMEOUT_S
        while self.discovery.has_unread_data() and loop.time() < give_up_at:
            await asyncio.sleep(SOCKET_POLL_S)

    async def _listen_to_peers(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self.peers, local_addr=self.config.peer_listen)

    async def stop(self) -> None:
        """Answer all that was taken in, then close everything."""
        settings = self.config.settings
        longest_deadline = max(request_class.deadline for request_class in settings.classes)
        loop = asyncio.get_running_loop()
        report_until = loop.time() + longest_deadline / SECOND + PEER_REPORT_TIME_S
        # What comes from now on has its answer before the platform may kill this process.
        killed_after = min(longest_deadline, MAX_KILL_DEADLINE_NS) + KILL_DELAY_NS
        self.requests.latest_deadline = self.clock() + killed_after - KILL_MARGIN_NS
        await self.clients.drain()
        check_stop(self.invariants, self.requests.unanswered())
        self.activity.stop()
        await self.discovery.close()
        self.endpoint_connections.close()
        if settings.may_message and settings.gateway_count > 1:
            # The engine's timer goes on to report that nothing is used here. Peers, which the customers now
            # lean on, would hold this gateway's slices of the quotas back for one that fell silent.
            await asyncio.sleep(max(0.0, report_until - loop.time()))
        self._close_services()

    def _close_services(self) -> None:
        self.peers.close()
        if self.counter is not None:
            self.counter.close()
        if self.admin_server is not None:
            self.admin_server.close()
        if self.handover_channel is not None:
            self.handover_channel.close()

    def reconfigure(self, config: Config) -> None:
        """Follow discovery and counter to where they are now; all else stays as it is."""
        changed = needs_restart(self.config, config)
        if changed:
            log.warning("configuration_needs_restart settings=%s", ",".join(changed))
        self.discovery.change_agent(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.change_address(config.counter)
