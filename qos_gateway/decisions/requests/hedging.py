"""Hedging: a second attempt for a request whose first response was probably lost."""

from ...types import Action, Send
from ..congestion.queue_model import QueueModel
from ..load_balancing.load_balancer import LoadBalancer
from .dispatcher import Dispatcher
from .request_state import RequestState

HEDGE_COST = 1.0  # tokens of the retry budget


class Hedging:
    """Sends hedges within the retry budget."""

    def __init__(self, dispatcher: Dispatcher, model: QueueModel, load_balancer: LoadBalancer) -> None:
        self._enabled = dispatcher.settings.hedging
        self._dispatcher = dispatcher
        self._requests = dispatcher.requests
        self._retry_budget = dispatcher.retry_budget
        self._model = model
        self._load_balancer = load_balancer

    def send_hedges(self, now: int) -> list[Action]:
        """Hedge requests whose endpoint answered newer attempts, unless congestion explains the delay."""
        if self._model.congested or not self._enabled:
            return []
        actions: list[Action] = []
        waiting = [r for r in self._requests.open.values() if r.attempts_in_flight == 1]
        for request in [r for r in waiting if now - r.last_attempt_at >= r.hedge_after]:
            if not self._retry_budget.allows(HEDGE_COST):
                break
            if self._may_hedge(request) and (send := self._send_hedge(now, request)):
                actions.append(send)
        return actions

    def _may_hedge(self, request: RequestState) -> bool:
        """Return whether the class allows a hedge and the endpoint has answered a newer attempt."""
        sent_since = request.last_attempt_at + request.expected_latency
        answered = self._load_balancer.has_successful_send_since(request.last_endpoint, sent_since)
        return answered and request.request_class.is_retryable_after_execution

    def _send_hedge(self, now: int, request: RequestState) -> Send | None:
        """Send a second attempt to an endpoint not tried yet; None if no attempt is possible."""
        execution = request.execution
        may_have_executed = execution.may_have_executed
        execution.mark_possibly_executed()  # the attempt in flight may still execute it
        send = self._dispatcher.send(now, request, untried_only=True)
        if send:
            self._retry_budget.withdraw(HEDGE_COST)
        elif not may_have_executed:
            execution.unmark_possibly_executed()
        return send
