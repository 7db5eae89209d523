"""The set of client connections: accepting, limiting, evicting and draining them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from typing import cast

from ...units import SECOND
from ..config import Config
from ..memory.budget import MemoryBudget
from ..memory.limits import CLIENT_CONNECTION_BYTES
from ..networking.read_size import READ_BUFFER_BYTES
from ..networking.transient_errors import retry_transient
from ..observability.close_reasons import CloseReason
from ..observability.memory_uses import MemoryUse
from .accept_drain import ACCEPT_QUIET_PERIOD_S, ConnectionDrainer, DrainState
from .buffer_budgets import ActiveStreams, BufferBudget
from .close_guard import CloseGuard
from .commands import CommandExecutor, RequestHandler
from .connection import ClientConnection
from .connection_closer import ConnectionCloser
from .connection_input import ConnectionContext
from .hangup_monitor import HangupMonitor
from .input_scheduler import InputScheduler
from .listener import Listener, bound_socket, inherited_socket
from .loop_stalls import LoopStallDetector
from .request_parser import RequestParser
from .timeouts import TimeoutChecker

NEAR_LIMIT_FRACTION = 0.75  # above this fraction of the limit, idle connections are closed sooner
# A connection is not evicted within this time after it was opened or became idle.
MIN_IDLE_BEFORE_EVICTION_S = 0.1
# A connection with an incomplete command is not evicted within this time after its client's last bytes. It is
# short, as clients with complete requests wait behind it; a client that writes slowly loses no request, as
# none is taken before its last byte.
MIN_STOPPED_BEFORE_EVICTION_S = 0.05


class ClientConnections:
    """The listening socket and the connections accepted on it."""

    def __init__(
        self,
        config: Config,
        requests: RequestHandler,
        max_connections: int,
        close_guard: CloseGuard,
        memory: MemoryBudget,
    ) -> None:
        self.context = _build_context(config, requests, close_guard, memory)
        self._memory = memory
        self._configured_max_connections = max_connections
        self.max_connections = max_connections
        # Connections are new until a complete command is received. Both groups are in eviction order, the
        # least recently active connection first.
        self._connections: dict[ClientConnection, None] = {}
        self._new_connections: dict[ClientConnection, None] = {}
        self.timeout_checker = TimeoutChecker(self)
        self._address = config.listen
        self._inherited_descriptor = config.inherited_descriptor
        self._listener: Listener | None = None
        self.last_connected_at_s = 0.0
        # After the longest deadline only large values being written and incomplete commands remain.
        longest_deadline_s = max(c.deadline for c in config.settings.classes) / SECOND
        self._max_drain_s = longest_deadline_s + ACCEPT_QUIET_PERIOD_S

    async def start(self) -> None:
        """Start accepting connections; raise OSError if the address is in use."""
        sock = None
        if self._inherited_descriptor is not None:
            sock = inherited_socket(self._inherited_descriptor)
        if sock is None:
            self._inherited_descriptor = None
            sock = await retry_transient(self._bind)
        self._listener = Listener(
            sock,
            self._new_connection,
            self._has_capacity,
            self.context.stall_detector,
            self._count_queue_timeout,
        )
        self.context.stall_detector.start()
        self.timeout_checker.start()

    async def _bind(self) -> socket.socket:
        return bound_socket(self._address)

    def _new_connection(self, queued_since_s: float | None) -> ClientConnection:
        return ClientConnection(self, self.context, queued_since_s)

    def _count_queue_timeout(self) -> None:
        self.context.close_guard.connection_ended(CloseReason.QUEUE_TIMEOUT)

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return cast(Listener, self._listener).port

    def time(self) -> float:
        """Return the time in seconds on the event loop's clock."""
        return self.context.time()

    # Limits.

    def limit(self, max_connections: int | None, memory_fraction: float) -> None:
        """Limit connections, and buffers to a fraction, while another process uses the rest.

        `max_connections` of None restores the configured limit.
        """
        self.max_connections = self._configured_max_connections
        if max_connections is not None:
            self.max_connections = min(self._configured_max_connections, max(1, max_connections))
        self.context.buffers.limit_to_fraction(memory_fraction)

    def is_near_limit(self) -> bool:
        """Return whether the number of connections is close to its limit."""
        return self.connection_count() > NEAR_LIMIT_FRACTION * self.max_connections

    def memory_to_reclaim(self) -> int:
        """Return how many bytes of memory the first requests of connections wait for."""
        return self._memory.waiting_bytes() if self._memory.is_short else 0

    def _has_capacity(self) -> bool:
        """Return whether one more connection can be accepted, evicting another one if necessary."""
        if self.connection_count() + self._connecting_count() < self.max_connections:
            return True
        client = next(self._evictable(self.time()), None)
        if client is None:
            return False
        client.evict()
        self.connection_closed(client)
        return True

    def _evictable(self, now_s: float) -> Iterator[ClientConnection]:
        """Yield connections in the order of eviction: ended, idle, and those with an incomplete command.

        Clients that have not received all replies come last and only if they do not read, as the close loses
        what has not arrived.
        Connections that were opened or became idle only just now are exempt. Otherwise clients that reconnect
        in a loop would evict others before these can send a command.
        """
        clients = self.connections()
        for client in clients:
            if client.is_half_closed and client.is_delivered():
                yield client
        for client in clients:
            is_old = now_s - client.idle_since_s >= MIN_IDLE_BEFORE_EVICTION_S
            if is_old and client.is_idle() and client.is_delivered():
                yield client
        for client in clients:
            is_old = client.partial_command_pause_s(now_s) >= MIN_STOPPED_BEFORE_EVICTION_S
            # Unread bytes may complete the command, unless there is no memory to read them.
            may_read_on = client.has_unread_bytes() and not client.memory_wait_s(now_s)
            if is_old and not may_read_on and not client.unacknowledged_bytes():
                yield client
        for client in clients:
            is_old = now_s - client.idle_since_s >= MIN_IDLE_BEFORE_EVICTION_S
            has_stopped = client.partial_command_pause_s(now_s) >= MIN_STOPPED_BEFORE_EVICTION_S
            may_evict = client.is_half_closed or client.is_idle() or has_stopped
            if is_old and may_evict and not client.is_reading_replies(now_s):
                yield client

    # The set of connections.

    def connections(self) -> list[ClientConnection]:
        """Return all connections: first those without a command, each group least recently active first."""
        return [*self._new_connections, *self._connections]

    def connection_count(self) -> int:
        """Count the open connections."""
        return len(self._connections) + len(self._new_connections)

    def _connecting_count(self) -> int:
        """Count the accepted connections whose asyncio protocol is not set up yet."""
        return 0 if self._listener is None else self._listener.connecting_count

    def has_connections(self) -> bool:
        """Return whether any connection is open or being set up."""
        return bool(self.connection_count() + self._connecting_count())

    def connection_opened(self, client: ClientConnection) -> None:
        """Add a connection."""
        self.last_connected_at_s = self.time()
        self._new_connections[client] = None
        self._memory.add(MemoryUse.CLIENT_CONNECTIONS, CLIENT_CONNECTION_BYTES)

    def command_received(self, client: ClientConnection) -> None:
        """Make a connection the last to be evicted, as its client has sent a complete command."""
        if client in self._new_connections:
            del self._new_connections[client]
        else:
            self._connections.pop(client, None)
        self._connections[client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """Remove a closed or evicted connection."""
        self.context.hangup_monitor.discard(client)
        if client not in self._new_connections and client not in self._connections:
            return
        self._new_connections.pop(client, None)
        self._connections.pop(client, None)
        self._memory.release(MemoryUse.CLIENT_CONNECTIONS, CLIENT_CONNECTION_BYTES)

    # Shutdown.

    def is_listening(self) -> bool:
        """Return whether the listening socket is open."""
        return self._listener is not None and self._listener.is_open

    def is_accepting(self) -> bool:
        """Return whether the gateway is listening and not shutting down."""
        return self.is_listening() and not self.context.drain.is_draining

    def has_queued_connection(self) -> bool:
        """Return whether the accept queue holds a connection."""
        return self._listener is not None and self._listener.has_queued_connection()

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    async def drain(self, deadline_s: float) -> None:
        """Accept until no new connections arrive, answer all requests, and end idle connections.

        From `deadline_s` on, which is on the event loop's clock, clients that read no replies are not waited
        for.
        """
        self.context.drain.deadline_s = deadline_s
        owns_socket = self._inherited_descriptor is None
        self.last_connected_at_s = self.time()
        await ConnectionDrainer(self, self.context.drain, owns_socket, self._max_drain_s).run()
        self.abort()

    def abort(self) -> None:
        """Close the listening socket and all connections at once."""
        self.timeout_checker.stop()
        self.context.hangup_monitor.close()
        self.context.closer.stop()
        self.context.stall_detector.close()
        self.stop_listening()
        for client in self.connections():
            client.abort(CloseReason.SHUTDOWN)


def _build_context(
    config: Config, requests: RequestHandler, close_guard: CloseGuard, memory: MemoryBudget
) -> ConnectionContext:
    """Build the context that all connections share."""
    loop = asyncio.get_running_loop()
    drain = DrainState()
    return ConnectionContext(
        time=time.monotonic,
        stall_detector=LoopStallDetector(),
        read_buffer=memoryview(bytearray(READ_BUFFER_BYTES)),
        scheduler=InputScheduler(loop.call_soon),
        requests=requests,
        commands=CommandExecutor(RequestParser(config), requests),
        memory=memory,
        buffers=BufferBudget(memory),
        streams=ActiveStreams(),
        close_guard=close_guard,
        closer=ConnectionCloser(time.monotonic, drain),
        hangup_monitor=HangupMonitor(),
        drain=drain,
    )
