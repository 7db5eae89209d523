"""Open requests whose responses stay out: presumed lost, hedged, moved to another zone, or given up."""

from __future__ import annotations

from ..state.outstanding import OutstandingAttempt
from ..state.request import RequestState
from ..types import Action, CloseIdleConnections, Idempotence, LogLine, Send
from .dispatch import Dispatcher

LOST_AFTER_LATENCIES = 4.0  # mean latencies by which newer attempts overtake one that then counts as lost
HEDGE_COST = 1.0  # of the retry budget, for a hedged request's second attempt


class StalledRequests:
    """The checks that each tick makes of all open requests."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher
        self.model = dispatcher.model
        self.load_balancer = dispatcher.load_balancer
        self.requests = dispatcher.requests

    def outstanding(self, now: int) -> list[OutstandingAttempt]:
        """Return the newest attempts that still wait in the queue: lost responses are no congestion."""
        lost_after = [LOST_AFTER_LATENCIES * latency.value for latency in self.model.latency]
        return [
            OutstandingAttempt(request.arrival.class_index, now - request.last_attempt_at)
            for request in self.requests.open.values()
            if request.attempts_sent and not self._is_lost(request, lost_after[request.arrival.class_index])
        ]

    def _is_lost(self, request: RequestState, lost_after: float) -> bool:
        sent_at = request.last_attempt_at
        if self.load_balancer.latest_answered_send - sent_at > lost_after > 0.0:
            return True
        return self.load_balancer.was_lost_with_zone(request.last_endpoint, sent_at)

    def leave_unresponsive_zones(self, now: int) -> list[Action]:
        """Cancel attempts at zones that fell silent where the class allows a retry elsewhere."""
        actions: list[Action] = []
        for zone, stuck, endpoints in self.load_balancer.detect_unresponsive_zones(
            now, self.requests.open.values()
        ):
            actions.append(LogLine(f"zone_unresponsive zone={zone} attempts={len(stuck)}"))
            actions += [CloseIdleConnections(endpoint) for endpoint in endpoints]
            for request in stuck:
                if request.request_class.idempotence is Idempotence.IDEMPOTENT:
                    actions += self.dispatcher.cancel_attempts(request)
        return actions

    def hedge(self, now: int) -> list[Action]:
        """Send a second attempt where newer ones were answered and no congestion explains the wait."""
        actions: list[Action] = []
        if self.model.congested or not self.dispatcher.settings.hedging:
            return actions
        waiting = [r for r in self.requests.open.values() if r.attempts_in_flight == 1]
        for request in [r for r in waiting if now - r.last_attempt_at >= r.hedge_after]:
            if not self.dispatcher.retry_budget.allows(HEDGE_COST):
                break
            newer = request.last_attempt_at + request.expected_latency
            answered = self.load_balancer.answered_since(request.last_endpoint, newer)
            if answered and request.request_class.is_repeatable and (send := self._send_hedge(now, request)):
                actions.append(send)
        return actions

    def _send_hedge(self, now: int, request: RequestState) -> Send | None:
        before = request.may_have_executed
        request.may_have_executed = True  # the attempt in flight may do so yet
        send = self.dispatcher.send(now, request, untried_only=True)
        if send:
            self.dispatcher.retry_budget.withdraw(HEDGE_COST)
        else:
            request.may_have_executed = before
        return send

    def give_up_late(self, now: int) -> list[Action]:
        """End requests past their objective under congestion: they only take others' time."""
        actions: list[Action] = []
        for request in list(self.requests.open.values()) if self.model.congested else []:
            objective = request.request_class.latency_objective
            if not request.attempts_in_flight or now - request.arrived_at < objective:
                continue
            endpoint = self.load_balancer.endpoints.get(request.last_endpoint)
            # Not at an endpoint that is silent: the attempt's time-out has to come and tell so.
            if endpoint is not None and now - endpoint.last_response_at <= objective // 2:
                actions += self.dispatcher.cancel_attempts(request)
                request.may_have_executed = True
                actions.append(self.dispatcher.end(request))
        return actions
