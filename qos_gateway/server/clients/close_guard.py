"""The guard of closing: a client's connection ends only when all that was read from it has been answered."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..observability.close_reasons import CLIENT_CAUSED, CloseReason
from ..observability.invariants import Invariant, InvariantMonitor
from ..observability.metrics import Metrics
from ..requests.request_log import log_client_close


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
        """Look at a connection that the gateway is about to close."""
        request_ids = [self._client_id(number) for number in unanswered]
        log_client_close(reason, request_ids)
        if reason in CLIENT_CAUSED:
            return
        for request_id in request_ids:
            self._monitor.report(Invariant.CLOSE, f"unanswered_{reason.value}", request_id)
        if has_deferred_input:
            self._monitor.report(Invariant.CLOSE, f"unread_commands_{reason.value}")

    def connection_ended(self, reason: CloseReason) -> None:
        """Count the end of a connection."""
        self._metrics.client_closes[reason] += 1
