"""The way of a list of endpoints into the process: from discovery or the configuration to all who use it."""

from __future__ import annotations

import asyncio
import logging

from ...types import ListKind, Topology
from ..config import Config
from ..endpoints.connections import EndpointConnections
from ..event_dispatcher import EventDispatcher, TopologyNotAppliedError
from .endpoint_directory import EndpointDirectory
from .endpoint_list import EndpointUpdate, ListError, parse_update

log = logging.getLogger(__name__)

FIRST_LIST_TIMEOUT_S = 0.5  # for discovery at the start, before clients are accepted without a list
CACHED_LIST_TIMEOUT_S = 0.15  # the same where a cached list can serve meanwhile: requests already come
SOCKET_POLL_S = 0.01  # in which the loop surely reads its sockets once more


class EndpointFeed:
    """Hands each list to the registry, then to the decision engine."""

    def __init__(self, registry: EndpointDirectory, dispatcher: EventDispatcher) -> None:
        self._registry = registry
        self._dispatcher = dispatcher
        self._received = asyncio.Event()

    def is_received(self) -> bool:
        """Return whether discovery itself has told of a list in this process."""
        return self._received.is_set()

    def apply(self, update: EndpointUpdate) -> None:
        """Take in a list or changes to it; raises `ListError` where the engine did not."""
        self._registry.apply(update)
        try:
            self._dispatcher.handle(update.topology)
        except TopologyNotAppliedError as error:
            raise ListError(str(error)) from error

    def on_update(self, update: EndpointUpdate) -> None:
        """Take in what discovery tells."""
        self.apply(update)
        self._received.set()

    def apply_cached(self, config: Config) -> EndpointUpdate | None:
        """Take in the list of the configuration and return it; None without one to go by."""
        if config.cached_list is not None:
            try:
                update = parse_update(config.cached_list, config.zones, config.machine_classes, cached=True)
                self.apply(update)
            except ListError as error:
                log.warning("known_list_invalid error=%s", error)
            else:
                return update
        self._dispatcher.handle(Topology(ListKind.CACHED, 0, ()))
        return None

    async def wait_for_first(self, endpoint_connections: EndpointConnections) -> None:
        """Give discovery a moment: a cached list breaks no rule, but the present one is near."""
        timeout_s = CACHED_LIST_TIMEOUT_S if endpoint_connections.has_usable() else FIRST_LIST_TIMEOUT_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._received.wait()
        except TimeoutError:
            # A loop that lagged wakes with its timer due and the list unread in the socket, which binds.
            await asyncio.sleep(SOCKET_POLL_S)
            if not self._received.is_set():
                log.warning("discovery_late starting_with=last_known_list")
