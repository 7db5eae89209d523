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

    def check_answered(
        self, reason: CloseReason, unanswered: Sequence[int], has_deferred_input: bool
    ) -> None:
        """Report requests that the gateway leaves unanswered on a connection that is about to end.

        Nothing is reported if the client caused the close, as no reply could reach it.
        """
        request_ids = [self._client_id(number) for number in unanswered]
        _log_end(reason, request_ids)
        if reason in CLIENT_CAUSED_REASONS:
            return
        for request_id in request_ids:
            self._monitor.report(Invariant.CLOSE, f"unanswered_{reason.value}", request_id)
        if has_deferred_input:
            self._monitor.report(Invariant.CLOSE, f"unread_commands_{reason.value}")

    def check_delivered(self, reason: CloseReason, queues: SocketQueues) -> None:
        """Log a socket that is about to be closed, and report written replies that the close may lose.

        `queues` is what the system still holds of the connection.
        """
        _log_close(reason, queues)
        if not queues.is_empty:
            self._metrics.undelivered_client_closes[reason] += 1
        if queues.unacknowledged_bytes and reason not in CLIENT_CAUSED_REASONS:
            self._monitor.report(Invariant.CLOSE, f"undelivered_{reason.value}")

    def connection_ended(self, reason: CloseReason) -> None:
        """Count a closed connection."""
        self._metrics.client_closes[reason] += 1


def _log_end(reason: CloseReason, unanswered: Sequence[bytes]) -> None:
    """Log the end of a connection, at debug level because every client causes one such line."""
    if log.isEnabledFor(logging.DEBUG):
        log.debug(
            "client_ended reason=%s unanswered=%s", reason.value, b",".join(unanswered).decode() or "none"
        )


def _log_close(reason: CloseReason, queues: SocketQueues) -> None:
    """Log a socket that this process closes, at debug level."""
    log.debug(
        "client_closed reason=%s unacknowledged_bytes=%d unread_bytes=%d",
        reason.value,
        queues.unacknowledged_bytes,
        queues.unread_bytes,
    )
