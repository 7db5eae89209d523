"""Admission control: checks the customer's cap, the concurrency limit and the quota, in this order."""

from ...types import Action, Arrival, RejectReason, Settings
from ..congestion.queue_model import TARGET_WAIT_FRACTION, QueueModel
from ..quota.quota import Quota
from ..quota.quota_decision import QuotaReply, Verdict
from ..requests.dispatcher import Dispatcher
from ..requests.request_state import RequestState
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS
from .commitment import Commitment
from .commitment_table import CommitmentTable
from .load_shedding import LoadShedder
from .pending_reservations import PendingReservations
from .priority_demand import PriorityDemand


class AdmissionController:
    """Admits, rejects, or holds each arriving request; a held one waits for the reply to its reservation."""

    def __init__(
        self,
        settings: Settings,
        model: QueueModel,
        quota: Quota,
        dispatcher: Dispatcher,
        commitments: CommitmentTable,
    ) -> None:
        self.request_classes = settings.classes
        self.model = model
        self.quota = quota
        self.dispatcher = dispatcher
        self.requests = dispatcher.requests
        self.retry_budget = dispatcher.retry_budget
        self.commitments = commitments
        self.priority_demand = PriorityDemand(LONG_TIME_CONSTANT_NS)
        self.load_shedder = LoadShedder(model, self.requests, self.priority_demand)
        self.pending_reservations = PendingReservations()

    def on_arrival(self, now: int, arrival: Arrival) -> list[Action]:
        """Admit, reject or hold a request."""
        account = self.quota.account_for(now, arrival)
        for customer_id in self.quota.accounts.take_evicted():
            self.commitments.remove(customer_id)
        if account is None:
            return [self.dispatcher.reject(arrival, RejectReason.CUSTOMER_LIMIT)]
        account.record_request(now, arrival.units)
        commitment = self.commitments.by_customer.get(account.customer_id) or self.commitments.add(account)
        priority = self._observe(now, commitment, arrival)
        if not commitment.in_flight_cap:
            self.commitments.evaluate(now, commitment, {})
        self.quota.refill(now, account)
        if account.in_flight >= commitment.in_flight_cap:
            return [self.dispatcher.reject(arrival, RejectReason.CUSTOMER_CAP)]
        if self.load_shedder.should_shed(now, priority):
            return [self.dispatcher.reject(arrival, RejectReason.LOAD_LIMIT)]
        request_class = self.request_classes[arrival.class_index]
        return self._decide_quota(now, RequestState(arrival, request_class, account, arrived_at=now))

    def _observe(self, now: int, commitment: Commitment, arrival: Arrival) -> float:
        """Record an arrival in the demand; return the request's priority, its weight per latency."""
        request_class = self.request_classes[arrival.class_index]
        service_time = max(1.0, self.model.uncongested_latency(arrival.class_index))
        weight = request_class.priority_weight * commitment.account.plan.weight_factor
        priority = weight * arrival.units / service_time
        self.priority_demand.add(now, arrival.class_and_plan, priority)
        headroom = TARGET_WAIT_FRACTION * self.model.headroom(arrival.class_index)
        commitment.observe(priority, headroom, request_class.latency_objective)
        return priority

    def _decide_quota(self, now: int, request: RequestState) -> list[Action]:
        """Charge the customer's quota; hold the request while a reservation is pending."""
        decision = self.quota.decide(now, request.account, request.arrival, self.model.congested)
        if decision.verdict is Verdict.ADMITTED:
            return decision.actions + self._admit(now, request, decision.report_usage)
        if decision.verdict is Verdict.REJECTED:
            return [*decision.actions, self.dispatcher.reject(request.arrival, RejectReason.QUOTA)]
        self.pending_reservations.add(now, decision.reservation, request)
        self.requests.add(request)
        return decision.actions

    def _admit(self, now: int, request: RequestState, report_usage: bool) -> list[Action]:
        """Send the first attempt; reject the request if no endpoint is available."""
        send = self.dispatcher.send(now, request)
        if send is None:
            return [self.dispatcher.reject(request.arrival, RejectReason.NO_ENDPOINT)]
        self.requests.add(request)
        self.retry_budget.deposit()
        if not report_usage:
            return [send]
        request.acquire_slot()
        return [send, self.quota.report_consumed(now, request.account, request.arrival.units)]

    def on_quota_reply(self, now: int, reply: QuotaReply) -> list[Action]:
        """Admit or reject the request that was held for this reply."""
        request = self.pending_reservations.remove(reply.reservation)
        if request is None:
            return reply.actions
        if reply.granted:
            request.acquire_slot()
        actions = list(reply.actions)
        if self.requests.close(request.arrival.request_id) is not None:
            actions += self._decide_pending(now, request, reply.granted)
        return actions + self.dispatcher.release_slot(now, request)

    def _decide_pending(self, now: int, request: RequestState, granted: bool | None) -> list[Action]:
        """Admit or reject a held request; `granted` is None without a reply, which is decided locally."""
        if granted is None:
            granted = self.quota.decide_locally(now, request.account, request.arrival.units)
        if granted:
            return self._admit(now, request, False)
        return [self.dispatcher.reject(request.arrival, RejectReason.QUOTA)]

    def expire_reservations(self, now: int) -> list[Action]:
        """Decide locally on requests whose reservations have expired."""
        expired = self.pending_reservations.expired(now)
        return [action for number in expired for action in self.on_quota_reply(now, QuotaReply(number))]
