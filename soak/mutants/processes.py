"""Gateways whose process breaks a rule: on its start, its end, its time-outs, or its recovery."""

from __future__ import annotations

import asyncio
import os

from qos_gateway.server import gateway as gateway_module
from qos_gateway.server.clients import connection_input, connections
from qos_gateway.server.clients import timeouts as client_timeouts
from qos_gateway.server.clients.connection import ClientConnection
from qos_gateway.server.clients.input_scheduler import InputScheduler
from qos_gateway.server.config import Address
from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.endpoints.connection_pool import ConnectionPool
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.observability.close_reasons import CloseReason
from qos_gateway.server.peers import Peers
from qos_gateway.server.start_guard import check_start
from qos_gateway.types import Outcome
from soak.mutants.patching import always_true, patch

CRASH_AFTER_S = 3.0
FAIL_AFTER_S = 3.0
CRASH_STATUS = 3
UNREACHED_TIMEOUT_S = 3600.0
UNBOUNDED_READ_BYTES = 256 << 10  # as much as the event loop reads at once without a buffer of its own


def crash() -> None:
    """Exit with an error status some seconds after the start."""
    start = GatewayProcess.start

    async def start_and_crash(self: GatewayProcess) -> None:
        await start(self)
        asyncio.get_running_loop().call_later(CRASH_AFTER_S, os._exit, CRASH_STATUS)

    patch(GatewayProcess, "start", start_and_crash)


def stop_at_once() -> None:
    """Close all client connections on SIGTERM, without a graceful shutdown."""

    async def stop(self: GatewayProcess) -> None:
        self.parts.clients.abort()

    patch(GatewayProcess, "stop", stop)


def close_over_unread_replies() -> None:
    """Close a connection at its end, whether or not its replies have arrived."""

    def close(self: ClientConnection, reason: CloseReason) -> None:
        self._note_end(reason)
        self._transport.close()

    patch(ClientConnection, "end", close)


def wait_for_bad_clients() -> None:
    """Keep a connection with an incomplete command open."""
    patch(client_timeouts, "COMMAND_TIMEOUT_S", UNREACHED_TIMEOUT_S)


def keep_places_of_stopped_clients() -> None:
    """Evict clients that stopped in the middle of a command only after others have waited too long."""
    patch(connections, "MIN_STOPPED_BEFORE_EVICTION_S", 5 * connections.MIN_STOPPED_BEFORE_EVICTION_S)


def need_the_peer_address_at_once() -> None:
    """End at the start of an upgrade, as the old process still holds the address for messages from peers."""
    listen = Peers.listen

    async def listen_at_once(self: Peers, address: Address, **_: bool) -> None:
        await listen(self, address, may_be_in_use=False)

    patch(Peers, "listen", listen_at_once)


def execute_commands_at_once() -> None:
    """Execute all commands of a client that were read in one turn of the event loop."""
    patch(connection_input, "SLICE_TIME_S", UNREACHED_TIMEOUT_S)
    patch(connection_input, "FIRST_SLICE_TIME_S", UNREACHED_TIMEOUT_S)
    patch(InputScheduler, "has_time", always_true)
    patch(connections, "READ_BUFFER_BYTES", UNBOUNDED_READ_BYTES)
    patch(connection_input, "read_size_bytes", lambda _: UNBOUNDED_READ_BYTES)


def stop_serving() -> None:
    """Fail every attempt from some seconds after the start."""
    start_attempt = ConnectionPool.start
    start_process = GatewayProcess.start
    started_at_s = 0.0

    def fail(self: ConnectionPool, attempt: Attempt, now_ns: int) -> None:
        if asyncio.get_running_loop().time() - started_at_s < FAIL_AFTER_S:
            start_attempt(self, attempt, now_ns)
        else:
            self._reporter.finish_later(attempt, Outcome.CONNECT_FAILED)

    async def note_start(self: GatewayProcess) -> None:
        nonlocal started_at_s
        started_at_s = asyncio.get_running_loop().time()
        await start_process(self)

    patch(ConnectionPool, "start", fail)
    patch(GatewayProcess, "start", note_start)


def serve_without_a_list() -> None:
    """Report to the gateway's start guard that clients are accepted before the engine has a list."""
    patch(gateway_module, "check_start", lambda monitor, *_: check_start(monitor, False, False))
