"""A watch on discovery: an HTTP request with a streamed response that lasts as long as the connection."""

from __future__ import annotations

import asyncio
import logging
import select
from collections.abc import Callable
from enum import Enum, auto
from math import inf
from typing import Any, cast

import h11

from .errors import EndpointListError
from .field_names import WATCH_TARGET
from .json_objects import JsonObjectReader
from .watch_end_reason import WatchEndReason

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 5.0  # two missed heartbeats; discovery sends one every 2 s
HEARTBEAT_TIMEOUT_S = 2.5  # one missed heartbeat
MAX_OBJECT_BYTES = 4 << 20  # about 20,000 endpoints
MAX_RETRY_AFTER_DIGITS = 5
STATUS_OK = 200
OVERLOAD_STATUSES = (429, 503)


class WatchOutcome(Enum):
    """The result of a watch, on which the delay before the next depends."""

    UP_TO_DATE = auto()  # the list was up to date at some time during the watch
    OVERLOADED = auto()  # discovery rejected the request with status 429 or 503
    FAILED = auto()  # any other result


def parse_retry_after(value: bytes) -> float:
    """Return the seconds of a Retry-After header; 0.0 for a date or an invalid value."""
    return float(value) if value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS else 0.0


class WatchConnection(asyncio.Protocol):
    """One HTTP exchange; `ended` is done when no further object can be received.

    `retry_after_s` is taken from the Retry-After header of a rejection, 0.0 without one. `up_to_date_at_s` is
    when the last complete object or heartbeat was read, None if there was none.
    """

    def __init__(
        self,
        host: str,
        version: int | None,
        on_object: Callable[[Any], None],
        silence_deadline_s: float = inf,
    ) -> None:
        """Initialize; at `silence_deadline_s` a silent watch ends even before its idle timeout."""
        self._loop = asyncio.get_running_loop()
        self._host = host
        self._version = version
        self._http = h11.Connection(h11.CLIENT)
        self._reader = JsonObjectReader(on_object)
        self._last_data_at_s = self._loop.time()
        self._silence_deadline_s = silence_deadline_s
        self._has_received_body = False
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self._was_overloaded = False
        self.retry_after_s = 0.0
        self.up_to_date_at_s: float | None = None

    def outcome(self) -> WatchOutcome:
        """Return the outcome so far."""
        if self._was_overloaded:
            return WatchOutcome.OVERLOADED
        return WatchOutcome.FAILED if self.up_to_date_at_s is None else WatchOutcome.UP_TO_DATE

    # Opening.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the watch was closed while connecting."""
        self._transport = cast(asyncio.Transport, transport)
        if self.ended.done():
            self._transport.abort()
            return
        self._transport.write(self._encode_request())
        self._check_idle()

    def _encode_request(self) -> bytes:
        request = h11.Request(
            method="GET",
            target=WATCH_TARGET.format(version=self._version or 0),
            headers=[("Host", self._host), ("Accept", "application/json")],
        )
        head = self._http.send(request) or b""
        return head + (self._http.send(h11.EndOfMessage()) or b"")

    # Reading.

    def data_received(self, data: bytes) -> None:
        """Process the received part of the response."""
        try:
            self._http.receive_data(data)
            while not self.ended.done():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except (h11.RemoteProtocolError, EndpointListError, ValueError) as error:
            self._finish(WatchEndReason.INVALID_RESPONSE, error)

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Response) and event.status_code != STATUS_OK:
            self._on_rejection(event)
        elif isinstance(event, h11.Data):
            self._read_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self._finish(WatchEndReason.RESPONSE_ENDED)

    def _on_rejection(self, response: h11.Response) -> None:
        self._was_overloaded = response.status_code in OVERLOAD_STATUSES
        self.retry_after_s = parse_retry_after(dict(response.headers).get(b"retry-after", b""))
        self._finish(WatchEndReason.REJECTED, response.status_code)

    def _read_body(self, data: bytes) -> None:
        self._last_data_at_s = self._loop.time()  # response headers without a body do not count
        self._has_received_body = True
        for line in self._reader.split_lines(data):
            self._reader.read_line(line)
            if self._reader.is_between_objects():
                self.up_to_date_at_s = self._last_data_at_s
        if self._reader.buffered_bytes() > MAX_OBJECT_BYTES:
            self._finish(WatchEndReason.OBJECT_TOO_LONG)

    def has_unread_data(self) -> bool:
        """Return whether the socket holds data or an EOF that the event loop has not read."""
        if self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    # Idle timeout.

    def _check_idle(self) -> None:
        """End the watch if it is silent: a machine that fails does not close its connections."""
        time_left_s = self._idle_deadline_s() - self._loop.time()
        if time_left_s <= 0:
            self._finish(WatchEndReason.IDLE_TIMEOUT)
        else:
            self._timer = self._loop.call_later(time_left_s, self._check_idle)

    def _idle_deadline_s(self) -> float:
        """Return when the watch ends if no data is received before then."""
        idle_deadline_s = self._last_data_at_s + IDLE_TIMEOUT_S
        if self._last_data_at_s >= self._silence_deadline_s:
            return idle_deadline_s
        heartbeat_deadline_s = self._last_data_at_s + HEARTBEAT_TIMEOUT_S if self._has_received_body else 0.0
        return min(idle_deadline_s, max(self._silence_deadline_s, heartbeat_deadline_s))

    # Closing.

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        if exc:
            self._finish(WatchEndReason.CONNECTION_LOST, exc)
        else:
            self._finish(WatchEndReason.CONNECTION_CLOSED)

    def _finish(self, reason: WatchEndReason, detail: object = None) -> None:
        if not self.ended.done():
            log.warning("discovery_watch_ended reason=%s", reason.log_text(detail))
            self.ended.set_result(None)

    def close(self) -> None:
        """Close the connection, immediately or as soon as it is established."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.cancel()
