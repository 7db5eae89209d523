"""Applies endpoint lists to the process: from discovery, the configuration, or the previous process."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ...types import ListKind, Topology
from ..config import Config
from ..event_dispatcher import TopologyNotAppliedError
from .endpoint_directory import EndpointDirectory
from .endpoint_list import EndpointUpdate, parse_update
from .errors import ListError

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.5  # for discovery at the start, before clients are accepted without a list
CACHED_LIST_TIMEOUT_S = 0.15  # the same where a cached list can serve requests
SOCKET_POLL_S = 0.01  # one turn of the event loop reads its sockets within this time


class TopologyHandler(Protocol):
    """Passes events to the decision engine."""

    def handle(self, event: Topology) -> None:
        """Apply a list; raises `TopologyNotAppliedError` where the engine did not."""


class UsableEndpoints(Protocol):
    """Knows whether any endpoint can be used."""

    def has_usable_endpoint(self) -> bool:
        """Return whether any endpoint accepts requests."""


class EndpointFeed:
    """Applies each list to the directory, then to the decision engine."""

    def __init__(self, directory: EndpointDirectory, dispatcher: TopologyHandler) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._received = asyncio.Event()

    def is_received(self) -> bool:
        """Return whether this process has applied a list from discovery itself."""
        return self._received.is_set()

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a list or changes to it; raises `ListError` where the engine did not apply it."""
        self._directory.apply(update)
        try:
            self._dispatcher.handle(update.topology)
        except TopologyNotAppliedError as error:
            raise ListError(str(error)) from error

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply an update from discovery; raises `ListError` where the engine did not apply it."""
        self.apply(update)
        self._received.set()

    def apply_cached(self, config: Config) -> EndpointUpdate | None:
        """Apply the configuration's list and return it.

        Without a usable one the engine gets an empty list, and None is returned.
        """
        update = self._apply_configured(config)
        if update is None:
            self._dispatcher.handle(Topology(ListKind.CACHED, 0, ()))
        return update

    def _apply_configured(self, config: Config) -> EndpointUpdate | None:
        if config.cached_list is None:
            return None
        try:
            update = parse_update(config.cached_list, config.zones, config.machine_classes, cached=True)
            self.apply(update)
        except ListError as error:
            log.warning("known_list_invalid error=%s", error)
            return None
        return update

    async def wait_for_first(self, endpoint_connections: UsableEndpoints) -> None:
        """Wait for the first list from discovery, for less time where a cached list can serve requests."""
        timeout_s = (
            CACHED_LIST_TIMEOUT_S if endpoint_connections.has_usable_endpoint() else FIRST_LIST_TIMEOUT_S
        )
        try:
            async with asyncio.timeout(timeout_s):
                await self._received.wait()
        except TimeoutError:
            # A delayed loop handles its timer before it reads the list from the socket.
            await asyncio.sleep(SOCKET_POLL_S)
            if not self._received.is_set():
                log.warning("discovery_late starting_with=last_known_list")
