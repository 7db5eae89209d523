"""The clients' listening socket: connections are accepted as far as there is capacity, the others wait."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Callable

from ..config import Address
from ..observability.logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

BACKLOG = 1024  # connections that the system keeps waiting
ACCEPT_BATCH = 16  # connections a turn of the loop: those evicted for them are closed only after it
ACCEPT_RETRY_INTERVAL_S = 0.02  # without a look at the waiting connections, where there is no capacity
MAX_QUEUE_TIME_S = 0.25  # without capacity, then what waits is closed unread: its requests' time runs


def inherited_socket(descriptor: int) -> socket.socket | None:
    """Return the listening socket that the platform holds, or None where the descriptor is none."""
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return sock
        sock.detach()
        log.error("inherited_descriptor_invalid descriptor=%d error=not_listening fallback=bind", descriptor)
    except OSError as error:
        log.error(  # noqa: TRY400 - the traceback would say no more than the error
            "inherited_descriptor_invalid descriptor=%d error=%s fallback=bind", descriptor, error
        )
    return None


def bound_socket(address: Address, backlog: int | None = None) -> socket.socket:
    """Return a new socket that listens on the address; raise OSError where that is not possible.

    The event loop's own call tells of no error where no socket can be had.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=backlog)


class Listener:
    """Accepts only connections that can be kept.

    A loop that accepts whatever comes and closes it again spends descriptors that others need and all of its
    time, and closes clients with requests as likely as any.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[], asyncio.Protocol],
        has_capacity: Callable[[], bool],
    ) -> None:
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._sock = sock
        self._protocol_factory = protocol_factory
        self._has_capacity = has_capacity
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task[None]] = set()  # accepted, not yet known to their protocols
        self._queue = select.poll()
        self._queue.register(sock.fileno(), select.POLLIN)
        self._full_since: float | None = None  # when a connection first had to wait for capacity
        self._resume_timer: asyncio.TimerHandle | None = None
        self.is_open = True
        self._start_accepting()

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self._sock.getsockname()[1])

    @property
    def connecting_count(self) -> int:
        """How many accepted connections their protocols do not know of yet."""
        return len(self._connecting)

    def has_waiting(self) -> bool:
        """Return whether a connection waits to be accepted."""
        return self.is_open and bool(self._queue.poll(0))

    def close(self) -> None:
        """Close the socket; the system resets the connections that still wait on it."""
        if not self.is_open:
            return
        self.is_open = False
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _accept_batch(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self.has_waiting():
                self._full_since = None
                return
            if self._has_capacity():
                self._full_since = None
                sock = self._accept()
                if sock is None:
                    return
                self._start_connecting(sock)
            elif self._is_full_for_long():
                sock = self._accept()
                if sock is None:
                    return
                sock.close()
            else:
                self._pause_accepting()
                return

    def _is_full_for_long(self) -> bool:
        now = self._loop.time()
        self._full_since = self._full_since or now
        return now - self._full_since >= MAX_QUEUE_TIME_S

    def _accept(self) -> socket.socket | None:
        """Return the connection that has waited longest, or None where it cannot be had."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            # The system has no descriptor left, or no memory: to try again at once would spin.
            log.warning("accept_failed error=%s", error)
            self._pause_accepting()
            return None
        return sock

    def _start_connecting(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        task = self._loop.create_task(self._connect(sock))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, sock)
        except OSError:
            sock.close()  # the client has left already

    def _start_accepting(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._sock.fileno(), self._accept_batch)

    def _pause_accepting(self) -> None:
        self._loop.remove_reader(self._sock.fileno())
        self._resume_timer = self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._start_accepting)
