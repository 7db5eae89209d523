"""System calls that fail for a moment at the start and at a reload."""

from __future__ import annotations

import errno
import os
import socket
from typing import Any

import pytest

from qos_gateway.server.gateway import GatewayProcess
from tests.support.servers import (
    FakeBackend,
    FakeDiscovery,
    endpoint_entry,
    endpoint_list,
    listening,
    make_config,
    run_on_loop,
    with_timeout,
)


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_start_is_tried_again_where_no_socket_can_be_had_for_a_moment(
    error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    failures = [error, error]
    create_server = socket.create_server

    def fail_for_a_moment(*arguments: Any, **options: Any) -> socket.socket:
        if failures:
            code = failures.pop()
            raise OSError(code, os.strerror(code))
        return create_server(*arguments, **options)

    monkeypatch.setattr(socket, "create_server", fail_for_a_moment)

    async def test() -> None:
        discovery, backend = FakeDiscovery(), FakeBackend()
        async with listening(discovery), listening(backend):
            discovery.first_update = endpoint_list(1, endpoint_entry("s-1", backend.port))
            gateway = GatewayProcess(make_config(discovery.port))
            await with_timeout(gateway.start())
            assert gateway.clients.port > 0
            await gateway.discovery.close()
            gateway.backends.close()
            gateway.clients.abort()

    run_on_loop(test)
