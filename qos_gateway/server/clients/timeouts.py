"""Time-outs of the clients' connections, by the state that a connection is in."""

from __future__ import annotations

from ..observability.close_reasons import CloseReason
from .connection import ClientConnection, log

COMMAND_TIMEOUT_S = (
    2.6  # from connecting or a command's first byte to its last: slow clients need 2, 3 is late
)
WRITE_STALL_TIMEOUT_S = 2.0  # in which a client takes nothing of what waits for it
LARGE_WRITE_STALL_TIMEOUT_S = 5.0  # the same in a large value: slow readers pause, and little is buffered
IDLE_TIMEOUT_S = 25.0  # after a command: under the usual half minute, and calm clients come sooner
SCARCE_IDLE_TIMEOUT_S = 2.0  # the same where connections are scarce


def enforce_timeouts(client: ClientConnection, now: float, connections_scarce: bool) -> None:
    """End a connection that has been in its state for too long."""
    if client.half_close_ends_at:
        if client.is_half_close_over(now, WRITE_STALL_TIMEOUT_S):
            client.abort(CloseReason.PROTOCOL_ERROR)
    elif client.blocked:
        timeout_s = LARGE_WRITE_STALL_TIMEOUT_S if client.is_writing_large_value() else WRITE_STALL_TIMEOUT_S
        if client.is_write_stalled(now, timeout_s):
            log.warning("client_write_stalled timeout_s=%.1f", timeout_s)
            client.abort(CloseReason.WRITE_STALLED)
    elif client.commands.partial_since and client.is_reading:
        # Before its first command a client's time runs from connecting on.
        started_at = client.commands.partial_since if client.has_sent_command else client.idle_since
        if now - started_at >= COMMAND_TIMEOUT_S:
            client.fail("command without end")
    elif not client.is_awaiting_replies():
        timeout_s = _idle_timeout_s(client, connections_scarce)
        if now - client.idle_since >= timeout_s and client.is_idle():
            client.close(CloseReason.IDLE)


def _idle_timeout_s(client: ClientConnection, connections_scarce: bool) -> float:
    if not client.has_sent_command:
        return COMMAND_TIMEOUT_S
    return SCARCE_IDLE_TIMEOUT_S if connections_scarce else IDLE_TIMEOUT_S
