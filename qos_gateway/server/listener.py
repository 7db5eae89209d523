"""The clients' listening socket: connections are accepted as far as there is room, the others wait."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from .config import Address
from .logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

BACKLOG = 1024  # connections that the system keeps waiting
ACCEPT_BATCH = 16  # connections taken in one turn: those that made room for them are closed only after it
ACCEPT_RETRY_INTERVAL_S = 0.02  # s without a look at the queue, where there is no room
MAX_QUEUE_TIME_S = 0.25  # s without room after which what waits is shut, unread: its requests' time runs


def inherited_socket(descriptor: int) -> socket.socket | None:
    """The listening socket that the platform holds; None where the descriptor is no such thing."""
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return sock
        sock.detach()
        log.error("descriptor %d is no listening socket: binding one of our own", descriptor)
    except OSError as error:
        log.error("descriptor %d is no socket (%s): binding one of our own", descriptor, error)
    return None


def bound_socket(address: Address) -> socket.socket:
    """A listening socket of our own; raises OSError."""
    return socket.create_server(address, family=socket.AF_INET6 if ":" in address[0] else socket.AF_INET)


class Listener:
    """Accepts only what can be kept. A loop that takes whatever comes and closes it again spends descriptors
    that others need and all of its time, and a client that means it is as likely closed as any.
    """

    def __init__(
        self, sock: socket.socket, made: Callable[[], asyncio.Protocol], room: Callable[[], bool]
    ) -> None:
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._sock, self._protocol_factory, self._has_capacity = sock, made, room
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task[None]] = set()  # accepted, not yet known to their protocols
        self._queue = select.poll()
        self._queue.register(sock.fileno(), select.POLLIN)
        self._full_since: float | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._loop.add_reader(sock.fileno(), self._accept)

    @property
    def port(self) -> int:
        return int(self._sock.getsockname()[1])

    @property
    def connecting_count(self) -> int:
        return len(self._connecting)

    def has_waiting(self) -> bool:
        """Whether somebody stands before the door."""
        return bool(self._queue.poll(0))

    def close(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self.has_waiting():
                self._full_since = None
                return None
            shut = False
            if not self._has_capacity():
                now = self._loop.time()
                self._full_since = self._full_since or now
                if now - self._full_since < MAX_QUEUE_TIME_S:
                    return self._pause_accepting()
                shut = True
            else:
                self._full_since = None
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return None
            except OSError as error:
                # The system has no descriptor left, or no memory: to try again at once would spin.
                log.warning("no connection can be accepted: %s", error)
                return self._pause_accepting()
            if shut:
                sock.close()
                continue
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self._loop.create_task(self._connect(sock))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, sock)
        except OSError:
            sock.close()  # gone again already

    def _pause_accepting(self) -> None:
        self._loop.remove_reader(self._sock.fileno())
        self._resume_timer = self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._sock.fileno(), self._accept)
