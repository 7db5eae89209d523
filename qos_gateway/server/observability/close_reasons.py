"""Why the connection of a client ended."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended; the values are parts of the metrics' names."""

    CLIENT_CLOSED = "client_closed"  # the client closed or reset it
    HANGUP_SEEN = "hangup_seen"  # the client closed it, which the gateway detected before the event loop
    IDLE = "idle"
    EVICTED = "evicted"  # to admit another connection
    DRAINED = "drained"  # idle while the process stops
    PROTOCOL_ERROR = "protocol_error"  # closed after an error reply
    WRITE_STALLED = "write_stalled"  # the client does not read its replies
    VALUE_ABORTED = "value_aborted"  # a large value failed after a part of it was written
    SHUTDOWN = "shutdown"  # open at the end of the process


# Pending replies cannot reach the client.
CLIENT_CAUSED_REASONS = frozenset(
    {CloseReason.CLIENT_CLOSED, CloseReason.HANGUP_SEEN, CloseReason.WRITE_STALLED}
)
