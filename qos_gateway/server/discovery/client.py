"""The client of discovery: keeps one watch open, and resumes it from the last version after it ends."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..config import Address
from .endpoint_list import EndpointUpdate, parse_update
from .watch_connection import WatchConnection, WatchOutcome
from .watch_schedule import FIRST_LIST_DEADLINE_S, MAX_BACKOFF_S, PROPAGATION_DEADLINE_S, WatchSchedule
from .watched_list import WatchedList

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0  # the agent is on this machine


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class DiscoveryOptions:
    """Where discovery's agent is, and how its lists are read."""

    agent: Address
    zones: tuple[str, ...]  # names, in the order of their indices
    machine_classes: tuple[str, ...]  # the same
    known_version: int | None  # of the list before the first watch; None without one
    drain_grace_s: float = 2 * MAX_BACKOFF_S


class DiscoveryClient:
    """Keeps one watch open; while there is none, the last list stays in force.

    A watch goes through these steps, in `_run`: open, read (each object is parsed, reconciled with the newest
    version, applied and stored), end, and the wait for the next.
    """

    def __init__(self, options: DiscoveryOptions, on_update: Callable[[EndpointUpdate], None]) -> None:
        """Take `on_update` as what applies an update; the watch ends where it raises `EndpointListError`."""
        self._options = options
        self._agent = options.agent
        self._on_update = on_update
        self._list = WatchedList(options.known_version)
        self._schedule = WatchSchedule(options.drain_grace_s, random.Random())
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
        self._schedule.on_agent_changed(asyncio.get_running_loop().time())
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        """Close the watch; no other is opened."""
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

    def record_cached_list(self, update: EndpointUpdate) -> None:
        """Continue from the configuration's list, which is in force already."""
        self._list.record_cached_list(update)

    def restore_list(self, raw: dict[str, Any]) -> EndpointUpdate:
        """Continue from the list of the previous process, and return it; raises `EndpointListError`."""
        update = self._parse(raw, cached=True)
        self._list.store(raw, update)
        return update

    # The steps of a watch.

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            opened_at_s = loop.time()
            watch = self._create_watch(opened_at_s)
            await self._open_and_read(watch)
            await asyncio.sleep(self._delay_after(watch, opened_at_s, loop.time()))

    def _create_watch(self, now_s: float) -> WatchConnection:
        host, port = self._agent
        silence_deadline_s = self._schedule.silence_deadline_s(now_s)
        watch = WatchConnection(f"{host}:{port}", self._list.version, self._on_object, silence_deadline_s)
        self._connection = watch
        return watch

    async def _open_and_read(self, watch: WatchConnection) -> None:
        """Connect, and return once the watch has ended; `_on_object` gets what it reads."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: watch, *self._agent)
            await watch.ended
        except (OSError, TimeoutError) as error:
            log.warning("discovery_unreachable error=%s", error or type(error).__name__)
        finally:
            watch.close()

    def _on_object(self, raw: Any) -> None:
        """Apply an update and store it; one that is out of date is ignored."""
        update = self._list.reconcile(self._parse(raw))
        if update is not None:
            self._on_update(update)
            self._list.store(raw, update)

    def _parse(self, raw: Any, cached: bool = False) -> EndpointUpdate:
        return parse_update(raw, self._options.zones, self._options.machine_classes, cached)

    def _delay_after(self, watch: WatchConnection, opened_at_s: float, now_s: float) -> float:
        """Return the seconds from the end of a watch to the next."""
        deadline_s = FIRST_LIST_DEADLINE_S if self._list.version is None else PROPAGATION_DEADLINE_S
        match watch.outcome():
            case WatchOutcome.OVERLOADED:
                return self._schedule.delay_after_overload(
                    opened_at_s, now_s, watch.retry_after_s, deadline_s
                )
            case WatchOutcome.FAILED:
                return self._schedule.delay_after_failure(opened_at_s, now_s, deadline_s)
            case WatchOutcome.UP_TO_DATE:
                return self._delay_after_up_to_date(watch)

    def _delay_after_up_to_date(self, watch: WatchConnection) -> float:
        assert watch.up_to_date_at_s is not None
        self._schedule.on_up_to_date(watch.up_to_date_at_s)
        return self._schedule.delay_after_disconnect()
