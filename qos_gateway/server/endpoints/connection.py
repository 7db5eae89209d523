"""A connection to an endpoint, which is connecting, active with one attempt, idle or closed."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from contextlib import suppress
from typing import Protocol, cast

import hiredis

from ...types import Outcome
from ..config import Address
from ..memory.budget import MemoryReservation, Priority
from ..networking.read_size import read_size_bytes, value_read_size_bytes
from ..networking.transient_errors import is_resource_shortage
from ..observability.logs import RateLimitFilter
from ..observability.memory_uses import MemoryUse
from .attempt import Attempt
from .connection_context import ConnectionContext
from .response_deadline import ResponseDeadline
from .response_receiver import ResponseReceiver
from .responses import AttemptResult

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

RECEIVE_BUFFER_BYTES = 64 << 10  # kernel receive buffer; limits the size of one read
# An incomplete response up to this size is counted with its request.
SMALL_RESPONSE_BYTES = 1 << 10
# Time after the last byte of a request in which a reset is the reply to it; longer than a round trip.
STALE_RESET_WINDOW_S = 0.02


class ConnectionListener(Protocol):
    """Receives the state changes of a connection."""

    def on_connected(self, connection: EndpointConnection, /) -> None:
        """Send the attempt that the connection was opened for, or close the connection."""

    def on_released(self, connection: EndpointConnection, /) -> None:
        """Return an idle connection to the pool for reuse, or close it."""

    def on_closed(self, connection: EndpointConnection, /) -> None:
        """Remove a closed connection; may be called more than once per connection."""


class EndpointConnection(asyncio.BufferedProtocol):
    """A connection that carries one attempt at a time.

    An attempt is fully sent once the write buffer is empty. A response is received once there is memory for
    it; until then it stays with the system.
    """

    memory_use = MemoryUse.RESPONSES  # of the memory that it may wait for

    __slots__ = (
        "address",
        "attempt",
        "connect_task",
        "context",
        "deadline",
        "has_unsent",
        "idle_before_request_s",
        "idle_since",
        "listener",
        "memory",
        "responses",
        "timer",
        "transport",
        "unread_poll",
        "written_at",
    )

    def __init__(
        self, address: Address, attempt: Attempt, listener: ConnectionListener, context: ConnectionContext
    ) -> None:
        """Create a connection for `attempt`; `connect` opens it."""
        self.address = address
        self.listener = listener
        self.context = context
        self.attempt: Attempt | None = attempt  # None while idle or closed
        self.transport: asyncio.Transport | None = None  # None until connected
        self.connect_task: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None  # connect timeout, then response timeout
        self.responses = ResponseReceiver(context.clock, context.attempt_listener)
        self.memory = MemoryReservation(context.memory, MemoryUse.RESPONSES)
        self.deadline = ResponseDeadline()
        self.unread_poll = select.poll()  # created once, as it is used before each request
        self.has_unsent = True
        self.written_at = 0.0
        self.idle_since = 0.0  # 0 until the first response is complete
        self.idle_before_request_s: float | None = None  # None for the first request

    # States.

    def is_connecting(self) -> bool:
        """Return whether the connection is being established for its first attempt."""
        return self.transport is None and self.attempt is not None

    def is_active(self) -> bool:
        """Return whether the connection is established and has an attempt in flight."""
        return self.transport is not None and self.attempt is not None

    def is_idle(self) -> bool:
        """Return whether the connection is established and has no attempt in flight."""
        return self.attempt is None and self.transport is not None and not self.transport.is_closing()

    def is_closed(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self.attempt is None if self.transport is None else self.transport.is_closing()

    @property
    def is_paused(self) -> bool:
        """Return whether the gateway does not read the response, for lack of memory or a slow client."""
        return self.deadline.is_paused

    def is_expired(self, now: float) -> bool:
        """Return whether it was idle for so long that the endpoint may have dropped the connection."""
        return now - self.idle_since >= self.context.keep_alive.idle_limit_s

    def is_reusable(self) -> bool:
        """Return whether it is idle and its socket has no unread data and no pending end of stream.

        A duplicate response would be read as the response to the next request. A request written after the
        end of the stream would count as possibly executed.
        """
        return self.is_idle() and not self.unread_poll.poll(0)

    # Transitions.

    def connect(self, timeout_s: float) -> None:
        """Open the connection; if that fails, its attempt ends as not executed."""
        loop = self.context.loop
        self.timer = loop.call_later(timeout_s, self.fail, Outcome.CONNECT_FAILED)
        self.connect_task = loop.create_task(self._connect())

    async def _connect(self) -> None:
        try:
            await self.context.loop.create_connection(lambda: self, *self.address)
        except OSError as error:
            self.fail(Outcome.NOT_SENT if is_resource_shortage(error) else Outcome.CONNECT_FAILED)

    def send(self, attempt: Attempt, now_ns: int) -> None:
        """Write the command of `attempt`; `now_ns` is the current time on the gateway's clock."""
        transport = self.transport
        assert transport is not None  # callers send only on established connections
        context = self.context
        attempt.connection = self
        self.attempt = attempt
        self.has_unsent = True
        self.deadline.reset()
        self.written_at = context.time()
        if self.idle_since:
            self.idle_before_request_s = self.written_at - self.idle_since
            context.keep_alive.record_reuse(self.idle_before_request_s)
        transport.writelines(attempt.payload(now_ns))
        # A write to a broken connection sends nothing and leaves the transport closing.
        self.has_unsent = transport.is_closing() or transport.get_write_buffer_size() > 0
        if not self.has_unsent:
            context.reporter.record_written(attempt)

    def fail(self, outcome: Outcome) -> None:
        """Close the connection and end its attempt, if any, without a response."""
        attempt = self.attempt
        self.close()
        if attempt is not None:
            self.context.reporter.finish(attempt, AttemptResult.without_response(outcome))

    def close(self) -> None:
        """Close immediately, discarding unsent and received data; the attempt is not ended."""
        if self.is_connecting() and self.connect_task is not None:
            self.connect_task.cancel()
        elif self.is_active():
            self._shut_down()
        self.attempt = None
        self.cancel_timer()
        self.release_memory()
        if self.transport is not None:
            self.transport.abort()
        self.listener.on_closed(self)

    def _shut_down(self) -> None:
        """Shut the socket down now; the transport does so only in a later iteration of the event loop.

        Until then the request's next attempt could be written, and unsent bytes could still be sent.
        """
        transport = cast(asyncio.Transport, self.transport)
        if transport.is_closing():
            return
        descriptor = transport.get_extra_info("socket").fileno()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, descriptor)
        with suppress(OSError):  # the endpoint has already closed the connection
            sock.shutdown(socket.SHUT_RDWR)
        sock.detach()

    def cancel_timer(self) -> None:
        """Cancel the connect timeout or the response timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Memory of an incomplete response.

    def release_memory(self) -> None:
        """Release the memory of a response, and wait for none."""
        self.memory.release()
        self.context.memory.discard(self)

    def _reserve_memory(self, attempt: Attempt) -> None:
        """Reserve memory for the whole response, or pause until there is room."""
        if self.responses.expected_bytes <= SMALL_RESPONSE_BYTES:
            return
        priority = self.context.attempt_listener.memory_priority(attempt)
        if self.memory.resize(self.responses.expected_bytes, priority or Priority.ADDITIONAL):
            return
        self.memory.set_size(max(self.memory.size_bytes, self.responses.held_bytes))
        if priority is None or not self.context.memory.may_wait_for_response():
            self.context.attempt_listener.on_response_without_memory(attempt)
            self.fail(Outcome.CANCELLED)
            return
        self.pause()
        attempt.response_started_at_ns = attempt.response_started_at_ns or self.context.clock()
        if attempt.timer is not None:
            attempt.timer.cancel()  # the endpoint has responded in time
        self.context.memory.enqueue(self)

    @property
    def needed_bytes(self) -> int:
        """The memory that the response waits for."""
        return self.responses.expected_bytes - self.memory.size_bytes

    @property
    def priority(self) -> Priority:
        """The priority of the memory that the response waits for."""
        attempt = self.attempt
        priority = None if attempt is None else self.context.attempt_listener.memory_priority(attempt)
        return Priority.ADDITIONAL if priority is None else priority

    def grant_memory(self) -> None:
        """Reserve the memory that the response waits for, and read on."""
        self.memory.set_size(self.responses.expected_bytes)
        self.resume()

    # Flow control of a large value.

    def pause(self) -> None:
        """Stop reading until `resume`, because the client reads the value more slowly than it arrives."""
        if not self.deadline.is_paused and not self.is_closed():
            self.deadline.is_paused = True
            cast(asyncio.Transport, self.transport).pause_reading()

    def resume(self) -> None:
        """Resume reading after `pause`."""
        if self.deadline.is_paused and not self.is_closed():
            self.deadline.resume(self.context.time())
            cast(asyncio.Transport, self.transport).resume_reading()

    # Callbacks from the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket and report the connection as established."""
        was_closed = self.is_closed()  # closed while connecting
        self.transport = cast(asyncio.Transport, transport)
        if was_closed:
            self.transport.abort()
            return
        # A limit of 0 makes each write immediate, and `pause_writing` reports that bytes remain unsent.
        self.transport.set_write_buffer_limits(high=0)
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.unread_poll.register(sock.fileno(), select.POLLIN)
        self.cancel_timer()
        self.listener.on_connected(self)

    def pause_writing(self) -> None:
        """Record that part of the request is still in the write buffer."""
        self.has_unsent = True

    def resume_writing(self) -> None:
        """Record that the last byte of the request has been sent."""
        if self.has_unsent and self.attempt is not None:
            self.context.reporter.record_written(self.attempt)
        self.has_unsent = False

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - signature of asyncio.BufferedProtocol
        """Return the buffer for the next read."""
        memory, responses = self.context.memory, self.responses
        if responses.value_missing_bytes:
            is_reserved = self.memory.size_bytes > 0
            size_bytes = value_read_size_bytes(memory, responses.value_missing_bytes, is_reserved)
        else:
            size_bytes = read_size_bytes(memory)
        return self.context.read_buffer[:size_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes of a read."""
        self.data_received(bytes(self.context.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and end the attempt when its response is complete."""
        attempt = self.attempt
        if attempt is None or self.has_unsent:
            self.fail(Outcome.CONNECT_FAILED)  # data before the request is sent belongs to no request
            return
        try:
            result = self.responses.receive(attempt, data, self)
        except (ValueError, hiredis.ProtocolError) as error:
            # The framing, the syntax or the content of the response is invalid.
            self._fail_response(str(error))
            return
        if result is None:
            self._await_more_data()
            self._reserve_memory(attempt)
            return
        if self.timer is not None:
            self.cancel_timer()
        self.attempt = None
        if self.responses.consumed_all_data:
            if self.deadline.is_paused:
                self.resume()
            self.idle_since = self.context.time()
            self.listener.on_released(self)
        else:
            self.close()  # more data may follow that belongs to no request
        self.context.reporter.finish(attempt, result)
        self.release_memory()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002  # the cause does not matter
        """End the attempt, and record a reset that follows a request on a reused connection."""
        attempt = self.attempt
        self.attempt = None
        self.cancel_timer()
        self.release_memory()
        self.listener.on_closed(self)
        if attempt is None:
            return
        if self.idle_before_request_s is not None and self._is_stale_reset():
            self.context.keep_alive.record_reset(self.idle_before_request_s)
        outcome = Outcome.CONNECT_FAILED if self.has_unsent else Outcome.RESET
        self.context.reporter.finish(attempt, AttemptResult.without_response(outcome))

    def _is_stale_reset(self) -> bool:
        """Return whether the connection ended right after the request, before any byte of a response."""
        since_written_s = self.context.time() - self.written_at
        return not self.responses.has_partial_response() and since_written_s <= STALE_RESET_WINDOW_S

    # Deadline of a partially received response.

    def start_deadline_grace(self) -> None:
        """Limit the remaining time of the response, because its client's deadline has passed."""
        self.deadline.start_grace(self.context.time())
        self.cancel_timer()
        self._check_deadline()

    def _await_more_data(self) -> None:
        self.deadline.last_data_at = self.context.time()
        if self.timer is None:
            self.timer = self.context.loop.call_later(self._stall_timeout_s(), self._check_deadline)

    def _stall_timeout_s(self) -> float:
        attempt = self.attempt
        may_retry = attempt is None or self.context.attempt_listener.may_retry(attempt)
        return self.responses.stall_timeout_s(may_retry)

    def _check_deadline(self) -> None:
        """Fail the response if its deadline has passed, otherwise schedule the next check."""
        time_left_s = self.deadline.time_left_s(self.context.time(), self._stall_timeout_s())
        if time_left_s > 0.0:
            self.timer = self.context.loop.call_later(time_left_s, self._check_deadline)
        else:
            self.timer = None
            in_grace = self.deadline.grace_started_at > 0.0
            self._fail_response("response over time" if in_grace else "response stalled")

    def _fail_response(self, reason: str) -> None:
        """Close, and end the attempt as possibly executed: what follows on the connection is unreadable."""
        log.warning("response_malformed endpoint=%s:%d error=%s", *self.address, reason)
        self.fail(Outcome.RESET)
