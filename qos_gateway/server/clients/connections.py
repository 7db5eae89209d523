"""All connections of clients: accepting, limiting, evicting and draining them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from typing import cast

from ...units import SECOND
from ..config import Config
from ..networking.transient_errors import retry_transient
from ..observability.close_reasons import CloseReason
from .accept_drain import ACCEPT_DRAIN_QUIET_S, AcceptDrain, DrainState
from .buffer_budgets import BufferBudget, StreamBudget
from .close_guard import CloseGuard
from .commands import CommandExecutor, RequestHandler
from .connection import ClientConnection
from .connection_input import ConnectionContext
from .hangup_monitor import HangupMonitor
from .listener import Listener, bound_socket, inherited_socket
from .loop_stalls import LoopStalls
from .request_parser import RequestParser
from .timeouts import TimeoutChecker

SCARCE_FRACTION = 0.75  # of the limit on connections, above which they are scarce
MIN_IDLE_BEFORE_EVICTION_S = 0.1  # since a connection was opened, or last became idle
MIN_PARTIAL_BEFORE_EVICTION_S = 0.25  # since an incomplete command began


class ClientConnections:
    """The listening socket and the connections accepted on it."""

    def __init__(
        self, config: Config, requests: RequestHandler, max_connections: int, close_guard: CloseGuard
    ) -> None:
        self.context = _build_context(config, requests, max_connections, close_guard)
        self._configured_max_connections = max_connections
        self.max_connections = max_connections
        # Both in the order of the times at which they became idle, the earliest first.
        self._connections: dict[ClientConnection, None] = {}  # whose clients have sent a complete command
        self._new_connections: dict[ClientConnection, None] = {}  # whose clients have not
        self.timeout_checker = TimeoutChecker(self)
        self._address = config.listen
        self._inherited_descriptor = config.inherited_descriptor
        self._listener: Listener | None = None
        self.last_connected_at_s = 0.0
        # Past the longest deadline only large values are still written, or commands incomplete.
        longest_deadline_s = max(c.deadline for c in config.settings.classes) / SECOND
        self._max_drain_s = longest_deadline_s + ACCEPT_DRAIN_QUIET_S

    async def start(self) -> None:
        """Begin to accept connections; raise OSError where the address is in use."""
        sock = None
        if self._inherited_descriptor is not None:
            sock = inherited_socket(self._inherited_descriptor)
        if sock is None:
            self._inherited_descriptor = None
            sock = await retry_transient(self._bind)
        self._listener = Listener(sock, self._new_connection, self._has_capacity, self.context.stalls)
        self.context.stalls.start()
        self.timeout_checker.start()

    async def _bind(self) -> socket.socket:
        return bound_socket(self._address)

    def _new_connection(self, queued_since_s: float | None) -> ClientConnection:
        return ClientConnection(self, self.context, queued_since_s)

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return cast(Listener, self._listener).port

    def time(self) -> float:
        """Return the time in seconds on the event loop's clock."""
        return self.context.time()

    # Limits.

    def limit(self, max_connections: int | None, memory_fraction: float) -> None:
        """Limit connections, and buffers to a fraction, while another process uses the remainder.

        None means the configured limit.
        """
        self.max_connections = self._configured_max_connections
        if max_connections is not None:
            self.max_connections = min(self._configured_max_connections, max(1, max_connections))
        self.context.buffers.limit_to_fraction(memory_fraction)

    def are_scarce(self) -> bool:
        """Return whether most of the connections that may be open are open."""
        return self.connection_count() > SCARCE_FRACTION * self.max_connections

    def _has_capacity(self) -> bool:
        """Return whether one more connection can be accepted, after evicting another one if need be."""
        if self.connection_count() + self._connecting_count() < self.max_connections:
            return True
        client = next(self._evictable(self.time()), None)
        if client is None:
            return False
        client.close(CloseReason.EVICTED)
        self.connection_closed(client)
        return True

    def _evictable(self, now_s: float) -> Iterator[ClientConnection]:
        """Yield idle connections, then those with an incomplete command, in the order of eviction.

        Connections that were opened or became idle just now are not evicted: clients that reconnect again
        and again would otherwise leave the others no time to send a command.
        """
        clients = self.connections()
        for client in clients:
            if now_s - client.idle_since_s >= MIN_IDLE_BEFORE_EVICTION_S and client.is_idle():
                yield client
        for client in clients:
            is_old = client.partial_command_age_s(now_s) >= MIN_PARTIAL_BEFORE_EVICTION_S
            if is_old and not client.has_unread_bytes():  # they may complete the command
                yield client

    # The set of connections.

    def connections(self) -> list[ClientConnection]:
        """Return all connections, first those without a command, each group the longest idle first."""
        return [*self._new_connections, *self._connections]

    def connection_count(self) -> int:
        """Count the open connections."""
        return len(self._connections) + len(self._new_connections)

    def _connecting_count(self) -> int:
        """Count the connections that are accepted and have no protocol yet."""
        return 0 if self._listener is None else self._listener.connecting_count

    def has_connections(self) -> bool:
        """Return whether any connection is open, with a protocol or without one."""
        return bool(self.connection_count() + self._connecting_count())

    def connection_opened(self, client: ClientConnection) -> None:
        """Add a connection."""
        self.last_connected_at_s = self.time()
        self._new_connections[client] = None

    def command_received(self, client: ClientConnection) -> None:
        """Make a connection the last to be evicted: its client has sent a complete command."""
        if client in self._new_connections:
            del self._new_connections[client]
        else:
            self._connections.pop(client, None)
        self._connections[client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.context.hangup_monitor.discard(client)
        self._new_connections.pop(client, None)
        self._connections.pop(client, None)

    # Shutdown.

    def is_listening(self) -> bool:
        """Return whether the listening socket is open."""
        return self._listener is not None and self._listener.is_open

    def is_accepting(self) -> bool:
        """Return whether clients that connect are served."""
        return self.is_listening() and not self.context.drain.is_draining

    def has_waiting_connection(self) -> bool:
        """Return whether a connection waits to be accepted."""
        return self._listener is not None and self._listener.has_waiting()

    def stop_listening(self) -> None:
        """Close the listening socket."""
        if self._listener is not None:
            self._listener.close()

    async def drain(self) -> None:
        """Accept until new connections cease, answer all requests, and close what is idle."""
        owns_socket = self._inherited_descriptor is None
        self.last_connected_at_s = self.time()
        await AcceptDrain(self, self.context.drain, owns_socket, self._max_drain_s).run()
        self.abort()

    def abort(self) -> None:
        """Close the listening socket and all connections at once."""
        self.timeout_checker.stop()
        self.context.hangup_monitor.close()
        self.context.stalls.close()
        self.stop_listening()
        for client in self.connections():
            client.abort(CloseReason.SHUTDOWN)


def _build_context(
    config: Config, requests: RequestHandler, max_connections: int, close_guard: CloseGuard
) -> ConnectionContext:
    """Build what the connections share."""
    loop = asyncio.get_running_loop()
    buffers = BufferBudget(config.memory_bytes, max_connections)
    return ConnectionContext(
        time=time.monotonic,
        stalls=LoopStalls(),
        call_soon=loop.call_soon,
        requests=requests,
        commands=CommandExecutor(RequestParser(config), requests),
        buffers=buffers,
        streams=StreamBudget(buffers),
        close_guard=close_guard,
        hangup_monitor=HangupMonitor(),
        drain=DrainState(),
    )
