"""Unused addresses on loopback, for processes that are configured with an address before they listen on it.

Each address has a host number of its own: a free port of 127.0.0.1 could be bound by others before its use.
"""

from __future__ import annotations

import os
import socket
from itertools import count

HOSTS_PER_NETWORK = 250
NETWORKS = 200
_numbers = count()


def _next_host() -> str:
    network, host = divmod(next(_numbers), HOSTS_PER_NETWORK)
    return f"127.{1 + os.getpid() % NETWORKS}.{1 + network % HOSTS_PER_NETWORK}.{1 + host}"


def _free_address(kind: socket.SocketKind) -> str:
    host = _next_host()
    with socket.socket(type=kind) as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def free_tcp_address() -> str:
    """Return an address on which no process listens."""
    return _free_address(socket.SOCK_STREAM)


def free_udp_addresses(number: int) -> tuple[str, ...]:
    """Return a number of different addresses on which no process receives datagrams."""
    return tuple(_free_address(socket.SOCK_DGRAM) for _ in range(number))
