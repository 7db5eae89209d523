"""One watch on discovery: an HTTP request whose response goes on for as long as the connection lasts."""

from __future__ import annotations

import asyncio
import logging
import select
from collections.abc import Callable
from math import inf
from typing import Any, cast

import h11

from .endpoint_list import ListError
from .json_objects import JsonObjectReader

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 5.0  # an idle watch brings an empty line every 2 s, so two were missed
HEARTBEAT_TIMEOUT_S = 2.5  # of which one was missed, where the time is short
MAX_OBJECT_BYTES = 4 << 20  # some 20,000 endpoints; a longer object is no list
MAX_RETRY_AFTER_DIGITS = 5
STATUS_OK = 200
OVERLOAD_STATUSES = (429, 503)


def parse_retry_after(value: bytes) -> float:
    """Return the seconds of a Retry-After header; 0.0 for a date or anything else."""
    return float(value) if value.isdigit() and len(value) <= MAX_RETRY_AFTER_DIGITS else 0.0


class WatchConnection(asyncio.Protocol):
    """One HTTP exchange; `ended` is done when nothing more can come of it.

    `was_overloaded` and `retry_after_s` tell of a rejection, `complete_at` when the stream last ended with a
    complete object or an empty line, None if it never did.
    """

    def __init__(
        self,
        host: str,
        version: int | None,
        on_object: Callable[[Any], None],
        give_up_silent_at: float = inf,
    ) -> None:
        """Take `give_up_silent_at` as the time at which a watch that is silent is given up early."""
        self._loop = asyncio.get_running_loop()
        self._host = host
        self._version = version
        self._http = h11.Connection(h11.CLIENT)
        self._reader = JsonObjectReader(on_object)
        self._last_data_at = self._loop.time()
        self._give_up_silent_at = give_up_silent_at
        self._has_data = False
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None
        self.ended: asyncio.Future[None] = self._loop.create_future()
        self.was_overloaded = False
        self.retry_after_s = 0.0
        self.complete_at: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the watch was closed while it connected."""
        self._transport = cast(asyncio.Transport, transport)
        if self.ended.done():
            self._transport.abort()
            return
        self._transport.write(self._encode_request())
        self._check_idle()

    def _encode_request(self) -> bytes:
        request = h11.Request(
            method="GET",
            target=f"/api/targets?stream=1&index={self._version or 0}",
            headers=[("Host", self._host), ("Accept", "application/json")],
        )
        head = self._http.send(request) or b""
        return head + (self._http.send(h11.EndOfMessage()) or b"")

    def _check_idle(self) -> None:
        """End the watch if nothing came for too long: a machine that is gone closes no connection."""
        time_left_s = self._idle_until() - self._loop.time()
        if time_left_s <= 0:
            self._finish("idle_timeout")
        else:
            self._timer = self._loop.call_later(time_left_s, self._check_idle)

    def _idle_until(self) -> float:
        """Return when it is given up unless data comes before."""
        idle_until = self._last_data_at + IDLE_TIMEOUT_S
        if self._last_data_at >= self._give_up_silent_at:
            return idle_until
        heartbeat_until = self._last_data_at + HEARTBEAT_TIMEOUT_S if self._has_data else 0.0
        return min(idle_until, max(self._give_up_silent_at, heartbeat_until))

    def data_received(self, data: bytes) -> None:
        """Read the response as far as it has come."""
        try:
            self._http.receive_data(data)
            while not self.ended.done():
                event = self._http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return
                self._on_event(event)
        except (h11.RemoteProtocolError, ListError, ValueError) as error:
            self._finish(f"invalid_response error={error}")

    def _on_event(self, event: object) -> None:
        if isinstance(event, h11.Response) and event.status_code != STATUS_OK:
            self._on_rejection(event)
        elif isinstance(event, h11.Data):
            self._read_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
            self._finish("response_ended")

    def _on_rejection(self, response: h11.Response) -> None:
        self.was_overloaded = response.status_code in OVERLOAD_STATUSES
        self.retry_after_s = parse_retry_after(dict(response.headers).get(b"retry-after", b""))
        self._finish(f"status_{response.status_code}")

    def _read_body(self, data: bytes) -> None:
        self._last_data_at = self._loop.time()  # a head with no body behind it counts as idle
        self._has_data = True
        for line in self._reader.split_lines(data):
            self._reader.read_line(line)
            if self._reader.is_between_objects():
                self.complete_at = self._last_data_at
        if self._reader.buffered_bytes() > MAX_OBJECT_BYTES:
            self._finish("object_too_long")

    def has_unread_data(self) -> bool:
        """Return whether the socket holds bytes, or an end, that the event loop has not read."""
        if self._transport is None or self._transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch."""
        self._finish(f"connection_lost error={exc}" if exc else "connection_closed")

    def _finish(self, reason: str) -> None:
        if not self.ended.done():
            log.warning("discovery_watch_ended reason=%s", reason)
            self.ended.set_result(None)

    def close(self) -> None:
        """Close the connection, now or as soon as it comes up."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()
        if not self.ended.done():
            self.ended.cancel()
