"""The operators' door: HTTP/1.1 on an address of its own, one call to a connection."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable
from typing import Protocol, cast

import h11

from .config import Address
from .logs import RateLimitFilter

log = logging.getLogger(__name__)
log.addFilter(RateLimitFilter())

MAX_HEAD_BYTES = 8 << 10  # bytes of a call's head: a browser's are smaller
MAX_BODY_BYTES = 256  # bytes of a body: one id
MAX_CONNECTIONS = (
    24  # connections at once; one more makes whoever has been slowest to finish its call give way
)
REQUEST_TIMEOUT_S = (
    2.0  # s from connecting in which a call must be whole: operators wait half as long for the answer
)
CLOSE_TIMEOUT_S = 0.5  # s for a caller to take the answer and close
BIND_RETRY_INTERVAL_S = 0.25  # s between tries for an address that the process before still has


class AdminHandler(Protocol):
    """What the door needs of the gateway."""

    def accepts_clients(self) -> bool: ...

    def render_metrics(self) -> bytes: ...

    def set_endpoint_disabled(self, name: str, disabled: bool) -> Awaitable[bool]: ...


class HttpError(Exception):
    """A call that gets a no, with status and reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


_ROUTES = {
    "/ops/readiness": "GET",
    "/ops/stats": "GET",
    "/ops/order-servers/down": "POST",
    "/ops/order-servers/up": "POST",
}


class AdminConnection(asyncio.Protocol):
    """One connection: it is `waited_for` until its call has come whole."""

    def __init__(self, door: AdminServer) -> None:
        self.server = door
        self.awaits_request = True
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body = b""
        self._transport: asyncio.Transport | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = self.server.loop.call_later(REQUEST_TIMEOUT_S, self._timed_out)
        self.server.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if not self.awaits_request:
            return  # the one call has come; what follows it is read and dropped
        try:
            self._http.receive_data(data)
            while self.awaits_request:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    if self._http.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[])
                        self._write(self._http.send(go_on))
                    return
                if isinstance(event, h11.Request):
                    self._request = event
                    self._check_route()
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_BODY_BYTES:
                        raise HttpError(413, "body too long")
                elif isinstance(event, h11.EndOfMessage):
                    self.awaits_request = False
                    self.server.handle(self, *self._target_and_body())
                else:
                    return  # the caller has closed
        except h11.RemoteProtocolError as error:
            self.answer(error.error_status_hint, f"no call: {error}\n".encode())
        except HttpError as no:
            self.answer(no.status, f"{no}\n".encode())

    def _target_and_body(self) -> tuple[str, str]:
        target = cast(h11.Request, self._request).target.decode("ascii", "replace").partition("?")[0]
        try:
            return target, self._body.decode().strip()
        except UnicodeDecodeError:
            raise HttpError(400, "the body is no text") from None

    def _check_route(self) -> None:
        request = cast(h11.Request, self._request)
        method = _ROUTES.get(self._target_and_body()[0])
        if method is None:
            raise HttpError(404, "no such call")
        if request.method.decode("ascii", "replace") != method:
            raise HttpError(405, f"this call is a {method}")

    def _timed_out(self) -> None:
        self.answer(408, b"no whole call in time\n")

    def _write(self, data: bytes | None) -> None:
        transport = cast(asyncio.Transport, self._transport)
        if data and not transport.is_closing():
            transport.write(data)

    def answer(self, status: int, text: bytes) -> None:
        """The one answer; the caller closes, or is closed a moment later."""
        self.awaits_request = False
        if self._timer is not None:
            self._timer.cancel()
        transport = cast(asyncio.Transport, self._transport)
        if transport.is_closing():
            return
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [
                ("Content-Type", "text/plain; charset=utf-8"),
                ("Content-Length", str(len(text))),
                ("Connection", "close"),
            ]
            if status == 405:
                headers.append(("Allow", _ROUTES[self._target_and_body()[0]]))
            self._write(self._http.send(h11.Response(status_code=status, headers=headers)))
            if self._request is None or self._request.method != b"HEAD":
                self._write(self._http.send(h11.Data(data=text)))
        # Half-close: to close on bytes that came unread would reset the connection, answer and all.
        transport.write_eof()
        self._timer = self.server.loop.call_later(CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.awaits_request = False
        if self._timer is not None:
            self._timer.cancel()
        self.server.connection_closed(self)


class AdminServer:
    """The listening socket and the callers in front of it."""

    def __init__(self, address: Address, desk: AdminHandler) -> None:
        self.loop = asyncio.get_running_loop()
        self.port = 0
        self._address, self._handler = address, desk
        self._connections: dict[AdminConnection, None] = {}  # oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; an address that is still taken is tried for again, as the clients' work comes first."""
        try:
            await self._listen()
        except OSError as error:
            log.error("operators' door %s:%d: %s", *self._address, error)
            if error.errno == errno.EADDRINUSE:
                self._spawn(self._listen_later())

    async def _listen(self) -> None:
        self._server = await self.loop.create_server(
            lambda: AdminConnection(self), *self._address, backlog=64
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        log.info("operators' door at %s:%d", self._address[0], self.port)

    async def _listen_later(self) -> None:
        while self._server is None:
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            try:
                await self._listen()
            except OSError:
                continue

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def connection_opened(self, caller: AdminConnection) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            oldest = next((c for c in self._connections if c.awaits_request), next(iter(self._connections)))
            log.warning("operators' door is crowded: the oldest caller without a whole call is closed")
            self.connection_closed(oldest)
            oldest.abort()
        self._connections[caller] = None

    def connection_closed(self, caller: AdminConnection) -> None:
        self._connections.pop(caller, None)

    def handle(self, caller: AdminConnection, target: str, body: str) -> None:
        """Answers at once, but for calls that the process next door must hear of too."""
        if target == "/ops/readiness":
            ready = self._handler.accepts_clients()
            caller.answer(200 if ready else 503, b"ready\n" if ready else b"not taking clients\n")
        elif target == "/ops/stats":
            caller.answer(200, self._handler.render_metrics())
        else:
            self._spawn(self._set_endpoint_enabled(caller, body, target.endswith("/down")))

    async def _set_endpoint_enabled(self, caller: AdminConnection, name: str, out: bool) -> None:
        if not name:
            return caller.answer(400, b"the body names no order server\n")
        try:
            known = await self._handler.set_endpoint_disabled(name, out)
        except Exception:
            log.exception("order server %r could not be %s", name, "left out" if out else "used again")
            return caller.answer(500, b"internal fault\n")
        log.warning(
            "operators: order server %.80s %s",
            name,
            "is not known" if not known else "is left out" if out else "is used again",
        )
        caller.answer(200 if known else 404, b"done\n" if known else b"no such order server\n")

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for caller in list(self._connections):
            caller.abort()
