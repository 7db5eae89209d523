"""How long the bytes of a read had waited in the socket, as the system tells."""

from __future__ import annotations

import asyncio
import socket
import struct

LAST_DATA_RECEIVED_OFFSET = 52  # of `struct tcp_info` in linux/tcp.h, in ms
TCP_INFO_BYTES = 56
MS_PER_S = 1000
LONGEST_TICK_MS = 10  # of the system's timer, in which it counts the age


def last_received_age_s(transport: asyncio.Transport) -> float:
    """Return for how long the last data of an open connection has been received at least."""
    return min_age_s(transport.get_extra_info("socket"))


def min_age_s(sock: socket.socket) -> float:
    """Return the least time since a socket's last data; the system's figure may be a tick too long."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return 0.0  # the connection has ended
    (age_ms,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
    return float(max(0, age_ms - LONGEST_TICK_MS)) / MS_PER_S
