"""The discovery client: keeps one watch open and, when it ends, resumes from the last version."""

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

CONNECT_TIMEOUT_S = 1.0  # the agent runs on the same machine


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class DiscoveryOptions:
    """Address of the discovery agent, and the settings for parsing its lists."""

    agent: Address
    zones: tuple[str, ...]  # names, ordered by index
    machine_classes: tuple[str, ...]  # names, ordered by index
    known_version: int | None  # version of the list held before the first watch; None without a list
    drain_grace_s: float = 2 * MAX_BACKOFF_S


class DiscoveryClient:
    """Keeps one watch open; between watches the last list remains in effect.

    `_run` repeats these steps: open a watch, read it until it ends, wait before opening the next. Each object
    read is parsed, reconciled with the newest version, applied and stored.
    """

    def __init__(self, options: DiscoveryOptions, on_update: Callable[[EndpointUpdate], None]) -> None:
        """Initialize; `on_update` applies an update, and the watch ends if it raises `EndpointListError`."""
        self._options = options
        self._agent = options.agent
        self._on_update = on_update
        self._list = WatchedList(options.known_version)
        self._schedule = WatchSchedule(options.drain_grace_s, random.Random())
        self._closed = False
        self._task: asyncio.Task[None] | None = None
        self._connection: WatchConnection | None = None  # the most recent watch

    def start(self) -> None:
        """Start the task that keeps a watch open."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def change_agent(self, agent: Address) -> None:
        """Switch to another agent immediately: the previous one may soon be out of date."""
        if agent == self._agent or self._closed:
            return
        log.info("discovery_address_changed to=%s:%d", *agent)
        self._agent = agent
        self._schedule.on_agent_changed(asyncio.get_running_loop().time())
        if self._task is not None:
            self._task.cancel()
            self.start()

    async def close(self) -> None:
        """Close the watch and open no other."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def has_unread_data(self) -> bool:
        """Return whether the agent has sent data that the event loop has not read yet."""
        return self._connection is not None and self._connection.has_unread_data()

    def current_list(self) -> dict[str, Any] | None:
        """Return the current list as a JSON object; None before the first list."""
        return self._list.snapshot()

    def record_cached_list(self, update: EndpointUpdate) -> None:
        """Record the configuration's cached list, which has already been applied."""
        self._list.record_cached_list(update)

    def restore_list(self, raw: dict[str, Any]) -> EndpointUpdate:
        """Restore the list of the previous process and return it; raises `EndpointListError`."""
        update = self._parse(raw, cached=True)
        self._list.store(raw, update)
        return update

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
        """Connect and wait until the watch ends; it passes each object to `_on_object`."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().create_connection(lambda: watch, *self._agent)
            await watch.ended
        except (OSError, TimeoutError) as error:
            log.warning("discovery_unreachable error=%s", error or type(error).__name__)
        finally:
            watch.close()

    def _on_object(self, raw: Any) -> None:
        """Apply and store an update, unless it is out of date."""
        update = self._list.reconcile(self._parse(raw))
        if update is not None:
            self._on_update(update)
            self._list.store(raw, update)

    def _parse(self, raw: Any, cached: bool = False) -> EndpointUpdate:
        return parse_update(raw, self._options.zones, self._options.machine_classes, cached)

    def _delay_after(self, watch: WatchConnection, opened_at_s: float, now_s: float) -> float:
        """Return the delay in seconds before the next watch is opened."""
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
