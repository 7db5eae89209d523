"""One connection to a endpoint: it carries one attempt at a time, and is idle in between."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from contextlib import suppress
from typing import TYPE_CHECKING, cast

import hiredis

from ...types import Outcome
from ..observability.logs import RateLimitFilter
from .attempt import Attempt
from .response_receiver import ResponseReceiver
from .responses import AttemptResult

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

RECEIVE_BUFFER_BYTES = 64 << 10  # of a response that the system keeps unread: what one read may bring
MAX_OVERTIME_S = 0.3  # in which a large value may go on past the client's time: half a second late it is lost
STALE_RESET_WINDOW_S = 0.02  # after a request's last byte, over a round trip: a reset within it answers it


class EndpointConnection(asyncio.Protocol):
    """A connection that is connecting, active with an attempt, idle in its pool, or closed.

    An attempt's bytes are known to be sent once the write buffer is empty.
    """

    __slots__ = (
        "attempt",
        "connect_task",
        "has_unsent",
        "idle_before_request_s",
        "idle_since",
        "last_data_at",
        "overtime_since",
        "owner",
        "paused",
        "pool",
        "responses",
        "timer",
        "transport",
        "unread_poll",
        "written_at",
    )

    def __init__(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Create a connection of `pool` that is opened for `attempt`."""
        self.pool = pool
        self.owner = pool.owner
        self.attempt: Attempt | None = attempt  # None while it is idle or closed
        self.transport: asyncio.Transport | None = None  # None until it is connected
        self.connect_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None  # of the connect, then of a response that has begun
        self.responses = ResponseReceiver(self.owner.clock, self.owner.response_started)
        self.unread_poll = select.poll()  # made once: it is asked before each request
        self.has_unsent = True
        self.paused = False
        self.written_at = 0.0
        self.last_data_at = 0.0
        self.overtime_since = 0.0  # from when on the client's time is over, 0 before; pauses do not count
        self.idle_since = 0.0  # 0 until its first response has come
        self.idle_before_request_s: float | None = None  # None on its first request

    def is_active(self) -> bool:
        """Return whether it carries an attempt, or is opened for one."""
        return self.attempt is not None

    def is_closed(self) -> bool:
        """Return whether nothing can be sent or read: not connected yet, or no longer."""
        return self.transport is None or self.transport.is_closing()

    def is_expired(self, now: float) -> bool:
        """Return whether it has been idle for so long that its endpoint may have dropped it."""
        return now - self.idle_since >= self.owner.keep_alive.idle_limit_s

    def is_clean(self) -> bool:
        """Return whether it is open, with neither bytes nor an end unread in its socket.

        A repeated response would be taken for the next one, and a request that is written behind an end
        may be thought to have been executed.
        """
        return not self.is_closed() and not self.unread_poll.poll(0)

    def send(self, attempt: Attempt, now: int) -> None:
        """Write an attempt's request, now in ns on the gateway's clock."""
        transport = self.transport
        assert transport is not None  # an attempt is sent once the connection is up
        owner = self.owner
        attempt.connection = self
        self.attempt = attempt
        self.has_unsent = True
        self.overtime_since = 0.0
        self.written_at = owner.time()
        if self.idle_since:
            self.idle_before_request_s = self.written_at - self.idle_since
            owner.keep_alive.record_reuse(self.idle_before_request_s)
        transport.write(attempt.payload(now))
        # A write that met a broken connection leaves the transport closing, with nothing sent.
        self.has_unsent = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.has_unsent:
            owner.request_written(attempt)

    def close(self) -> None:
        """Close at once: nothing more is sent, and what still comes is dropped."""
        if self.attempt is not None:
            self._shut_down()
        self.attempt = None
        self.cancel_timer()
        if self.transport is not None:
            self.transport.abort()
        elif self.connect_task is not None:
            self.connect_task.cancel()
        self.pool.remove(self)

    def _shut_down(self) -> None:
        """End the connection in the system now; the transport does so in a later turn of the loop.

        By then the request's next attempt is written, and bytes may have left that counted as never sent.
        """
        if self.transport is None or self.transport.is_closing():
            return
        descriptor = self.transport.get_extra_info("socket").fileno()
        borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
        with suppress(OSError):  # the other side was first
            borrowed.shutdown(socket.SHUT_RDWR)
        borrowed.detach()

    def cancel_timer(self) -> None:
        """Cancel the time-out of the connect, or of the response that has begun."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def pause(self) -> None:
        """Stop reading: the client does not take the value as fast as it comes."""
        if not self.paused and not self.is_closed():
            self.paused = True
            cast(asyncio.Transport, self.transport).pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self.paused and not self.is_closed():
            self.paused = False
            self.last_data_at = self.owner.time()
            cast(asyncio.Transport, self.transport).resume_reading()

    # Calls of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up and hand the connection to its pool."""
        self.transport = cast(asyncio.Transport, transport)
        if not self.is_active():
            self.transport.abort()
            return
        # With no room in the buffer a write goes out at once, and a pause tells that some of it did not.
        self.transport.set_write_buffer_limits(high=0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.unread_poll.register(sock.fileno(), select.POLLIN)
        self.pool.connected(self)

    def pause_writing(self) -> None:
        """Note that some of the request is still in the write buffer."""
        self.has_unsent = True

    def resume_writing(self) -> None:
        """Note that the last byte of the request is sent."""
        if self.has_unsent and self.attempt is not None:
            self.owner.request_written(self.attempt)
        self.has_unsent = False

    def data_received(self, data: bytes) -> None:
        """Take the next bytes of the attempt's response, and end the attempt with the last of them."""
        attempt = self.attempt
        if attempt is None or self.has_unsent:
            self.close()  # whatever comes next on this connection could belong to any request
            if attempt is not None:
                self.owner.connect_failed(attempt)
            return
        try:
            result = self.responses.receive(attempt, data, self)
        except (ValueError, hiredis.ProtocolError) as error:  # the framing, the parser or the meaning
            self._fail_malformed(str(error))
            return
        if result is None:
            self._await_more()
            return
        if self.timer is not None:
            self.cancel_timer()
        self.attempt = None
        if self.responses.ended_with_data:
            self.pool.release(self)
        else:
            self.close()  # what follows is unexpected or unwanted, and more of it may come
        self.owner.finish_attempt(attempt, result)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # any end means the same
        """End the attempt, and count a reset that answers a request on a reused connection."""
        attempt = self.attempt
        self.attempt = None
        self.cancel_timer()
        self.pool.remove(self)
        if attempt is None:
            return
        if self.idle_before_request_s is not None and self._was_reset_at_once():
            self.owner.keep_alive.record_reset(self.idle_before_request_s)
        outcome = Outcome.CONNECT_FAILED if self.has_unsent else Outcome.RESET
        self.owner.finish_attempt(attempt, AttemptResult.without_response(outcome))

    def _was_reset_at_once(self) -> bool:
        """Return whether the connection ended right after the request, with no byte of a response."""
        return not self.responses.is_midway() and self.owner.time() - self.written_at <= STALE_RESET_WINDOW_S

    def _await_more(self) -> None:
        self.last_data_at = self.owner.time()
        if self.timer is None:
            self.timer = self.owner.loop.call_later(self.responses.stall_timeout_s(), self._check_stall)

    def limit_overtime(self) -> None:
        """Wait for a response that has begun a little longer: its client's time is over."""
        self.overtime_since = self.owner.time()
        self.cancel_timer()
        self._check_stall()

    def _check_stall(self) -> None:
        """Fail a response that no longer comes; time in which the client takes nothing is not counted."""
        owner = self.owner
        now = owner.time()
        if self.paused:
            self.last_data_at = now
            self.overtime_since = now if self.overtime_since else 0.0
        time_left_s = self._waits_until() - now
        if time_left_s > 0.0:
            self.timer = owner.loop.call_later(time_left_s, self._check_stall)
        else:
            self.timer = None
            self._fail_malformed("response over time" if self.overtime_since else "response stalled")

    def _waits_until(self) -> float:
        """Return until when a response that has begun is waited for."""
        if not self.overtime_since:
            return self.last_data_at + self.responses.stall_timeout_s()
        return self.overtime_since + MAX_OVERTIME_S

    def _fail_malformed(self, reason: str) -> None:
        """End the attempt, which may have been executed; nothing that follows here can be told apart."""
        attempt = cast(Attempt, self.attempt)
        log.warning("response_malformed endpoint=%s:%d error=%s", *self.pool.address, reason)
        self.close()
        self.owner.finish_attempt(attempt, AttemptResult.without_response(Outcome.RESET))
