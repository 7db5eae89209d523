"""The guard of closing: a client's connection ends only when all that was read from it has been answered."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from ..observability.close_reasons import CLIENT_CAUSED, CloseReason
from ..observability.invariants import Invariant, InvariantMonitor
from ..observability.metrics import Metrics

log = logging.getLogger(__name__)


class CloseGuard:
    """Counts why connections of clients end, and reports those that end with requests unanswered."""

    def __init__(
        self, monitor: InvariantMonitor, metrics: Metrics, client_id: Callable[[int], bytes]
    ) -> None:
        """Take `client_id` to return the client's id of an open request by its number."""
        self._monitor = monitor
        self._metrics = metrics
        self._client_id = client_id

    def check(self, reason: CloseReason, unanswered: Sequence[int], has_deferred_input: bool) -> None:
        """Log a connection that is about to end; report what the gateway leaves unanswered."""
        request_ids = [self._client_id(number) for number in unanswered]
        _log_close(reason, request_ids)
        if reason in CLIENT_CAUSED:
            return
        for request_id in request_ids:
            self._monitor.report(Invariant.CLOSE, f"unanswered_{reason.value}", request_id)
        if has_deferred_input:
            self._monitor.report(Invariant.CLOSE, f"unread_commands_{reason.value}")

    def connection_ended(self, reason: CloseReason) -> None:
        """Count the end of a connection."""
        self._metrics.client_closes[reason] += 1


def _log_close(reason: CloseReason, unanswered: Sequence[bytes]) -> None:
    """Log the end of a connection at debug level, as there is one for each client."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            "client_closed reason=%s unanswered=%s",
            reason.value,
            b",".join(unanswered).decode() or "none",
        )
