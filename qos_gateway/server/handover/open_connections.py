"""Tracks open connections to other processes of this gateway, and forwards admin calls over them."""

from __future__ import annotations

import asyncio
import logging
from itertools import count
from typing import Protocol

from .connection import HandoverConnection
from .messages import EndpointDisabled, HandoverState

log = logging.getLogger(__name__)

# At the end of the process, written messages are sent within this time. A new process waits as long for them.
CLOSE_TIMEOUT_S = 0.5
CLOSE_CHECK_INTERVAL_S = 0.01
ACKNOWLEDGEMENT_TIMEOUT_S = 0.3  # the sender of an admin call waits 1 s for its response


class HandoverDelegate(Protocol):
    """Performs the actions that the other process triggers in this one."""

    def capture_state(self) -> HandoverState:
        """Return the state for the next process."""

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Apply an admin call that the other process received."""

    def on_other_process_ended(self) -> None:
        """Restore the full limits and quota of this process."""


class OpenHandoverConnections:
    """The set of open connections; those with shared state show that the other process is running."""

    def __init__(self, delegate: HandoverDelegate) -> None:
        self.connections: set[HandoverConnection] = set()
        self._delegate = delegate
        self._sequence_numbers = count(1)

    def connection_opened(self, connection: HandoverConnection) -> None:
        """Add the connection to the open ones."""
        self.connections.add(connection)

    def connection_closed(self, connection: HandoverConnection) -> None:
        """Remove the connection; if it was the last with shared state, the other process has ended."""
        self.connections.discard(connection)
        if connection.state_shared and not any(each.state_shared for each in self.connections):
            log.info("handover_other_process_ended")
            self._delegate.on_other_process_ended()

    def capture_state(self) -> HandoverState:
        """Return the state for the next process."""
        return self._delegate.capture_state()

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Apply an admin call that the other process received."""
        self._delegate.apply_admin_disabled(endpoint, disabled)

    async def broadcast_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Forward an admin call to the other process, if one runs.

        Waits up to `ACKNOWLEDGEMENT_TIMEOUT_S` for the acknowledgement.
        """
        pending = [
            connection.send_acknowledged(EndpointDisabled(endpoint, disabled, next(self._sequence_numbers)))
            for connection in self.connections
            if connection.state_shared
        ]
        if not pending:
            return
        _, unacknowledged = await asyncio.wait(pending, timeout=ACKNOWLEDGEMENT_TIMEOUT_S)
        if unacknowledged:
            log.error("handover_call_unacknowledged endpoint=%d disabled=%s", endpoint, disabled)

    async def close(self) -> None:
        """Close all connections once their messages are sent, within `CLOSE_TIMEOUT_S`."""
        for connection in list(self.connections):
            connection.close()
        loop = asyncio.get_running_loop()
        gives_up_at_s = loop.time() + CLOSE_TIMEOUT_S
        while self.connections and loop.time() < gives_up_at_s:
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        for connection in list(self.connections):
            connection.abandon()
