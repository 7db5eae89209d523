"""HTTP/1.1 for the admin API, without I/O: each connection carries one request and its response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11

MAX_HEAD_BYTES = 8 << 10  # browsers send smaller heads
MAX_BODY_BYTES = 256  # the body is the identifier of one endpoint

# h11 changes from the first state to the second when it receives the head of the request.
H11_STATES_BEFORE_RESPONSE = (h11.IDLE, h11.SEND_RESPONSE)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The method of a request, and its path without the query."""

    method: str
    path: str


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A complete request; the body is decoded text without surrounding whitespace."""

    head: RequestHead
    body: str


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A plain-text response."""

    status: int
    body: bytes
    allowed_method: str | None = None  # sent in the Allow header, which status 405 requires


class HttpError(Exception):
    """Rejects a request with a status and a reason, and for status 405 also with the allowed method."""

    def __init__(self, status: int, reason: str, allowed_method: str | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.allowed_method = allowed_method

    def to_response(self) -> HttpResponse:
        """Return the response to the rejected request."""
        return HttpResponse(self.status, f"{self}\n".encode(), self.allowed_method)


class HttpExchange:
    """Parses the only request of a connection, and encodes the response."""

    def __init__(self, check_head: Callable[[RequestHead], object]) -> None:
        """`check_head` runs before the body is read, and raises `HttpError` to reject the request."""
        self._check_head = check_head
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._head: RequestHead | None = None
        self._body = b""

    def receive(self, data: bytes) -> AdminRequest | None:
        """Parse `data`; return the request once it is complete, else None; raises `HttpError` if invalid."""
        try:
            self._http.receive_data(data)
            while True:
                event = self._http.next_event()
                if isinstance(event, h11.Request):
                    self._start_request(event)
                elif isinstance(event, h11.Data):
                    self._extend_body(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self._finish_request()
                else:  # More data is needed, or the client has closed the connection.
                    return None
        except h11.RemoteProtocolError as error:
            raise HttpError(error.error_status_hint, f"no call: {error}") from None

    def encode_continue(self) -> bytes:
        """Return a 100 Continue response if the client waits for it before the body, else no bytes."""
        if not self._http.they_are_waiting_for_100_continue:
            return b""
        return self._http.send(h11.InformationalResponse(status_code=100, headers=[])) or b""

    def encode(self, response: HttpResponse) -> bytes:
        """Return the bytes of the response, or no bytes if a response was already encoded."""
        if self._http.our_state not in H11_STATES_BEFORE_RESPONSE:
            return b""
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            ("Content-Length", str(len(response.body))),
            ("Connection", "close"),
        ]
        if response.allowed_method is not None:
            headers.append(("Allow", response.allowed_method))
        data = self._http.send(h11.Response(status_code=response.status, headers=headers)) or b""
        if self._head is None or self._head.method != "HEAD":
            data += self._http.send(h11.Data(data=response.body)) or b""
        return data

    def _start_request(self, request: h11.Request) -> None:
        method = request.method.decode("ascii", "replace")
        path = request.target.decode("ascii", "replace").partition("?")[0]
        self._head = RequestHead(method, path)
        self._check_head(self._head)

    def _extend_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            raise HttpError(413, "body too long")

    def _finish_request(self) -> AdminRequest:
        if self._head is None:
            raise RuntimeError("h11 reported the end of a request without its start")
        try:
            body = self._body.decode().strip()
        except UnicodeDecodeError:
            raise HttpError(400, "the body is no text") from None
        return AdminRequest(self._head, body)
