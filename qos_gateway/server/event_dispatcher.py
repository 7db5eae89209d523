"""Passes each event to the decision engine, and the engine's actions to the action executor."""

from __future__ import annotations

import logging
from collections.abc import Callable

from ..decisions.engine import DecisionEngine
from ..types import (
    Action,
    CancelAttempt,
    Event,
    Fail,
    Reject,
    Send,
    SetTimer,
    TimerFired,
    Topology,
)
from ..units import SECOND

log = logging.getLogger(__name__)

FAULT_RETRY_NS = SECOND // 10  # until a timer event that raised is repeated, as it restarts periodic work
NO_REQUEST = 0  # numbers of requests begin at 1


class TopologyNotAppliedError(Exception):
    """The decision engine raised on an endpoint list."""


class EventDispatcher:
    """Passes events to the engine one by one. An exception fails at most one request, never the process."""

    def __init__(self, engine: DecisionEngine, clock: Callable[[], int]) -> None:
        self.engine = engine
        self._clock = clock
        self._execute: Callable[[Action], None]
        self._fail_request: Callable[[int], None]

    def bind(self, execute: Callable[[Action], None], fail_request: Callable[[int], None]) -> None:
        """Set the receivers of actions and of the numbers of failed requests, before the first event."""
        self._execute = execute
        self._fail_request = fail_request

    def handle(self, event: Event, request_id: int = NO_REQUEST) -> None:
        """Pass one event to the engine and execute the resulting actions.

        `request_id` is the request that fails if the engine raises. Raises `TopologyNotAppliedError` if the
        engine raises on an endpoint list, so that the caller requests that version again: attempts could
        otherwise be sent to an endpoint whose drain was missed.
        """
        try:
            actions = self.engine.handle(self._clock(), event)
        except Exception:
            log.exception("event_fault event=%s request=%d", type(event).__name__, request_id)
        else:
            self._execute_all(actions)
            return
        self._fail_request(request_id)
        if isinstance(event, TimerFired):
            self._execute(SetTimer(FAULT_RETRY_NS, event.token))
        if isinstance(event, Topology):
            raise TopologyNotAppliedError("the list of endpoints was not taken in by the decision engine")

    def _execute_all(self, actions: list[Action]) -> None:
        """Execute each action on its own, so that a failed one does not suppress the engine's next timer."""
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action_fault action=%s", type(action).__name__)
                self._fail_request(_request_id_of(action))


def _request_id_of(action: Action) -> int:
    match action:
        case Send() | Reject() | Fail() | CancelAttempt():
            return action.request_id
        case _:
            return NO_REQUEST
