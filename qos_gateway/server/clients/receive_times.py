"""Estimates when the bytes of one read were received, as the process may have read them late."""

from __future__ import annotations

from dataclasses import dataclass

from .socket_protocol import SocketAges


@dataclass(frozen=True, slots=True)
class ReceiveTimes:
    """Receive times in s on the event loop's clock; the times of the bytes in between are unknown."""

    first_s: float  # earliest possible time of any of the bytes
    last_s: float  # time of the last byte


def estimate_receive_times(now_s: float, waiting_since_s: float, ages: SocketAges | None) -> ReceiveTimes:
    """Return the receive times of bytes that are read now and may have waited since `waiting_since_s`.

    `ages` is None if the system does not report them.
    """
    if ages is None:
        return ReceiveTimes(waiting_since_s, waiting_since_s)
    last_s = max(waiting_since_s, now_s - ages.last_received_s)
    return ReceiveTimes(min(waiting_since_s, last_s), last_s)
