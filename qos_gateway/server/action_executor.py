"""Executes the decision engine's actions, each type by one method."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ..types import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    LogLine,
    Probe,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    TimerFired,
    WatchEndpoints,
)
from ..units import SECOND
from .endpoints.attempt import ProbeAttempt
from .endpoints.connections import EndpointConnections
from .event_dispatcher import EventDispatcher
from .peers import Peers
from .requests.final_actions import FinalActions
from .requests.request_attempts import RequestAttempts

if TYPE_CHECKING:
    from .counter.client import CounterClient

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True, kw_only=True, eq=False, repr=False)
class ActionTargets:
    """The parts of the process that actions operate on."""

    requests: FinalActions
    attempts: RequestAttempts
    endpoint_connections: EndpointConnections
    peers: Peers
    counter: CounterClient | None  # None where quotas use no counter


class ActionExecutor:
    """Selects the method of an action by the action's type."""

    def __init__(
        self,
        targets: ActionTargets,
        dispatcher: EventDispatcher,
        clock: Callable[[], int],
        probe_timeout: int | None,
    ) -> None:
        """Take `probe_timeout` in ns, None where endpoints support no health checks."""
        self._endpoint_connections = targets.endpoint_connections
        self._peers = targets.peers
        self._counter = targets.counter
        self._handle = dispatcher.handle
        self._clock = clock
        self._probe_timeout = probe_timeout
        self._loop = asyncio.get_running_loop()
        # Each method takes actions of the type that is its key.
        self._methods: dict[type[Action], Callable[[Any], None]] = {
            Send: targets.attempts.start,
            CancelAttempt: targets.attempts.cancel,
            Reject: targets.requests.reject,
            Fail: targets.requests.fail,
            SetTimer: self._set_timer,
            SendPeerMessage: self._send_peer_message,
            AddToCounter: self._add_to_counter,
            CloseIdleConnections: self._close_idle_connections,
            Probe: self._probe,
            LogLine: self._log_line,
            WatchEndpoints: self._watch_endpoints,
        }

    def execute(self, action: Action) -> None:
        """Execute one action; an unsupported one is logged and dropped."""
        method = self._methods.get(type(action), self._unsupported)
        method(action)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay / SECOND, self._handle, TimerFired(action.token))

    def _send_peer_message(self, action: SendPeerMessage) -> None:
        self._peers.send(action.recipient, action.data)

    def _add_to_counter(self, action: AddToCounter) -> None:
        if self._counter is None:
            self._unsupported(action)
        else:
            self._counter.call(action.key, action.time_to_live, action.amount)

    def _close_idle_connections(self, action: CloseIdleConnections) -> None:
        self._endpoint_connections.close_idle_connections(action.endpoint)

    def _probe(self, action: Probe) -> None:
        if self._probe_timeout is None:
            self._unsupported(action)
            return
        now = self._clock()
        attempt = ProbeAttempt(
            endpoint=action.endpoint, started_at_ns=now, expires_at_ns=now + self._probe_timeout
        )
        self._endpoint_connections.start_attempt(attempt, self._probe_timeout / SECOND)

    def _log_line(self, action: LogLine) -> None:
        log.info("%s", action.text)

    def _watch_endpoints(self, action: WatchEndpoints) -> None:
        """Do nothing: the watch is opened at the start of the process."""

    def _unsupported(self, action: Action) -> None:
        log.error("action_unsupported action=%s", type(action).__name__)
