"""Captures and restores gateway state, and splits the limits while two processes of a gateway run."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...decisions.engine import INCOMING_FRACTION, OUTGOING_FRACTION
from ...decisions.handover import HandoverFractions, capture, complete, restore
from ...types import SetEndpointEnabled, Settings
from ..clients.connections import ClientConnections
from ..discovery.client import DiscoveryClient
from ..discovery.endpoint_directory import EndpointDirectory
from ..discovery.endpoint_list import EndpointUpdate
from ..endpoints.connections import EndpointConnections
from ..event_dispatcher import EventDispatcher

if TYPE_CHECKING:
    from .messages import HandoverState, ReceivedState

log = logging.getLogger(__name__)

HANDOVER_FRACTIONS = HandoverFractions(OUTGOING_FRACTION, INCOMING_FRACTION)
# Headroom of the old process above its open connections: it may still accept clients and open
# connections for retries after the next process has started.
EXTRA_CLIENT_CONNECTIONS = 4
EXTRA_ENDPOINT_CONNECTIONS = 8
FULL_MEMORY_FRACTION = 1.0


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class SharedComponents:
    """Components whose state is handed over, or whose limits are split between the two processes."""

    clients: ClientConnections
    endpoint_connections: EndpointConnections
    discovery: DiscoveryClient
    endpoint_directory: EndpointDirectory


class Handover:
    """Captures the state for the next process, and restores the state of the previous one."""

    def __init__(
        self,
        components: SharedComponents,
        settings: Settings,
        clock: Callable[[], int],
        dispatcher: EventDispatcher,
        apply_list: Callable[[EndpointUpdate], None],
    ) -> None:
        """Use `apply_list` to apply an endpoint list in this process."""
        self._clients = components.clients
        self._endpoint_connections = components.endpoint_connections
        self._discovery = components.discovery
        self._endpoint_directory = components.endpoint_directory
        self._settings = settings
        self._clock = clock
        self._dispatcher = dispatcher
        self._apply_list = apply_list

    def capture_state(self) -> HandoverState:
        """Return the state for the next process, and limit this one to the connections stated there."""
        from .messages import HandoverState  # imported lazily: only upgrades need it

        max_client_connections = self._clients.connection_count() + EXTRA_CLIENT_CONNECTIONS
        max_endpoint_connections = self._endpoint_connections.open_connections + EXTRA_ENDPOINT_CONNECTIONS
        self._clients.limit(max_client_connections, HANDOVER_FRACTIONS.outgoing)
        self._endpoint_connections.restrict_connections(max_endpoint_connections)
        return HandoverState(
            endpoint_list=self._discovery.current_list(),
            max_client_connections=max_client_connections,
            max_endpoint_connections=max_endpoint_connections,
            engine=capture(self._dispatcher.engine, self._clock(), HANDOVER_FRACTIONS),
        )

    def restore_state(self, received: ReceivedState, list_is_current: bool) -> None:
        """Restore the previous process's state, and its endpoint list unless `list_is_current`.

        An invalid state is logged, and the limits of this process stay unchanged.
        """
        engine = self._dispatcher.engine
        try:
            endpoint_list = received.endpoint_list()
            if not list_is_current and endpoint_list is not None:
                self._apply_list(self._discovery.restore_list(endpoint_list))
            state = received.decode(len(self._settings.plans), len(self._settings.classes))
            restore(engine, self._clock(), state.engine, HANDOVER_FRACTIONS.incoming)
        except (KeyError, TypeError, ValueError) as error:
            log.error("handover_state_invalid error=%s", error)  # noqa: TRY400  # other process at fault
            return
        self._clients.limit(
            self._clients.max_connections - state.max_client_connections, HANDOVER_FRACTIONS.incoming
        )
        self._endpoint_connections.restrict_connections(
            self._endpoint_connections.max_connections - state.max_endpoint_connections
        )
        self._endpoint_directory.disable_all(engine.load_balancer.registry.admin_disabled)
        log.info("handover_completed endpoints_disabled=%d", self._endpoint_directory.admin_disabled_count())

    def apply_admin_disabled(self, endpoint: int, disabled: bool) -> None:
        """Disable or enable an endpoint, for an admin call that either process received."""
        self._dispatcher.handle(SetEndpointEnabled(endpoint, not disabled))
        self._endpoint_directory.set_admin_disabled(endpoint, disabled)

    def on_other_process_ended(self) -> None:
        """Restore the full limits and quota of this process."""
        self._clients.limit(None, FULL_MEMORY_FRACTION)
        self._endpoint_connections.restrict_connections(None)
        complete(self._dispatcher.engine)
