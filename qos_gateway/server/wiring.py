"""Builds the parts of a gateway, in an order in which each part takes the earlier ones.

The event dispatcher is the one exception: the executor of the engine's actions is set last.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from ..decisions.engine import DecisionEngine
from ..types import CounterReplied
from ..units import SECOND
from .action_executor import ActionExecutor, ActionTargets
from .admin.operations import AdminDependencies, AdminOperations
from .clients.close_guard import CloseGuard
from .clients.connections import ClientConnections
from .config import Config
from .discovery.client import DiscoveryClient, DiscoveryOptions
from .discovery.endpoint_directory import EndpointDirectory
from .discovery.endpoint_feed import EndpointFeed
from .endpoints.connections import EndpointConnections, EndpointLimits
from .event_dispatcher import EventDispatcher
from .handover.handover import Handover, SharedComponents
from .memory.budget import ConnectionLimits, MemoryBudget
from .memory.limits import NOMINAL_AT_REST_BYTES, MemoryLimits
from .memory.monitor import MemoryMonitor
from .memory.process_memory import ProcessMemory
from .networking.clock import make_monotonic_unix_clock
from .observability.activity_log import ActivityLog
from .observability.invariants import InvariantMonitor
from .observability.metrics import Metrics
from .peers import Peers
from .requests.attempt_results import AttemptResults
from .requests.client_requests import ClientRequests
from .requests.executed_requests import ExecutedRequests
from .requests.final_actions import FinalActions
from .requests.open_requests import OpenRequests
from .requests.repeat_guard import RepeatGuard
from .requests.request_attempts import RequestAttempts
from .requests.request_context import RequestContext
from .requests.request_deadlines import RequestDeadlines
from .requests.send_guard import SendGuard

if TYPE_CHECKING:
    from .admin.server import AdminServer
    from .counter.client import CounterClient
    from .handover.channel import HandoverChannel

RESERVED_DESCRIPTORS = 64  # for listeners, peers, discovery, counter, operators and files
MIN_CONNECTIONS = 16  # of clients and endpoints together
ENDPOINT_CONNECTION_FRACTION = 0.5  # a request needs at most one connection on either side


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class Observability:
    """What the parts report to."""

    invariants: InvariantMonitor
    metrics: Metrics
    activity: ActivityLog


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class Services:
    """The parts for operators and for the other process of an upgrade."""

    handover: Handover
    handover_channel: HandoverChannel | None  # None where no other process can take over
    operations: AdminOperations
    admin_server: AdminServer | None


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class GatewayParts:
    """The parts of one gateway, connected to each other; nothing is opened yet."""

    clock: Callable[[], int]  # ns
    memory: MemoryBudget
    memory_monitor: MemoryMonitor | None  # None where the memory of the process is not measured
    observability: Observability
    dispatcher: EventDispatcher
    executor: ActionExecutor
    requests: OpenRequests
    deadlines: RequestDeadlines
    endpoint_connections: EndpointConnections
    endpoint_directory: EndpointDirectory
    endpoint_feed: EndpointFeed
    clients: ClientConnections
    peers: Peers
    counter: CounterClient | None
    discovery: DiscoveryClient
    services: Services


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class _Core:
    """The parts that need no connections; most other parts take some of them."""

    config: Config
    memory_limits: MemoryLimits
    memory: MemoryBudget
    observability: Observability
    context: RequestContext


def build_parts(config: Config, process_memory: ProcessMemory | None) -> GatewayParts:
    """Build all parts of a gateway, and apply the endpoint list of the configuration.

    Without `process_memory` the memory at rest is a nominal one. A running event loop is needed.
    """
    core = _build_core(config, process_memory)
    clock, dispatcher = core.context.clock, core.context.dispatcher
    limits = _connection_limits(config, core.memory_limits)
    core.memory.set_connection_limits(limits)
    connections = _build_endpoint_connections(core, limits.endpoints)
    directory = EndpointDirectory(connections)
    deadlines = RequestDeadlines(core.context, connections)
    clients = _build_clients(core, deadlines, connections, limits.clients)
    peers = Peers(config.peers, config.peer_broadcast, config.settings.position, dispatcher.handle)
    counter = _build_counter(core)
    executor = _build_executor(core, connections, directory, peers, counter)
    feed = EndpointFeed(directory, dispatcher)
    discovery = _build_discovery(config, feed)
    handover = Handover(
        SharedComponents(
            clients=clients,
            endpoint_connections=connections,
            discovery=discovery,
            endpoint_directory=directory,
        ),
        config.settings,
        clock,
        dispatcher,
        feed.apply,
    )
    memory_monitor = _build_memory_monitor(core, process_memory)
    return GatewayParts(
        clock=clock,
        memory=core.memory,
        memory_monitor=memory_monitor,
        observability=core.observability,
        dispatcher=dispatcher,
        executor=executor,
        requests=core.context.requests,
        deadlines=deadlines,
        endpoint_connections=connections,
        endpoint_directory=directory,
        endpoint_feed=feed,
        clients=clients,
        peers=peers,
        counter=counter,
        discovery=discovery,
        services=_build_services(core, clients, directory, handover, memory_monitor),
    )


def _connection_limits(config: Config, memory: MemoryLimits) -> ConnectionLimits:
    """Divide the descriptors between clients and endpoints, as far as there is memory for both."""
    total = max(MIN_CONNECTIONS, config.max_descriptors - RESERVED_DESCRIPTORS)
    endpoints = int(total * ENDPOINT_CONNECTION_FRACTION)
    return ConnectionLimits(
        clients=min(total - endpoints, memory.max_client_connections),
        endpoints=min(endpoints, memory.max_endpoint_connections),
    )


def _build_memory_monitor(core: _Core, process_memory: ProcessMemory | None) -> MemoryMonitor | None:
    if process_memory is None:
        return None
    accounts = core.context.dispatcher.engine.quota.accounts
    return MemoryMonitor(core.memory, core.memory_limits, process_memory, accounts.__len__)


def _build_core(config: Config, process_memory: ProcessMemory | None) -> _Core:
    at_rest_bytes = NOMINAL_AT_REST_BYTES if process_memory is None else process_memory.resident_bytes()
    limits = MemoryLimits(limit_bytes=config.memory_bytes, at_rest_bytes=at_rest_bytes)
    settings = replace(config.settings, max_customers=limits.max_customers)
    memory = MemoryBudget(limits.capacity_bytes, asyncio.get_running_loop().call_soon)
    clock = make_monotonic_unix_clock()
    invariants = InvariantMonitor()
    metrics = Metrics(config.classes, invariants.violations)
    engine = DecisionEngine(settings, config.seed, clock())
    context = RequestContext(
        settings=settings,
        clock=clock,
        requests=OpenRequests(metrics, ExecutedRequests(settings.classes, limits.max_remembered_ids), clock),
        dispatcher=EventDispatcher(engine, clock),
        metrics=metrics,
    )
    observability = Observability(invariants=invariants, metrics=metrics, activity=ActivityLog())
    return _Core(
        config=config, memory_limits=limits, memory=memory, observability=observability, context=context
    )


def _build_endpoint_connections(core: _Core, max_connections: int) -> EndpointConnections:
    config, observability = core.config, core.observability
    results = AttemptResults(core.context, SendGuard(observability.invariants), observability.activity)
    limits = EndpointLimits(
        max_connections=max_connections,
        connect_timeout_s=config.connect_timeout / SECOND,
        max_idle_s=config.connection_idle / SECOND,
        drain_grace_s=config.settings.drain_grace / SECOND,
    )
    return EndpointConnections(limits, core.context.clock, results, observability.metrics, core.memory)


def _build_clients(
    core: _Core, deadlines: RequestDeadlines, connections: EndpointConnections, max_connections: int
) -> ClientConnections:
    context = core.context
    client_requests = ClientRequests(context, deadlines, connections, core.memory)
    close_guard = CloseGuard(core.observability.invariants, context.metrics, context.requests.client_id)
    return ClientConnections(core.config, client_requests, max_connections, close_guard, core.memory)


def _build_counter(core: _Core) -> CounterClient | None:
    config = core.config
    if config.counter is None:
        return None
    from .counter.client import CounterClient  # loaded only where a counter is configured

    outcomes = core.observability.activity.counter_outcomes
    handle = core.context.dispatcher.handle

    def on_reply(reply: CounterReplied) -> None:
        outcomes[reply.outcome] += 1
        handle(reply)

    return CounterClient(
        config.counter, config.counter_timeout / SECOND, config.connect_timeout / SECOND, on_reply
    )


def _build_executor(
    core: _Core,
    connections: EndpointConnections,
    directory: EndpointDirectory,
    peers: Peers,
    counter: CounterClient | None,
) -> ActionExecutor:
    """Build the executor of the engine's actions, and set it in the event dispatcher."""
    context, settings = core.context, core.config.settings
    repeat_guard = RepeatGuard(settings, core.observability.invariants, directory.find_listed)
    final_actions = FinalActions(context, repeat_guard)
    targets = ActionTargets(
        requests=final_actions,
        attempts=RequestAttempts(context, connections, repeat_guard),
        endpoint_connections=connections,
        peers=peers,
        counter=counter,
    )
    probe_timeout = core.config.connect_timeout if settings.may_probe else None
    executor = ActionExecutor(targets, context.dispatcher, context.clock, probe_timeout)
    context.dispatcher.bind(executor.execute, final_actions.fail_after_fault)
    return executor


def _build_discovery(config: Config, feed: EndpointFeed) -> DiscoveryClient:
    cached = feed.apply_cached(config)
    options = DiscoveryOptions(
        agent=config.discovery,
        zones=config.zones,
        machine_classes=config.machine_classes,
        known_version=None if cached is None else cached.topology.version,
        drain_grace_s=config.settings.drain_grace / SECOND,
    )
    discovery = DiscoveryClient(options, feed.on_update)
    if cached is not None:
        discovery.record_cached_list(cached)
    return discovery


def _build_services(
    core: _Core,
    clients: ClientConnections,
    directory: EndpointDirectory,
    handover: Handover,
    memory_monitor: MemoryMonitor | None,
) -> Services:
    config = core.config
    handover_channel = _build_handover_channel(config, handover)
    dependencies = AdminDependencies(
        clients=clients,
        requests=core.context.requests,
        endpoint_directory=directory,
        metrics=core.observability.metrics,
        memory=core.memory,
        memory_monitor=memory_monitor,
        load_balancer=core.context.dispatcher.engine.load_balancer,
        handover=handover,
        other_process=handover_channel,
    )
    operations = AdminOperations(dependencies, core.context.clock)
    return Services(
        handover=handover,
        handover_channel=handover_channel,
        operations=operations,
        admin_server=_build_admin_server(config, operations),
    )


def _build_admin_server(config: Config, operations: AdminOperations) -> AdminServer | None:
    if config.admin is None:
        return None
    from .admin.server import AdminServer  # loaded only where the admin API has an address

    return AdminServer(config.admin, operations)


def _build_handover_channel(config: Config, handover: Handover) -> HandoverChannel | None:
    """Build the channel if the listening socket is inherited: else no two processes serve at a time."""
    if config.shared_folder is None or config.inherited_descriptor is None:
        return None
    from .handover.channel import HandoverChannel  # its modules are loaded by upgrades alone

    return HandoverChannel(config.shared_folder, config.name, handover)
