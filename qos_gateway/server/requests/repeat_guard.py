"""The repeat guard: checks whether a request may be executed a second time.

It uses the attempts of this process and the endpoint list, and no state of the decision engine.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from ...types import NOT_EXECUTED, Endpoint, Idempotence, IdempotencyScope, RequestClass, Settings
from ..endpoints.attempt import Attempt
from ..observability.invariants import Invariant, InvariantMonitor


class RepeatedRequest(Protocol):
    """Fields of a request that the guard reads."""

    attempts: list[Attempt]

    @property
    def attempts_started(self) -> int:
        """Return the number of attempts, including those never passed to a connection."""

    @property
    def client_id(self) -> bytes:
        """Return the client's own id of the request."""

    @property
    def class_index(self) -> int:
        """Return the index of its class."""


class RepeatGuard:
    """Refuses an attempt or a rejection that could lead to a second execution of a request.

    A rejection allows the client to retry. Each refusal is reported as a violation.
    """

    def __init__(
        self,
        settings: Settings,
        monitor: InvariantMonitor,
        find_endpoint: Callable[[int], Endpoint | None],
    ) -> None:
        """Take `find_endpoint`, which returns a listed endpoint by its id, or None."""
        self._settings = settings
        self._monitor = monitor
        self._find_endpoint = find_endpoint

    def allows_attempt(self, request: RepeatedRequest, endpoint: int, now: int) -> bool:
        """Return whether a further attempt may be made at an endpoint at `now`, in ns."""
        return self._check(request, self._violated_rule(request, endpoint, now))

    def allows_rejection(self, request: RepeatedRequest) -> bool:
        """Return whether the client may retry the request at any endpoint."""
        request_class = self._settings.classes[request.class_index]
        is_repeatable = request_class.idempotence is Idempotence.IDEMPOTENT or (
            request_class.idempotence is Idempotence.KEYED
            and request_class.idempotency_scope is IdempotencyScope.ALL
        )
        if is_repeatable or not _first_possible_execution(request.attempts):
            return True
        return self._check(request, "rejected_after_possible_execution")

    def _check(self, request: RepeatedRequest, rule: str | None) -> bool:
        if rule is None:
            return True
        self._monitor.report(Invariant.REPEAT, rule, request.client_id)
        return False

    def _violated_rule(self, request: RepeatedRequest, endpoint: int, now: int) -> str | None:
        if request.attempts_started >= self._settings.max_attempts:
            return "too_many_attempts"
        if not self._settings.hedging and any(not attempt.ended for attempt in request.attempts):
            return "two_attempts_at_once"
        first = _first_possible_execution(request.attempts)
        if first is None:
            return None
        request_class = self._settings.classes[request.class_index]
        if request_class.idempotence is Idempotence.NOT_IDEMPOTENT:
            return "not_idempotent"
        if request_class.idempotence is Idempotence.KEYED:
            return self._violated_idempotency_key_rule(request_class, first, endpoint, now)
        return None

    def _violated_idempotency_key_rule(
        self, request_class: RequestClass, first: Attempt, endpoint: int, now: int
    ) -> str | None:
        if now - first.started_at_ns >= request_class.idempotency_window:
            return "idempotency_window"
        before, after = self._find_endpoint(first.endpoint), self._find_endpoint(endpoint)
        if before is None or after is None:
            return None  # zone and cell of an unlisted endpoint are unknown
        scope = request_class.idempotency_scope
        if scope is IdempotencyScope.ZONE and before.zone != after.zone:
            return "idempotency_zone"
        if scope is IdempotencyScope.CELL and before.cell != after.cell:
            return "idempotency_cell"
        return None


def _first_possible_execution(attempts: Iterable[Attempt]) -> Attempt | None:
    """Return the first attempt that may have been executed or may still be executed, if any."""
    return next((attempt for attempt in attempts if attempt.outcome not in NOT_EXECUTED), None)
