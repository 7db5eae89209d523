"""Attempts of admitted requests: where each is sent, when it is given up, and what follows its end."""

from ...types.actions import Action, Fail, Reject, RejectReason, Send
from ...types.events import NOT_EXECUTED, Arrival, AttemptEnded, Outcome
from ...types.settings import Settings
from ...units import SECOND
from ..congestion.queue_model import QueueModel
from ..load_balancing.load_balancer import LoadBalancer
from ..quota.quota import Quota
from . import retry_rules
from .request_state import RequestState
from .request_table import RequestTable
from .retry_budget import RetryBudget

UNANSWERED_RATIO_FOR_TIMEOUT = 0.05  # part of recent attempts unanswered from which they get a time-out
UNANSWERED_PRIOR_SAMPLES = 3.0  # answered attempts that this part is taken to rest on from the start
TIMEOUT_LATENCIES = 3  # mean latencies after which an attempt times out; half its objective at least
HEDGE_AFTER_LATENCIES = 6  # mean latencies after which few responses still come: work varies, too
RETRY_BUDGET_RATIO = 0.1  # retries for each first attempt: keeps a failing fleet's load from being doubled
RETRY_BUDGET_BURST = 10.0  # retries that may be saved up
MIN_RETRY_COST = 0.1  # of a retry after an attempt that broke off at once: it took no endpoint's time
RETRY_AFTER_NS = SECOND // 5  # told to a rejected client: longer left capacity unused, and floods ignore it
RETRY_AFTER_OBJECTIVE_DIVISOR = 6  # of its objective at most: that runs from the first attempt on


class Dispatcher:
    """Sends attempts, and turns their outcomes into retries or the request's end."""

    def __init__(self, settings: Settings, model: QueueModel, balancer: LoadBalancer, quota: Quota) -> None:
        self.settings = settings
        self.model = model
        self.load_balancer = balancer
        self.quota = quota
        self.requests = RequestTable()
        self.retry_budget = RetryBudget(RETRY_BUDGET_RATIO, RETRY_BUDGET_BURST)

    def send(self, now: int, request: RequestState, untried_only: bool = False) -> Send | None:
        """Send an attempt to the endpoint picked for it, preferably one not tried yet; None if that fails."""
        arrival = request.arrival
        if now >= arrival.deadline or request.attempts_sent >= self.settings.max_attempts:
            return None
        allowed = retry_rules.retry_filter(now, request)
        picked = self.load_balancer.pick(now, arrival.kind, request.attempted_endpoints, allowed)
        if picked is None and not untried_only:
            picked = self.load_balancer.pick(now, arrival.kind, set(), allowed)
        if picked is None:
            return None
        self.load_balancer.attempt_started(now, picked)
        self.requests.attempt_sent(now, request, picked.endpoint)
        request.expected_latency = int(self.model.latency[arrival.class_index].value)
        half_objective = request.request_class.latency_objective // 2
        request.hedge_after = max(half_objective, HEDGE_AFTER_LATENCIES * request.expected_latency)
        timeout = self._attempt_timeout(now, request)
        return Send(arrival.request_id, picked.endpoint.id, timeout, retry_rules.retry_deadline(request))

    def _attempt_timeout(self, now: int, request: RequestState) -> int:
        """Return a time-out (ns), 0 for none: a guard against lost responses and hung endpoints."""
        cls = request.request_class
        may_retry = cls.is_repeatable and request.attempts_sent < self.settings.max_attempts
        if not may_retry or self.model.congested:  # under congestion all are slow, and it would do harm
            return 0
        class_index = request.arrival.class_index
        unanswered = self.load_balancer.unanswered_ratio[class_index]
        if unanswered.mean_with_prior(now, 0.0, UNANSWERED_PRIOR_SAMPLES) < UNANSWERED_RATIO_FOR_TIMEOUT:
            return 0
        return max(cls.latency_objective // 2, int(TIMEOUT_LATENCIES * self.model.latency[class_index].value))

    def response_started(self, request_id: int, attempt: int) -> list[Action]:
        """Bind the request to this attempt: no other is made, and those in flight are cancelled."""
        request = self.requests.response_started(request_id, attempt)
        return [] if request is None else self.cancel_attempts(request, attempt)

    def cancel_attempts(self, request: RequestState, except_for: int = -1) -> list[Action]:
        """Cancel a request's attempts in flight but for one."""
        return self.requests.cancellations(request, except_for) if self.settings.may_cancel else []

    def attempt_ended(self, now: int, event: AttemptEnded) -> list[Action]:
        """Learn from an attempt's outcome; then the request is over, retried, or waits for other attempts."""
        request = self.requests.attempt_ended(event.request_id, event.attempt)
        if request is None:
            return []
        latencies = self._learn(now, event, request)
        actions: list[Action] = []
        if event.request_finished:
            self.requests.open.pop(event.request_id, None)
            if not request.response_started:  # else the others were cancelled when it started
                actions += self.cancel_attempts(request)
        if not request.attempts_in_flight and event.request_id in self.requests.open:
            actions.append(self._retry_or_end(now, request, max(MIN_RETRY_COST, min(1.0, latencies))))
        return actions + self.release_slot(now, request)

    def release_slot(self, now: int, request: RequestState) -> list[Action]:
        """Release the in-flight slot that a request holds, once it has no attempt in flight."""
        if request.attempts_in_flight or not request.holds_in_flight_slot:
            return []
        request.holds_in_flight_slot = False
        return self.quota.release_slot(now, request.account)

    def _learn(self, now: int, event: AttemptEnded, request: RequestState) -> float:
        """Pass on what an outcome tells; return how many mean latencies the attempt took."""
        class_index = request.arrival.class_index
        if event.quota_usage:
            self.quota.record_usage(now, request.account, event.quota_usage - 1)
        if event.outcome is Outcome.OK:
            self.model.latency[class_index].add(now, event.elapsed)
            if self.settings.settles_actual_units and event.actual_units:
                request.account.buckets.settle(event.actual_units - request.arrival.units)
        latencies = event.elapsed / max(1.0, self.model.latency[class_index].value)
        self.load_balancer.attempt_ended(now, event, request.arrival.kind, latencies)
        if event.outcome not in NOT_EXECUTED:
            request.may_have_executed = True
        return latencies

    def _retry_or_end(self, now: int, request: RequestState, cost: float) -> Action:
        """Retry where the class, the time left and the retry budget allow it; else end the request."""
        allowed = not request.may_have_executed or request.request_class.is_repeatable
        if allowed and self.retry_budget.allows(cost) and (send := self.send(now, request)):
            self.retry_budget.withdraw(cost)
            return send
        return self.end(request)

    def end(self, request: RequestState) -> Reject | Fail:
        """Give a request up: its final answer is a rejection where a client's retry is harmless."""
        del self.requests.open[request.arrival.request_id]
        if retry_rules.is_retry_harmless(request):
            return self.reject(request.arrival, RejectReason.NO_RETRY)
        return Fail(request.arrival.request_id)

    def reject(self, arrival: Arrival, reason: RejectReason) -> Reject:
        """Reject a request, with the time after which its client may retry."""
        objective = self.settings.classes[arrival.class_index].latency_objective
        wait = min(RETRY_AFTER_NS, objective // RETRY_AFTER_OBJECTIVE_DIVISOR, self.settings.max_retry_after)
        return Reject(arrival.request_id, wait * self.settings.sends_retry_after, reason)
