"""System calls that fail for a moment at the start and at a reload."""

from __future__ import annotations

import errno
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.server.gateway import GatewayProcess
from tests.server.test_process import running
from tests.support.servers import (
    FakeBackend,
    FakeDiscovery,
    endpoint_entry,
    endpoint_list,
    listening,
    make_config,
    raw_config,
    run_on_loop,
    with_timeout,
)


def test_reload_is_tried_again_where_the_file_cannot_be_read_for_a_moment(tmp_path: Path) -> None:
    """The platform signals once: a reload given up would leave the gateway with discovery's old address."""

    async def test() -> None:
        agent = FakeDiscovery()
        async with listening(agent), running(tmp_path) as process:
            process.path.rename(process.path.with_suffix(".away"))
            process.process.send_signal(signal.SIGHUP)
            await process.logged(b"configuration_invalid")
            process.path.write_text(json.dumps(raw_config(agent.port)))
            assert b"index=1 " in await with_timeout(agent.requests.get())

    run_on_loop(test)


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
