"""Final replies that carry no value."""

from __future__ import annotations

from ...units import MILLISECOND

REJECTED_REPLY = b"-BUSY\r\n"
FAILED_REPLY = b"-ERR failed\r\n"
TIMED_OUT_REPLY = b"-ERR out of time\r\n"
INTERNAL_FAULT_REPLY = b"-ERR internal fault\r\n"


def rejected_reply(retry_after_ns: int) -> bytes:
    """Return the reply to a rejected request, with the Retry-After in ms, rounded up, unless it is 0."""
    retry_after_ms = -(-retry_after_ns // MILLISECOND)
    return b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms else REJECTED_REPLY
