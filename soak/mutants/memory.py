"""Gateways that hold more than their limits allow, or that forget what ran."""

from __future__ import annotations

from typing import Any

from qos_gateway.decisions.quota.account.account_table import AccountTable
from qos_gateway.server.clients.command_reader import CommandReader
from qos_gateway.server.endpoints.attempt import Attempt
from qos_gateway.server.endpoints.response_receiver import ResponseReceiver
from qos_gateway.server.memory.monitor import MemoryMonitor
from qos_gateway.server.networking.value_stream import FlowControl
from qos_gateway.server.requests.executed_requests import ExecutedRequests
from soak.mutants.patching import always_true, do_nothing, patch

RESPONSE_BUFFER_BYTES = 128 << 10


def hold_commands_without_limit() -> None:
    """Read incomplete commands whether or not there is memory for them."""
    patch(CommandReader, "needed_memory_bytes", lambda _: 0)
    patch(MemoryMonitor, "_check", do_nothing)


def keep_response_buffers() -> None:
    """Keep a buffer of twice the largest response for each connection to an endpoint."""
    receive = ResponseReceiver.receive
    buffers: dict[int, bytes] = {}

    def receive_and_keep(self: ResponseReceiver, attempt: Attempt, data: bytes, flow: FlowControl) -> Any:
        buffers[id(self)] = b"." * RESPONSE_BUFFER_BYTES
        return receive(self, attempt, data, flow)

    patch(ResponseReceiver, "receive", receive_and_keep)


def keep_every_customer() -> None:
    """Keep state for any number of customers, and count none of it."""
    patch(AccountTable, "ensure_capacity", always_true)
    patch(MemoryMonitor, "_check", do_nothing)


def forget_what_ran() -> None:
    """Execute a request again whose id comes again after its client has left."""
    patch(ExecutedRequests, "may_have_executed", lambda *_: False)
