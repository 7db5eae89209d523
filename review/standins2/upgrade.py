"""Upgrades: a new process starts beside the old one, on a listening socket that the platform holds."""

from __future__ import annotations

import asyncio
import signal
import socket
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from review.standins2.gateway import Gateway
from review.standins2.record import Record

READY_WITHIN_S = 6.0
KILL_AFTER_S = 3.7  # after SIGTERM: 3 s, as the longest deadline is longer, and 0.7 s


@dataclass(frozen=True)
class PassedSocket:
    """The clients' listening socket, which every process of the gateway inherits."""

    address: str
    start: dict[str, Any]  # what `Gateway.start` needs to pass it on


@contextmanager
def passed_socket() -> Iterator[PassedSocket]:
    """Hold a listening socket."""
    with socket.create_server(("127.0.0.1", 0), backlog=256) as sock:
        sock.set_inheritable(True)
        number = sock.fileno()
        start = {"environment": {"ROUTER_PASSED_SOCKET": str(number)}, "pass_fds": (number,)}
        host, port = sock.getsockname()
        yield PassedSocket(f"{host}:{port}", start)


def _says_yes(address: str) -> bool:
    try:
        with urllib.request.urlopen(f"http://{address}/ops/readiness", timeout=1.0) as answer:
            return bool(200 <= answer.status < 300)
    except (OSError, urllib.error.URLError):
        return False


async def becomes_ready(new: Gateway) -> bool:
    """Return whether a process says yes in time, at its operators' address."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + READY_WITHIN_S
    while loop.time() < give_up_at and await new.exit_status(0.05) is None:
        if await asyncio.to_thread(_says_yes, new.configuration["operator"]):
            return True
    return False


async def take_over(record: Record, old: Gateway, new: Gateway, start: dict[str, Any]) -> bool:
    """Start the new process; once it says yes, tell the old one to end. Return whether it said yes."""
    record.say("the new process starts beside the old one")
    await new.start(**start)
    ready = await becomes_ready(new)
    record.say(f"the new process says yes: {ready}")
    if ready:
        old.signal(signal.SIGTERM)
        record.say("SIGTERM to the old process")
    return ready
