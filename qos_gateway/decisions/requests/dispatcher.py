"""Dispatch of admitted requests: attempts, retries, and the end without a response."""

from ...types.actions import Action, Fail, Reject, RejectReason, Send
from ...types.events import NOT_EXECUTED, Arrival, AttemptEnded, Outcome
from ...types.settings import RequestClass, Settings
from ...units import SECOND
from ..congestion.queue_model import QueueModel
from ..load_balancing.load_balancer import LoadBalancer
from ..quota.quota import Quota
from . import retry_policy
from .attempt_timeouts import AttemptTimeouts
from .request_state import RequestState
from .request_table import RequestTable
from .retry_budget import RetryBudget, retry_cost

MAX_RETRY_AFTER_NS = SECOND // 5  # a longer wait leaves capacity unused
RETRY_AFTER_OBJECTIVE_DIVISOR = 6  # the latency objective includes the wait before the retry


class Dispatcher:
    """Sends attempts, and decides after each whether to retry or to end the request."""

    def __init__(
        self, settings: Settings, model: QueueModel, load_balancer: LoadBalancer, quota: Quota
    ) -> None:
        self.settings = settings
        self.model = model
        self.load_balancer = load_balancer
        self.quota = quota
        self.requests = RequestTable()
        self.retry_budget = RetryBudget()
        self._timeouts = AttemptTimeouts(settings, model, load_balancer)
        self._retry_after = [_retry_after(settings, cls) for cls in settings.classes]

    def send(self, now: int, request: RequestState, untried_only: bool = False) -> Send | None:
        """Send an attempt, preferably to an endpoint not tried yet; None if no attempt is possible."""
        arrival = request.arrival
        if now >= arrival.deadline or request.attempts_sent >= self.settings.max_attempts:
            return None
        allowed = retry_policy.allowed_endpoints(now, request)
        picked = self.load_balancer.pick(now, arrival.class_and_plan, request.attempted_endpoints, allowed)
        if picked is None and not untried_only:
            picked = self.load_balancer.pick(now, arrival.class_and_plan, set(), allowed)
        if picked is None:
            return None
        self.load_balancer.attempt_started(now, picked)
        self.requests.attempt_sent(now, request, picked.endpoint)
        expected_latency = int(self.model.class_latency[arrival.class_index].mean.value)
        request.expect_response(expected_latency, self._timeouts.hedge_after(request, expected_latency))
        timeout = self._timeouts.timeout(now, request)
        return Send(arrival.request_id, picked.endpoint.id, timeout, retry_policy.send_deadline(request))

    def response_started(self, request_id: int, attempt: int) -> list[Action]:
        """Commit the request to this attempt: cancel the others and send no more."""
        request = self.requests.response_started(request_id, attempt)
        return [] if request is None else self.cancel_attempts(request, attempt)

    def cancel_attempts(self, request: RequestState, except_for: int = -1) -> list[Action]:
        """Cancel a request's attempts in flight except for the one with that index."""
        return self.requests.cancellations(request, except_for) if self.settings.may_cancel else []

    def attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        """Record an attempt's outcome, then retry or end an open request without attempts in flight."""
        request = self.requests.attempt_ended(event.request_id, event.attempt)
        if request is None:
            return []
        relative_latency = self._record_outcome(now, event, request)
        actions: list[Action] = []
        if event.request_finished:
            self.requests.close(event.request_id)
            if not request.response_started:  # otherwise they were cancelled at the start of the response
                actions += self.cancel_attempts(request)
        if not request.attempts_in_flight and event.request_id in self.requests.open:
            actions.append(self._retry_or_end(now, request, retry_cost(relative_latency)))
        return actions + self.release_slot(now, request)

    def release_slot(self, now: int, request: RequestState) -> list[Action]:
        """Release the in-flight slot that a request holds, once it has no attempt in flight."""
        if request.attempts_in_flight or not request.holds_in_flight_slot:
            return []
        request.release_slot()
        return self.quota.release_slot(now, request.account)

    def _record_outcome(self, now: int, event: AttemptEnded, request: RequestState) -> float:
        """Record an outcome in all statistics; return the latency relative to the mean of the class."""
        class_index = request.arrival.class_index
        if event.quota_usage:
            self.quota.record_usage(now, request.account, event.quota_usage - 1)
        class_latency = self.model.class_latency[class_index]
        if event.outcome is Outcome.OK:
            self.model.add_latency(now, class_index, event.elapsed)
            if self.settings.settles_actual_units and event.actual_units:
                request.account.buckets.settle(event.actual_units - request.arrival.units)
        relative_latency = event.elapsed / max(1.0, class_latency.mean.value)
        self.load_balancer.attempt_ended(now, event, request.arrival.class_and_plan, relative_latency)
        if event.outcome not in NOT_EXECUTED:
            request.execution.mark_possibly_executed()
        return relative_latency

    def _retry_or_end(self, now: int, request: RequestState, cost: float) -> Action:
        """Retry if policy, deadline and retry budget allow it; otherwise end the request."""
        allowed = retry_policy.may_gateway_retry(request) and self.retry_budget.allows(cost)
        if allowed and (send := self.send(now, request)):
            self.retry_budget.withdraw(cost)
            return send
        return self.end(request)

    def end(self, request: RequestState) -> Reject | Fail:
        """Close a request without a response: reject it if the client may retry it, otherwise fail it."""
        self.requests.close(request.arrival.request_id)
        if retry_policy.may_client_retry(request):
            return self.reject(request.arrival, RejectReason.NO_RETRY)
        return Fail(request.arrival.request_id)

    def reject(self, arrival: Arrival, reason: RejectReason) -> Reject:
        """Reject a request, with the Retry-After of its class."""
        return Reject(arrival.request_id, self._retry_after[arrival.class_index], reason)


def _retry_after(settings: Settings, request_class: RequestClass) -> int:
    """Return the Retry-After (ns) of a class's rejections; 0 where none is sent."""
    by_objective = request_class.latency_objective // RETRY_AFTER_OBJECTIVE_DIVISOR
    return min(MAX_RETRY_AFTER_NS, by_objective, settings.max_retry_after) * settings.sends_retry_after
