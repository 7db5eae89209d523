"""All connections of clients: accepting them, their shared limits, and their end."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Protocol, cast

from ...units import SECOND
from ..config import Config
from ..networking.transient_errors import retry_transient
from ..observability.close_reasons import CloseReason
from .accept_drain import ACCEPT_DRAIN_QUIET_S, AcceptDrain
from .close_guard import CloseGuard
from .connection import ClientConnection
from .hangup_monitor import HangupMonitor
from .listener import Listener, bound_socket, inherited_socket
from .pending_replies import PendingReply
from .request_parser import ClientRequest, RequestParser
from .timeouts import enforce_timeouts

CHECK_INTERVAL_S = 0.25  # between two looks at all connections for those past their time-outs
SCARCE_FRACTION = 0.75  # of the limit on connections, above which they are scarce
MIN_IDLE_BEFORE_EVICTION_S = 0.1  # idle, or without a first command, before a connection gives way to another
MIN_PARTIAL_BEFORE_EVICTION_S = 0.25  # the same in the middle of a command, where none is idle
MIN_WRITE_BUFFER_BYTES = 96 << 10  # for each connection, of what its client has not taken: over a whole value
MIN_STREAM_BUFFER_BYTES = 16 << 10  # the same of a large value, however many there are
BUFFER_MEMORY_FRACTION = (
    0.125  # of the memory, for what clients have not taken, and likewise for deferred input
)


class RequestHandler(Protocol):
    """What the connections need of the gateway."""

    def is_ready(self) -> bool:
        """Return whether a request could be sent on."""

    def submit(self, request: ClientRequest, pending_reply: PendingReply, waited: float, /) -> None:
        """Take in a request that has waited for so many seconds; raise `InvalidCommandError` to refuse it."""

    def shed(self, request: ClientRequest, pending_reply: PendingReply, /) -> None:
        """Reject a request without taking it in."""

    def client_disconnected(self, number: int) -> None:
        """End a request whose client has left."""


class ClientConnections:
    """The listening socket and the connections accepted on it."""

    def __init__(
        self, config: Config, requests: RequestHandler, max_connections: int, close_guard: CloseGuard
    ) -> None:
        loop = asyncio.get_running_loop()
        self.time = loop.time
        self.call_soon = loop.call_soon
        self._call_later = loop.call_later
        self.parser = RequestParser(config)
        self.requests = requests
        self.close_guard = close_guard
        self.hangup_monitor = HangupMonitor()
        # Limits.
        self._configured_max_connections = max_connections
        self.max_connections = max_connections
        self._configured_buffer_memory = int(config.memory_bytes * BUFFER_MEMORY_FRACTION)
        # Bytes of deferred input of all connections, and as many of large values that are held.
        self.buffer_memory = self._configured_buffer_memory
        self.write_buffer_bytes = max(  # that one client may leave untaken
            MIN_WRITE_BUFFER_BYTES, self.buffer_memory // max_connections
        )
        self.deferred_bytes = 0  # of all connections
        self.held_bytes = 0  # of large values that are not written, or not taken yet, of all connections
        self.active_streams = 0  # large values that are being written
        # Connections, both with the one first that became idle longest ago.
        self._connections: dict[ClientConnection, None] = {}  # those that have sent a whole command
        self._new_connections: dict[ClientConnection, None] = {}  # those that have not
        # The listening socket.
        self._address = config.listen
        self._inherited_descriptor = config.inherited_descriptor
        self._listener: Listener | None = None
        self.last_connected_at = 0.0
        self._check_timer: asyncio.TimerHandle | None = None
        # Shutdown. Past the longest deadline only large values are still written, or commands incomplete.
        longest_deadline_s = max(c.deadline for c in config.settings.classes) / SECOND
        self._max_drain_s = longest_deadline_s + ACCEPT_DRAIN_QUIET_S
        self._draining = False
        self.closing = False  # connections close as soon as they are idle

    async def start(self) -> None:
        """Begin to accept connections; raise OSError where the address is in use."""
        sock = None
        if self._inherited_descriptor is not None:
            sock = inherited_socket(self._inherited_descriptor)
        if sock is None:
            self._inherited_descriptor = None
            sock = await retry_transient(self._bind)
        self._listener = Listener(sock, lambda: ClientConnection(self), self._has_capacity)
        self._schedule_timeout_check()

    async def _bind(self) -> socket.socket:
        return bound_socket(self._address)

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return cast(Listener, self._listener).port

    # Limits.

    def limit(self, max_connections: int | None, memory_fraction: float) -> None:
        """Limit connections, and deferred input to a fraction, while another process has the remainder.

        None stands for the configured limit.
        """
        self.max_connections = self._configured_max_connections
        if max_connections is not None:
            self.max_connections = min(self._configured_max_connections, max(1, max_connections))
        self.buffer_memory = int(self._configured_buffer_memory * memory_fraction)

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

    def _evictable(self, now: float) -> Iterator[ClientConnection]:
        """Yield idle connections, then those in the middle of a command, in the order of eviction.

        A gateway may close between requests. Connections just opened or just idle are spared, or clients
        that connect again and again would leave nobody the time to send a command.
        """
        clients = self.connections()
        for client in clients:
            if now - client.idle_since >= MIN_IDLE_BEFORE_EVICTION_S and client.is_idle():
                yield client
        for client in clients:
            is_old = client.partial_command_age(now) >= MIN_PARTIAL_BEFORE_EVICTION_S
            if is_old and not client.has_unread_bytes():  # the rest of the command may have come
                yield client

    def stream_started(self) -> int:
        """Count one more large value, and return how many bytes of it its client may leave untaken."""
        self.active_streams += 1
        fair_share = self.buffer_memory // self.active_streams
        return max(MIN_STREAM_BUFFER_BYTES, min(self.write_buffer_bytes, fair_share))

    def _schedule_timeout_check(self) -> None:
        self._check_timer = self._call_later(CHECK_INTERVAL_S, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self._schedule_timeout_check()
        now = self.time()
        connections_scarce = self.connection_count() > SCARCE_FRACTION * self.max_connections
        for client in self.connections():
            enforce_timeouts(client, now, connections_scarce)

    # The set of connections.

    def connections(self) -> list[ClientConnection]:
        """Return all connections, first those without a command, each group the longest idle first."""
        return [*self._new_connections, *self._connections]

    def connection_count(self) -> int:
        """Count the open connections."""
        return len(self._connections) + len(self._new_connections)

    def _connecting_count(self) -> int:
        """Count the connections that are accepted and not known to their protocols yet."""
        return 0 if self._listener is None else self._listener.connecting_count

    def has_connections(self) -> bool:
        """Return whether any connection is open, known to its protocol or not."""
        return bool(self.connection_count() + self._connecting_count())

    def connection_opened(self, client: ClientConnection) -> None:
        """Add a connection."""
        self.last_connected_at = self.time()
        self._new_connections[client] = None

    def command_received(self, client: ClientConnection) -> None:
        """Make a connection the last to be evicted: it has just sent a whole command."""
        if client.has_sent_command:
            self._connections.pop(client, None)
        else:
            self._new_connections.pop(client, None)
            client.has_sent_command = True
        self._connections[client] = None

    def connection_closed(self, client: ClientConnection) -> None:
        """Forget a connection."""
        self.hangup_monitor.discard(client)
        self._new_connections.pop(client, None)
        self._connections.pop(client, None)

    # Shutdown.

    def is_listening(self) -> bool:
        """Return whether the listening socket is open."""
        return self._listener is not None and self._listener.is_open

    def is_accepting(self) -> bool:
        """Return whether clients that connect are served."""
        return self.is_listening() and not self._draining and not self.closing

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
        self._draining = True
        self.last_connected_at = self.time()
        await AcceptDrain(self, owns_socket, self._max_drain_s).run()
        self.abort()

    def abort(self) -> None:
        """Close everything as it stands."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        self.hangup_monitor.close()
        self.stop_listening()
        for client in self.connections():
            client.abort(CloseReason.SHUTDOWN)
