"""Checks that the gateway closes a client's connection only after replying to every command it has read."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

from ..networking.socket_queues import SocketQueues
from ..observability.close_reasons import CLIENT_CAUSED_REASONS, CloseReason
from ..observability.invariants import Invariant, InvariantMonitor
from ..observability.metrics import Metrics

log = logging.getLogger(__name__)


class CloseGuard:
    """Counts closed client connections by reason, and reports those closed with requests unanswered."""

    def __init__(
        self, monitor: InvariantMonitor, metrics: Metrics, client_id: Callable[[int], bytes]
    ) -> None:
        """`client_id` returns the id that the client gave an open request, by the request's number."""
        self._monitor = monitor
        self._metrics = metrics
        self._client_id = client_id

    def check(
        self,
        reason: CloseReason,
        unanswered: Sequence[int],
        has_deferred_input: bool,
        queues: SocketQueues,
    ) -> None:
        """Log a connection that is about to close, and report requests that the gateway leaves unanswered.

        `queues` is what the system still holds of the connection. Nothing is reported if the client caused
        the close, as no reply could reach it.
        """
        request_ids = [self._client_id(number) for number in unanswered]
        _log_close(reason, request_ids, queues)
        if not queues.is_empty:
            self._metrics.undelivered_client_closes[reason] += 1
        if reason in CLIENT_CAUSED_REASONS:
            return
        for request_id in request_ids:
            self._monitor.report(Invariant.CLOSE, f"unanswered_{reason.value}", request_id)
        if has_deferred_input:
            self._monitor.report(Invariant.CLOSE, f"unread_commands_{reason.value}")

    def connection_ended(self, reason: CloseReason) -> None:
        """Count a closed connection."""
        self._metrics.client_closes[reason] += 1


def _log_close(reason: CloseReason, unanswered: Sequence[bytes], queues: SocketQueues) -> None:
    """Log a closed connection, at debug level because every client causes one such line."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            "client_closed reason=%s unanswered=%s unacknowledged_bytes=%d unread_bytes=%d",
            reason.value,
            b",".join(unanswered).decode() or "none",
            queues.unacknowledged_bytes,
            queues.unread_bytes,
        )
