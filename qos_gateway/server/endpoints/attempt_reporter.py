"""Reports the results of attempts to their requests; every attempt ends here."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ...types import Outcome
from ..memory.budget import Priority
from ..networking.value_stream import FlowControl, ResponseSink
from ..observability.metrics import Metrics
from .attempt import Attempt, ProbeAttempt
from .responses import AttemptResult


class AttemptListener(Protocol):
    """Receives attempt events and decides whether an attempt may be written."""

    def on_attempt_ended(self, attempt: Attempt, result: AttemptResult, /) -> None:
        """Handle the end of an attempt; called exactly once each, after `start_attempt` has returned."""

    def on_response_started(self, attempt: Attempt, length: int, flow: FlowControl, /) -> ResponseSink | None:
        """Return the sink of a large value of `length` bytes, or None to cancel the attempt."""

    def memory_priority(self, attempt: Attempt, /) -> Priority | None:
        """Return the priority of the memory for a response, None if it is no longer needed."""

    def may_retry(self, attempt: Attempt, /) -> bool:
        """Return whether the request may be retried although the attempt has been executed."""

    def on_response_without_memory(self, attempt: Attempt, /) -> None:
        """End a request whose response cannot be received; its attempt is cancelled next."""

    def is_client_waiting(self, attempt: Attempt, /) -> bool:
        """Return whether the attempt's client is still waiting for a response."""

    def allows_send(self, attempt: Attempt, is_drained: bool, now_ns: int, /) -> bool:
        """Return whether an attempt may be written now; called right before the write."""


class AttemptReporter:
    """Ends each attempt exactly once and counts fully written attempts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: AttemptListener, metrics: Metrics) -> None:
        self._loop = loop
        self._on_attempt_ended = listener.on_attempt_ended
        self._metrics = metrics

    def record_written(self, attempt: Attempt) -> None:
        """Count an attempt whose last byte has been sent; probes are not counted."""
        if not isinstance(attempt, ProbeAttempt):
            self._metrics.attempts += 1

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt and report its result; a no-op if it has already ended."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.outcome = result.outcome
        attempt.connection = None
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        self._on_attempt_ended(attempt, result)

    def finish_later(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt without a response in the next iteration of the event loop.

        Used for attempts that fail during `start_attempt`, which must return before the listener is called.
        """
        self._loop.call_soon(self.finish, attempt, AttemptResult.without_response(outcome))
