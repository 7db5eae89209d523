"""Addresses on loopback that nobody uses, for those who have to be told theirs before they listen."""

from __future__ import annotations

import socket

from soak.settings import LOCALHOST


def free_tcp_address() -> str:
    """Return an address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((LOCALHOST, 0))
        return _text(probe)


def free_udp_addresses(number: int) -> tuple[str, ...]:
    """Return so many different addresses that nobody receives datagrams on."""
    probes = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(number)]
    for probe in probes:
        probe.bind((LOCALHOST, 0))
    addresses = tuple(_text(probe) for probe in probes)
    for probe in probes:
        probe.close()
    return addresses


def _text(sock: socket.socket) -> str:
    return f"{LOCALHOST}:{sock.getsockname()[1]}"
