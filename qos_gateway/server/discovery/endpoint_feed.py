"""Applies endpoint lists received from discovery, the configuration or the previous process."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ...types import ListKind, Topology
from ..config import Config
from ..event_dispatcher import TopologyNotAppliedError
from .endpoint_directory import EndpointDirectory
from .endpoint_list import EndpointUpdate, parse_update
from .errors import EndpointListError

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.5  # startup wait for discovery; after it clients are accepted without a list
CACHED_LIST_TIMEOUT_S = 0.15  # startup wait if a cached list can serve requests
SOCKET_POLL_INTERVAL_S = 0.01  # long enough for the event loop to read its sockets once


class TopologyHandler(Protocol):
    """Passes events to the decision engine."""

    def handle(self, event: Topology) -> None:
        """Apply a list; raises `TopologyNotAppliedError` if the engine did not apply it."""


class UsableEndpoints(Protocol):
    """Reports whether any endpoint is usable."""

    def has_usable_endpoint(self) -> bool:
        """Return whether any endpoint accepts requests."""


class EndpointFeed:
    """Applies each list to the endpoint directory, then to the decision engine."""

    def __init__(self, directory: EndpointDirectory, dispatcher: TopologyHandler) -> None:
        self._directory = directory
        self._dispatcher = dispatcher
        self._list_received = asyncio.Event()

    def has_received_list(self) -> bool:
        """Return whether this process has applied a list received from discovery."""
        return self._list_received.is_set()

    def apply(self, update: EndpointUpdate) -> None:
        """Apply a full list or a delta; raises `EndpointListError` if the engine did not apply it."""
        self._directory.apply(update)
        try:
            self._dispatcher.handle(update.topology)
        except TopologyNotAppliedError as error:
            raise EndpointListError(str(error)) from error

    def on_update(self, update: EndpointUpdate) -> None:
        """Apply an update from discovery; raises `EndpointListError` if the engine did not apply it."""
        self.apply(update)
        self._list_received.set()

    def apply_cached(self, config: Config) -> EndpointUpdate | None:
        """Apply the configuration's cached list and return it.

        If there is none, or it is invalid, apply an empty list to the engine and return None.
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
        except EndpointListError as error:
            log.warning("known_list_invalid error=%s", error)
            return None
        return update

    async def wait_for_first_list(self, endpoint_connections: UsableEndpoints) -> None:
        """Wait for the first list from discovery, less long if a cached list can serve requests."""
        timeout_s = (
            CACHED_LIST_TIMEOUT_S if endpoint_connections.has_usable_endpoint() else FIRST_LIST_TIMEOUT_S
        )
        try:
            async with asyncio.timeout(timeout_s):
                await self._list_received.wait()
        except TimeoutError:
            # After a delay the event loop runs this timer before it reads a list already in the socket.
            await asyncio.sleep(SOCKET_POLL_INTERVAL_S)
            if not self._list_received.is_set():
                log.warning("discovery_late starting_with=last_known_list")
