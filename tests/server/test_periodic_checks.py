"""Periodic checks continue after one of them raises an exception."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from qos_gateway.server.clients import timeouts as client_timeouts
from tests.support.event_loop import listening, run_on_loop
from tests.support.fake_counter import FakeCounter
from tests.support.gateway_harness import gateway_harness


def raise_transient_error(*_: Any) -> None:
    raise OSError("transient error")


@pytest.mark.parametrize("owner", ["clients", "endpoint connections", "counter", "hangup monitor"])
def test_check_stays_scheduled_after_it_fails(owner: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Without further checks no timeout would fire, and connections, memory and requests would leak."""

    async def test() -> None:
        counter = FakeCounter()
        async with (
            listening(counter),
            gateway_harness(
                f"127.0.0.1:{counter.port}", familyInfo__counter=True, familyInfo__counterTimeout=80_000_000
            ) as harness,
        ):
            gateway = harness.gateway
            await harness.connect_client()
            while not gateway.clients.connections():
                await asyncio.sleep(0.001)
            (client,) = gateway.clients.connections()
            assert gateway.counter is not None
            checked: Any = {
                "clients": gateway.clients.timeout_checker,
                "endpoint connections": gateway.endpoint_connections,
                "counter": gateway.counter,
                "hangup monitor": gateway.clients.context.hangup_monitor,
            }[owner]
            if owner == "hangup monitor":
                checked.set_watched(client, True)
            name, check = {
                "clients": ("_timer", "check"),
                "endpoint connections": ("_sweep_timer", "_sweep"),
                "counter": ("_check_timer", "_check"),
                "hangup monitor": ("_timer", "_check"),
            }[owner]
            monkeypatch.setattr(client_timeouts, "enforce_timeouts", raise_transient_error)
            monkeypatch.setattr(gateway.endpoint_connections.keep_alive, "decay", raise_transient_error)
            monkeypatch.setattr(gateway.counter._connections, "check", raise_transient_error)
            monkeypatch.setattr(type(client), "has_hung_up", raise_transient_error)
            getattr(checked, name).cancel()
            with pytest.raises(OSError, match="transient error"):
                getattr(checked, check)()
            timer = getattr(checked, name)
            assert timer is not None
            assert not timer.cancelled()
            assert timer.when() > asyncio.get_running_loop().time()
            monkeypatch.undo()

    run_on_loop(test)
