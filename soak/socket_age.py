"""How long the bytes of a read had waited in the socket, as the system tells."""

from __future__ import annotations

import asyncio
import socket
import struct

LAST_DATA_RECEIVED_OFFSET = 52  # of `struct tcp_info` in linux/tcp.h, in ms
TCP_INFO_BYTES = 56
MS_PER_S = 1000


def last_received_age_s(transport: asyncio.Transport) -> float:
    """Return how long ago the system received the last data of an open connection."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return 0.0  # the connection has ended
    (age_ms,) = struct.unpack_from("I", info, LAST_DATA_RECEIVED_OFFSET)
    return float(age_ms) / MS_PER_S
