"""The send guard: checks whether an attempt may be written, immediately before its bytes are written."""

from __future__ import annotations

from typing import Protocol

from ..endpoints.attempt import Attempt
from ..observability.invariants import Invariant, InvariantMonitor


class WaitingRequest(Protocol):
    """Fields of an attempt's request that the guard reads."""

    closed: bool
    deadline: int

    @property
    def client_id(self) -> bytes:
        """Return the client's own id of the request."""


class SendGuard:
    """Refuses an attempt that must not be written, and reports it as a violation.

    Earlier checks exclude such attempts, so each refusal indicates a bug in the gateway.
    """

    def __init__(self, monitor: InvariantMonitor) -> None:
        self._monitor = monitor

    def allows(self, attempt: Attempt, request: WaitingRequest | None, is_drained: bool, now: int) -> bool:
        """Return whether an attempt may be written at `now`, in ns; `request` is None for a health check."""
        rule = self._violated_rule(attempt, request, is_drained, now)
        if rule is None:
            return True
        self._monitor.report(Invariant.SEND, rule, b"" if request is None else request.client_id)
        return False

    def _violated_rule(
        self, attempt: Attempt, request: WaitingRequest | None, is_drained: bool, now: int
    ) -> str | None:
        if is_drained:
            return "drained_endpoint"
        if request is None:
            return None
        if request.closed:
            return "answered_request"
        if attempt.expires_at_ns <= now:
            return "time_over"
        if attempt.expires_at_ns > request.deadline:
            return "deadline_beyond_request"
        if 0 < attempt.send_deadline_ns <= now:
            return "idempotency_window"
        return None
