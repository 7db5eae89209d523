"""The reasons for which client connections end."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a client's connection ended; the values are parts of the metrics' names."""

    CLIENT_CLOSED = "client_closed"  # the client closed or reset the connection
    HANGUP_SEEN = "hangup_seen"  # the gateway detected the client's close before the event loop did
    IDLE = "idle"
    EVICTED = "evicted"  # closed to admit another connection
    QUEUE_TIMEOUT = "queue_timeout"  # closed unread, as there was no capacity for it
    DRAINED = "drained"  # closed because it was idle while the process was stopping
    PROTOCOL_ERROR = "protocol_error"  # closed after an error reply
    WRITE_STALLED = "write_stalled"  # the client does not read its replies
    MEMORY = "memory"  # held memory without progress while others waited for it
    VALUE_ABORTED = "value_aborted"  # the transfer of a large value failed after a part was written
    SHUTDOWN = "shutdown"  # still open at the end of the process


# After a close for one of these reasons, pending replies cannot reach the client.
CLIENT_CAUSED_REASONS = frozenset(
    {CloseReason.CLIENT_CLOSED, CloseReason.HANGUP_SEEN, CloseReason.WRITE_STALLED, CloseReason.MEMORY}
)
