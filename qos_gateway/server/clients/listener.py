"""The listening socket for clients: accepts connections while there is capacity, and queues the others."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import time
from collections.abc import Callable

from ..config import Address
from ..observability.logs import RateLimitFilter
from .loop_stalls import LoopStallDetector

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

BACKLOG = 1024  # length of the accept queue in the kernel
ACCEPT_BATCH = 64  # connections per iteration of the event loop
ACCEPT_RETRY_INTERVAL_S = 0.02
# After this time without capacity, queued connections are closed, so that clients can retry.
MAX_QUEUE_TIME_S = 0.25


def inherited_socket(descriptor: int) -> socket.socket | None:
    """Return the listening socket inherited from the platform; None if the descriptor is not one."""
    try:
        sock = socket.socket(fileno=descriptor)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            return sock
        sock.detach()
        log.error("inherited_descriptor_invalid descriptor=%d error=not_listening fallback=bind", descriptor)
    except OSError as error:
        log.error(  # noqa: TRY400 - a traceback adds nothing to the error
            "inherited_descriptor_invalid descriptor=%d error=%s fallback=bind", descriptor, error
        )
    return None


def bound_socket(address: Address, backlog: int | None = None) -> socket.socket:
    """Return a new socket that listens on the address; raise OSError if that fails.

    `loop.create_server` does not report that a socket could not be created.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    return socket.create_server(address, family=family, backlog=backlog)


class Listener:
    """Accepts connections only while there is capacity for them.

    Accepting all and closing the excess would use up descriptors and CPU time, and would close connections
    with requests as often as idle ones.
    """

    def __init__(
        self,
        sock: socket.socket,
        protocol_factory: Callable[[float | None], asyncio.BaseProtocol],
        has_capacity: Callable[[], bool],
        stall_detector: LoopStallDetector,
        on_queue_timeout: Callable[[], None],
    ) -> None:
        """Listen on `sock`, and accept while `has_capacity`.

        `protocol_factory` takes the time since which the connection may have been queued, if any.
        `on_queue_timeout` is called for each connection that is closed unread.
        """
        sock.setblocking(False)
        sock.listen(BACKLOG)
        self._sock = sock
        self._protocol_factory = protocol_factory
        self._has_capacity = has_capacity
        self._stall_detector = stall_detector
        self._on_queue_timeout = on_queue_timeout
        # Since when connections may have been queued; None while each is accepted on arrival.
        self._queued_since_s: float | None = 0.0  # an inherited socket may already hold some
        self._loop = asyncio.get_running_loop()
        self._connecting: set[asyncio.Task[None]] = set()  # each sets up an accepted connection
        self._accept_poll = select.poll()
        self._accept_poll.register(sock.fileno(), select.POLLIN)
        # Time since which queued connections have lacked capacity; None otherwise.
        self._at_capacity_since_s: float | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self.is_open = True
        self._start_accepting()

    @property
    def port(self) -> int:
        """The port that clients connect to."""
        return int(self._sock.getsockname()[1])

    @property
    def connecting_count(self) -> int:
        """The number of accepted connections whose protocol is not set up yet."""
        return len(self._connecting)

    def has_queued_connection(self) -> bool:
        """Return whether the accept queue holds a connection."""
        return self.is_open and bool(self._accept_poll.poll(0))

    def close(self) -> None:
        """Close the socket; the kernel resets the connections still in its accept queue."""
        if not self.is_open:
            return
        self.is_open = False
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self._loop.remove_reader(self._sock.fileno())
        self._sock.close()

    def _accept_batch(self) -> None:
        for _ in range(ACCEPT_BATCH):
            if not self.has_queued_connection():
                self._at_capacity_since_s = None
                self._queued_since_s = None
                return
            if self._has_capacity():
                self._at_capacity_since_s = None
                sock = self._accept()
                if sock is None:
                    return
                self._start_connecting(sock)
            elif self._has_queued_too_long():
                sock = self._accept()
                if sock is None:
                    return
                sock.close()
                self._on_queue_timeout()
            else:
                self._pause_accepting()
                return
        self._mark_queued()

    def _has_queued_too_long(self) -> bool:
        now_s = self._loop.time()
        self._at_capacity_since_s = self._at_capacity_since_s or now_s
        return now_s - self._at_capacity_since_s >= MAX_QUEUE_TIME_S

    def _accept(self) -> socket.socket | None:
        """Return the oldest queued connection; None if it could not be accepted."""
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            # Out of descriptors or memory: an immediate retry would busy-loop.
            log.warning("accept_failed error=%s", error)
            self._pause_accepting()
            return None
        return sock

    def _start_connecting(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        queued_since_s = self._queued_since_s
        if queued_since_s is None:
            queued_since_s = self._stall_detector.stalled_since_s(time.monotonic())
        task = self._loop.create_task(self._connect(sock, queued_since_s))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, sock: socket.socket, queued_since_s: float | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._protocol_factory(queued_since_s), sock)
        except OSError:
            sock.close()  # the client has disconnected already

    def _start_accepting(self) -> None:
        self._resume_timer = None
        self._loop.add_reader(self._sock.fileno(), self._accept_batch)

    def _mark_queued(self) -> None:
        """Record that connections may be queued from now on."""
        if self._queued_since_s is None:
            self._queued_since_s = time.monotonic()

    def _pause_accepting(self) -> None:
        self._mark_queued()
        self._loop.remove_reader(self._sock.fileno())
        self._resume_timer = self._loop.call_later(ACCEPT_RETRY_INTERVAL_S, self._start_accepting)
