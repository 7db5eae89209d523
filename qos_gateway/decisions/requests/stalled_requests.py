"""Open requests whose responses stay out: presumed lost, hedged, moved to another zone, or given up."""

from ...types import Action, CloseIdleConnections, Idempotence, LogLine, Send
from ..congestion.outstanding_attempt import OutstandingAttempt
from .dispatcher import Dispatcher
from .request_state import RequestState

LOST_AFTER_LATENCIES = 4.0  # mean latencies by which newer attempts overtake one that then counts as lost
HEDGE_COST = 1.0  # of the retry budget, for a hedged request's second attempt


def outstanding_attempts(now: int, dispatcher: Dispatcher) -> list[OutstandingAttempt]:
    """Return the newest attempts that still wait in the queue: lost responses are no congestion."""
    balancer = dispatcher.load_balancer
    lost_after = [LOST_AFTER_LATENCIES * latency.value for latency in dispatcher.model.latency]

    def is_lost(request: RequestState) -> bool:
        sent_at = request.last_attempt_at
        overtaken = balancer.latest_answered_send - sent_at > lost_after[request.arrival.class_index] > 0.0
        return overtaken or balancer.was_lost_with_zone(request.last_endpoint, sent_at)

    return [
        OutstandingAttempt(request.arrival.class_index, now - request.last_attempt_at)
        for request in dispatcher.requests.open.values()
        if request.attempts_sent and not is_lost(request)
    ]


def leave_unresponsive_zones(now: int, dispatcher: Dispatcher) -> list[Action]:
    """Cancel attempts at zones that fell silent where the class allows a retry elsewhere."""
    actions: list[Action] = []
    requests = dispatcher.requests.open.values()
    for found in dispatcher.load_balancer.detect_unresponsive_zones(now, requests):
        actions.append(LogLine(f"zone_unresponsive zone={found.zone} attempts={len(found.requests)}"))
        actions += [CloseIdleConnections(endpoint) for endpoint in found.endpoints]
        for request in found.requests:
            if request.request_class.idempotence is Idempotence.IDEMPOTENT:
                actions += dispatcher.cancel_attempts(request)
    return actions


def hedge(now: int, dispatcher: Dispatcher) -> list[Action]:
    """Send a second attempt where newer ones were answered and no congestion explains the wait."""
    if dispatcher.model.congested or not dispatcher.settings.hedging:
        return []
    actions: list[Action] = []
    waiting = [r for r in dispatcher.requests.open.values() if r.attempts_in_flight == 1]
    for request in [r for r in waiting if now - r.last_attempt_at >= r.hedge_after]:
        if not dispatcher.retry_budget.allows(HEDGE_COST):
            break
        newer = request.last_attempt_at + request.expected_latency
        answered = dispatcher.load_balancer.answered_since(request.last_endpoint, newer)
        repeatable = request.request_class.is_repeatable
        if answered and repeatable and (send := _send_hedge(now, dispatcher, request)):
            actions.append(send)
    return actions


def _send_hedge(now: int, dispatcher: Dispatcher, request: RequestState) -> Send | None:
    before = request.execution.may_have_executed
    request.execution.assume_executed()  # the attempt in flight still may do so
    send = dispatcher.send(now, request, untried_only=True)
    if send:
        dispatcher.retry_budget.withdraw(HEDGE_COST)
    elif not before:
        request.execution.withdraw_assumption()
    return send


def give_up_late(now: int, dispatcher: Dispatcher) -> list[Action]:
    """End requests past their objective under congestion: they only take others' time."""
    actions: list[Action] = []
    for request in list(dispatcher.requests.open.values()) if dispatcher.model.congested else []:
        objective = request.request_class.latency_objective
        if not request.attempts_in_flight or now - request.arrived_at < objective:
            continue
        endpoint = dispatcher.load_balancer.endpoints.get(request.last_endpoint)
        # Not at an endpoint that is silent: the attempt's time-out has to come and tell so.
        if endpoint is not None and now - endpoint.last_response_at <= objective // 2:
            actions += dispatcher.cancel_attempts(request)
            request.execution.assume_executed()
            actions.append(dispatcher.end(request))
    return actions
