"""When the bytes of one read came, though the process may have read them late."""

from __future__ import annotations

from dataclasses import dataclass

from .socket_protocol import SocketAges


@dataclass(frozen=True, slots=True)
class ReceiveTimes:
    """Times in s on the event loop's clock; of bytes in between nothing is known."""

    first_s: float  # the earliest at which any of the bytes can have come
    last_s: float  # at which the last byte came


def estimate_receive_times(now_s: float, waiting_since_s: float, ages: SocketAges | None) -> ReceiveTimes:
    """Return the times of bytes that are read now and may have waited since then, but no longer.

    `ages` is None where the system does not report them.
    """
    if ages is None:
        return ReceiveTimes(waiting_since_s, waiting_since_s)
    last_s = max(waiting_since_s, now_s - ages.last_received_s)
    return ReceiveTimes(min(waiting_since_s, last_s), last_s)
