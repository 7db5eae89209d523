"""Why the connection of a client ended."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended; the values are parts of the metrics' names."""

    CLIENT_CLOSED = "client_closed"  # the client closed or reset it
    HANGUP_SEEN = "hangup_seen"  # the client had closed it, and the gateway saw that before the event loop
    IDLE = "idle"
    EVICTED = "evicted"  # to make room for another connection
    DRAINED = "drained"  # idle while the process stops
    PROTOCOL_ERROR = "protocol_error"  # closed after an error reply
    WRITE_STALLED = "write_stalled"  # the client took nothing of its replies
    VALUE_ABORTED = "value_aborted"  # a large value broke off in the middle
    SHUTDOWN = "shutdown"  # closed as it stands, at the end of the process


# The client has gone, or takes no replies: what it is still owed cannot reach it.
CLIENT_CAUSED = frozenset({CloseReason.CLIENT_CLOSED, CloseReason.HANGUP_SEEN, CloseReason.WRITE_STALLED})
