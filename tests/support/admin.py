"""The admin API with a handler of the test, and requests to it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from qos_gateway.server.admin.server import AdminServer
from tests.support.event_loop import LOOPBACK


class FakeAdminHandler:
    """Records the calls of the admin API, and returns fixed results."""

    def __init__(self) -> None:
        self.is_accepting = True
        self.calls: list[tuple[str, bool]] = []

    def accepts_clients(self) -> bool:
        return self.is_accepting

    def render_metrics(self) -> bytes:
        return b"a:1|c\n"

    async def set_endpoint_disabled(self, name: str, disabled: bool) -> bool:
        self.calls.append((name, disabled))
        if name == "fault":
            raise RuntimeError("broken")
        return name == "s-1"


@asynccontextmanager
async def admin_server(handler: FakeAdminHandler) -> AsyncIterator[AdminServer]:
    server = AdminServer((LOOPBACK, 0), handler)
    await server.start()
    try:
        yield server
    finally:
        server.close()


def get_request(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()


def post_request(path: str, body: bytes) -> bytes:
    return b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (path.encode(), len(body), body)
