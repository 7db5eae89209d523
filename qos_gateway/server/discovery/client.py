"""The client of discovery: keeps one watch open, and resumes it from the last version where it broke."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from ..config import Address
from .endpoint_list import EndpointUpdate, ListError, endpoint_id, parse_update
from .watch_connection import WatchConnection
from .watch_schedule import FIRST_LIST_DEADLINE_S, MAX_BACKOFF_S, PROPAGATION_DEADLINE_S, WatchSchedule
from .watched_list import WatchedList

__all__ = ["DiscoveryClient", "EndpointUpdate", "ListError", "endpoint_id", "parse_update"]

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0  # the agent is on this machine


class DiscoveryClient:
    """Keeps one watch open; while there is none, the last list stays in force."""

    def __init__(
        self,
        agent: Address,
        zones: tuple[str, ...],
        machine_classes: tuple[str, ...],
        version: int | None,
        on_update: Callable[[EndpointUpdate], None],
        drain_grace_s: float = 2 * MAX_BACKOFF_S,
    ) -> None:
        self._agent = agent
        self._zones = zones
        self._machine_classes = machine_classes
        self._on_update = on_update
        self._list = WatchedList(version)
        self._schedule = WatchSchedule(drain_grace_s, random.Random())
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._connection: WatchConnection | None = None  # the watch that was opened last

    def start(self) -> None:
        """Open the watch."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def change_agent(self, agent: Address) -> None:
        """Move the watch to another agent at once: the previous one may soon be out of date."""
        if agent == self._agent or self._closed:
            return
        log.info("discovery_address_changed to=%s:%d", *agent)
        self._agent = agent
        self._schedule.on_moved(asyncio.get_running_loop().time())
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        """Close the watch for good."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def has_unread_data(self) -> bool:
        """Return whether the agent has sent what the event loop has not read yet."""
        return self._connection is not None and self._connection.has_unread_data()

    def current_list(self) -> dict[str, Any] | None:
        """Return the list in discovery's form; None if there was none yet."""
        return self._list.snapshot()

    def note_known(self, update: EndpointUpdate) -> None:
        """Go on from the configuration's list, which is in force already."""
        self._list.note_known(update)

    def adopt_list(self, raw: dict[str, Any]) -> EndpointUpdate:
        """Go on from a list that was known before, and return it; raises `ListError`."""
        update = parse_update(raw, self._zones, self._machine_classes, cached=True)
        self._list.store(raw, update)
        return update

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            called_at = loop.time()
            watch = await self._watch()
            await asyncio.sleep(self._delay_after(watch, called_at, loop.time()))

    async def _watch(self) -> WatchConnection:
        """Open a watch and return it once it has ended."""
        host, port = self._agent
        give_up_at = self._schedule.give_up_silent_at(asyncio.get_running_loop().time())
        watch = WatchConnection(f"{host}:{port}", self._list.version, self._on_object, give_up_at)
        self._connection = watch
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: watch, host, port)
            await watch.ended
        except (OSError, TimeoutError) as error:
            log.warning("discovery_unreachable error=%s", error or type(error).__name__)
        finally:
            watch.close()
        return watch

    def _delay_after(self, watch: WatchConnection, called_at: float, now: float) -> float:
        """Return the seconds to wait after a watch has ended."""
        deadline_s = FIRST_LIST_DEADLINE_S if self._list.version is None else PROPAGATION_DEADLINE_S
        if watch.was_overloaded:
            return self._schedule.delay_after_overload(called_at, now, watch.retry_after_s, deadline_s)
        if watch.complete_at is None:
            return self._schedule.delay_after_failure(called_at, now, deadline_s)
        self._schedule.on_up_to_date(watch.complete_at)
        return self._schedule.delay_after_disconnect()

    def _on_object(self, raw: Any) -> None:
        """Put an update in force; a second watch may repeat versions that are out of date."""
        update = self._list.reconcile(parse_update(raw, self._zones, self._machine_classes))
        if update is not None:
            self._on_update(update)
            self._list.store(raw, update)
