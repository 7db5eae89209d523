"""The way of an event: through the decision engine, and its actions to whoever carries them out."""

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
from .discovery.errors import ListError

log = logging.getLogger(__name__)

FAULT_RETRY_NS = SECOND // 10  # until a timer whose event met a fault fires again: periodic work must go on
NO_REQUEST = 0  # numbers of requests begin at 1


class EventDispatcher:
    """Hands events to the engine one by one. A fault costs one request a failure, never the process."""

    def __init__(self, engine: DecisionEngine, clock: Callable[[], int]) -> None:
        self.engine = engine
        self._clock = clock
        self._execute: Callable[[Action], None]
        self._fail_request: Callable[[int], None]

    def bind(self, execute: Callable[[Action], None], fail_request: Callable[[int], None]) -> None:
        """Name what carries out an action and what fails a request; to be called before the first event."""
        self._execute = execute
        self._fail_request = fail_request

    def handle(self, event: Event, request_id: int = NO_REQUEST) -> None:
        """Take in one event and carry out what the engine decides.

        `request_id` names the request that fails where the engine meets a fault. Raises `ListError` if that
        event was a list of endpoints: a drain that is lost unnoticed would let requests go to an endpoint
        about to end, so the watch has to be opened anew at the version before it.
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
            raise ListError("the list of endpoints was not taken in by the decision engine")

    def _execute_all(self, actions: list[Action]) -> None:
        """Carry out each action by itself: one that fails must not take the engine's next timer with it."""
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
