"""Handling of overdue responses: presumed lost, cancelled in unresponsive zones, or ended late."""

from ...types import Action, CloseIdleConnections, Idempotence, LogLine
from ..congestion.outstanding_attempt import OutstandingAttempt
from ..congestion.queue_model import QueueModel
from ..load_balancing.load_balancer import LoadBalancer
from .dispatcher import Dispatcher
from .request_state import RequestState

LOST_AFTER_LATENCIES = 4.0  # mean latencies by which an answered attempt is newer


class StalledRequestMonitor:
    """Checks the open requests at each tick."""

    def __init__(self, dispatcher: Dispatcher, model: QueueModel, load_balancer: LoadBalancer) -> None:
        self._dispatcher = dispatcher
        self._requests = dispatcher.requests
        self._model = model
        self._load_balancer = load_balancer

    def outstanding_attempts(self, now: int) -> list[OutstandingAttempt]:
        """Return the last attempt of each open request, except for those whose response was probably lost."""
        latest_successful_send = self._load_balancer.response_statistics.latest_successful_send
        lost_after = [LOST_AFTER_LATENCIES * latency.mean.value for latency in self._model.class_latency]

        def is_lost(request: RequestState) -> bool:
            sent_at = request.last_attempt_at
            overtaken = latest_successful_send - sent_at > lost_after[request.arrival.class_index] > 0.0
            return overtaken or self._load_balancer.was_lost_with_zone(request.last_endpoint, sent_at)

        return [
            OutstandingAttempt(request.arrival.class_index, now - request.last_attempt_at)
            for request in self._requests.open.values()
            if request.attempts_sent and not is_lost(request)
        ]

    def cancel_in_unresponsive_zones(self, now: int) -> list[Action]:
        """Cancel attempts in zones that stopped responding, if their class allows a retry at any endpoint."""
        actions: list[Action] = []
        requests = self._requests.open.values()
        for found in self._load_balancer.detect_unresponsive_zones(now, requests):
            actions.append(LogLine(f"zone_unresponsive zone={found.zone} attempts={len(found.requests)}"))
            actions += [CloseIdleConnections(endpoint) for endpoint in found.endpoints]
            for request in found.requests:
                if request.request_class.idempotence is Idempotence.IDEMPOTENT:
                    actions += self._dispatcher.cancel_attempts(request)
        return actions

    def end_late_requests(self, now: int) -> list[Action]:
        """End requests past their latency objective under congestion, to free capacity for others."""
        if not self._model.congested:
            return []
        late = [request for request in self._requests.open.values() if _is_late(now, request)]
        return [action for request in late for action in self._end_late_request(now, request)]

    def _end_late_request(self, now: int, request: RequestState) -> list[Action]:
        """End a late request, unless its endpoint is silent: only the attempt's timeout reports that."""
        endpoint = self._load_balancer.registry.endpoints.get(request.last_endpoint)
        objective = request.request_class.latency_objective
        if endpoint is None or now - endpoint.last_response_at > objective // 2:
            return []
        cancellations = self._dispatcher.cancel_attempts(request)
        request.execution.mark_possibly_executed()
        return [*cancellations, self._dispatcher.end(request)]


def _is_late(now: int, request: RequestState) -> bool:
    """Return whether a request with attempts in flight is past its latency objective."""
    objective = request.request_class.latency_objective
    return bool(request.attempts_in_flight) and now - request.arrived_at >= objective
