"""A client of discovery under test, and the waits between its calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from qos_gateway.server.discovery.client import DiscoveryClient, DiscoveryOptions
from qos_gateway.server.discovery.endpoint_list import EndpointUpdate, parse_update
from tests.support.event_loop import LOOPBACK, with_timeout
from tests.support.fake_discovery import FakeDiscovery

ZONES, KINDS = ("a", "b"), ("m1", "m2")


def discovery_client(
    agent: FakeDiscovery,
    version: int | None,
    on_update: Callable[[EndpointUpdate], None],
    **options: float,
) -> DiscoveryClient:
    """Return a client of this agent that is not started yet."""
    return DiscoveryClient(
        DiscoveryOptions(
            agent=(LOOPBACK, agent.port),
            zones=ZONES,
            machine_classes=KINDS,
            known_version=version,
            **options,
        ),
        on_update,
    )


class Follower:
    """Collects what a watch brings."""

    def __init__(self, agent: FakeDiscovery, index: int | None, known: dict[str, Any] | None = None) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.watch = discovery_client(agent, index, self.updates.put_nowait)
        if known is not None:
            self.watch.record_cached_list(parse_update(known, ZONES, KINDS, cached=True))
        self.watch.start()

    async def next(self) -> EndpointUpdate:
        return await with_timeout(self.updates.get())


def record_waits(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Record the waits between calls instead of waiting."""
    waits: list[float] = []
    sleep = asyncio.sleep

    async def short(delay: float) -> None:
        waits.append(delay)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", short)
    return waits
