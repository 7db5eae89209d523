"""System calls that fail for a moment at the start and at a reload."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.server.admin import server as admin
from qos_gateway.server.admin.server import AdminServer
from qos_gateway.server.config import ConfigUnreadableError
from qos_gateway.server.config import reloader as config_reload
from qos_gateway.server.config.reloader import ConfigReloader, load_at_start
from qos_gateway.server.gateway import GatewayProcess
from qos_gateway.server.handover.channel import HandoverChannel
from qos_gateway.server.networking.transient_errors import RETRY_INTERVAL_S
from tests.support.admin import FakeAdminHandler
from tests.support.configurations import make_config, raw_config
from tests.support.descriptors import no_descriptors_left
from tests.support.event_loop import LOOPBACK, listening, run_on_loop, wait_until, with_timeout
from tests.support.fake_discovery import FakeDiscovery, endpoint_entry, endpoint_list
from tests.support.fake_endpoint import FakeEndpoint
from tests.support.processes import running


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
        discovery, endpoint = FakeDiscovery(), FakeEndpoint()
        async with listening(discovery), listening(endpoint):
            discovery.first_update = endpoint_list(1, endpoint_entry("s-1", endpoint.port))
            gateway = GatewayProcess(make_config(discovery.port))
            await with_timeout(gateway.start())
            assert gateway.parts.clients.port > 0
            await gateway.parts.discovery.close()
            gateway.parts.endpoint_connections.close()
            gateway.parts.clients.abort()

    run_on_loop(test)


def test_operators_address_is_tried_again_where_no_socket_can_be_had_for_a_moment(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The event loop tells of no error then: it returns a server without a socket."""
    monkeypatch.setattr(admin, "BIND_RETRY_INTERVAL_S", 0.01)

    async def test() -> None:
        server = AdminServer((LOOPBACK, 0), FakeAdminHandler())
        with no_descriptors_left():
            await server.start()
        await wait_until(lambda: server.port > 0)
        server.close()

    run_on_loop(test)


def test_start_waits_for_a_configuration_that_cannot_be_read_for_a_moment(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(1)))
    failures = [errno.ENFILE, errno.EIO]
    read_bytes = Path.read_bytes

    def fail_for_a_moment(self: Path) -> bytes:
        if failures:
            raise OSError(failures.pop(), "for a moment")
        return read_bytes(self)

    monkeypatch.setattr(Path, "read_bytes", fail_for_a_moment)
    assert load_at_start({"ROUTER_CONFIG": str(path)}).name == "n0"


@pytest.mark.parametrize("content", [None, '{"name": '])
def test_start_does_not_wait_for_a_configuration_that_is_missing_or_broken(
    tmp_path: Path, content: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "config.json"
    if content is not None:
        path.write_text(content)
    monkeypatch.setattr(time, "sleep", None)
    with pytest.raises(ConfigUnreadableError):
        load_at_start({"ROUTER_CONFIG": str(path)})


def test_wrong_values_are_reported_once_and_not_read_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "config.json"
    path.write_text("{}")
    monkeypatch.setenv("ROUTER_CONFIG", str(path))

    async def test() -> None:
        taken: list[Any] = []
        reloader = ConfigReloader(taken.append)
        reloader.request()
        path.write_text(json.dumps(raw_config(1)))
        await asyncio.sleep(3 * RETRY_INTERVAL_S)
        assert taken == []
        assert caplog.text.count("configuration_invalid") == 1
        reloader.request()
        assert len(taken) == 1

    run_on_loop(test)


def test_reload_of_a_file_that_stays_unreadable_is_given_up_and_said(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(config_reload, "RELOAD_RETRY_TIME_S", 0.1)
    monkeypatch.setenv("ROUTER_CONFIG", str(tmp_path / "missing.json"))

    async def test() -> None:
        taken: list[Any] = []
        ConfigReloader(taken.append).request()
        await wait_until(lambda: "configuration_given_up kept=previous" in caplog.text)
        assert taken == []

    run_on_loop(test)


def test_admin_api_is_listened_for_again_where_no_socket_can_be_had(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(admin, "BIND_RETRY_INTERVAL_S", 0.005)

    async def test() -> None:
        server = AdminServer(("127.0.0.1", 0), FakeAdminHandler())
        listen = server._listen
        failures = [errno.ENFILE]

        async def fail_once() -> None:
            if failures:
                raise OSError(failures.pop(), "for a moment")
            await listen()

        monkeypatch.setattr(server, "_listen", fail_once)
        await server.start()
        await wait_until(lambda: server._server is not None)
        server.close()

    run_on_loop(test)


def test_start_goes_on_without_the_other_process_where_no_socket_can_be_had(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        channel = HandoverChannel(str(tmp_path), "n0", None)  # type: ignore[arg-type]

        def fail(*_: Any) -> None:
            raise OSError(errno.ENFILE, "for a moment")

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", fail)
            assert await channel.request_state() is None
            await channel.listen()
        assert "handover_unreachable" in caplog.text
        assert "handover_listen_failed" in caplog.text

    run_on_loop(test)
