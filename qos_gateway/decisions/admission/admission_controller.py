"""Admission: the customer's cap, the limit on all in flight, and the quota, in this order."""

from ...types import Action, Arrival, RejectReason
from ..congestion.queue_model import TARGET_WAIT_FRACTION
from ..quota.account.customer_account import CustomerAccount
from ..quota.quota_decision import QuotaReply, Verdict
from ..requests.dispatcher import Dispatcher
from ..requests.request_state import RequestState
from ..statistics.time_constants import LONG_MEMORY_NS, TICK_INTERVAL_NS
from .commitments import CommitmentTable
from .priority_demand import PriorityDemand

LOWEST_PRIORITY_FRACTION = 0.7  # part of the limit on all in flight that the lowest priority may fill
PRIORITY_SMOOTHING = 0.2  # weight of the newest request in a customer's mean priority
HEADROOM_GROWTH = 1.01  # per request, by which a customer's headroom recovers towards its classes'
RESERVATION_TIMEOUT_NS = TICK_INTERVAL_NS // 2  # over a round trip between gateways, far below an objective


class AdmissionController:
    """Decides on arrival whether a request is admitted, rejected, or held until its quota's owner answers."""

    def __init__(self, dispatcher: Dispatcher, commitments: CommitmentTable) -> None:
        self.dispatcher = dispatcher
        self.quota = dispatcher.quota
        self.commitments = commitments
        self.priority_demand = PriorityDemand(LONG_MEMORY_NS)
        self.awaiting_reservation: dict[int, RequestState] = {}  # by the reservation's number

    def on_arrival(self, now: int, arrival: Arrival) -> list[Action]:
        """Admit, reject or hold a request."""
        account = self.quota.account_for(now, arrival)
        priority = self._observe(now, account, arrival)
        if not account.in_flight_cap:
            self.commitments.evaluate(now, account, {})
        self.quota.refill(now, account)
        if account.in_flight >= account.in_flight_cap:
            return [self.dispatcher.reject(arrival, RejectReason.CUSTOMER_CAP)]
        if self._is_shed(now, priority):
            return [self.dispatcher.reject(arrival, RejectReason.LOAD_LIMIT)]
        request_class = self.dispatcher.settings.classes[arrival.class_index]
        return self._charge(now, RequestState(arrival, request_class, account, arrived_at=now))

    def _observe(self, now: int, account: CustomerAccount, arrival: Arrival) -> float:
        """Update what the customer asks for; return the request's priority, by the time it takes."""
        cls = self.dispatcher.settings.classes[arrival.class_index]
        account.observe(now, arrival.units)
        service_time = max(1.0, self.dispatcher.model.uncongested_latency(arrival.class_index))
        priority = cls.priority_weight * account.plan.weight_factor * arrival.units / service_time
        account.priority_weight += PRIORITY_SMOOTHING * (priority - account.priority_weight)
        self.priority_demand.add(now, arrival.kind, priority)
        headroom = TARGET_WAIT_FRACTION * self.dispatcher.model.headroom(arrival.class_index)
        account.headroom = min(account.headroom, headroom) * HEADROOM_GROWTH if account.headroom else headroom
        account.latency_objective = max(account.latency_objective, cls.latency_objective)
        return priority

    def _is_shed(self, now: int, priority: float) -> bool:
        """Tell whether the limit on all in flight sheds a request: the lowest priority meets it first."""
        limit = self.dispatcher.model.concurrency_limit
        in_flight = self.dispatcher.requests.working
        if limit is None or in_flight < LOWEST_PRIORITY_FRACTION * limit:
            return False
        below = self.priority_demand.fraction_below(now, priority)
        return in_flight >= limit * (LOWEST_PRIORITY_FRACTION + (1.0 - LOWEST_PRIORITY_FRACTION) * below)

    def _charge(self, now: int, request: RequestState) -> list[Action]:
        """Charge the customer's quota, or hold the request until whoever keeps it has answered."""
        arrival = request.arrival
        decision = self.quota.decide(now, request.account, arrival, self.dispatcher.model.congested)
        if decision.verdict is Verdict.ADMITTED:
            return decision.actions + self._admit(now, request, decision.report_usage)
        if decision.verdict is Verdict.REJECTED:
            return [*decision.actions, self.dispatcher.reject(arrival, RejectReason.QUOTA)]
        self.awaiting_reservation[decision.reservation] = request
        self.dispatcher.requests.add(request)
        return decision.actions

    def _admit(self, now: int, request: RequestState, report_usage: bool) -> list[Action]:
        send = self.dispatcher.send(now, request)
        if send is None:
            return [self.dispatcher.reject(request.arrival, RejectReason.NO_ENDPOINT)]
        self.dispatcher.requests.add(request)
        self.dispatcher.retry_budget.deposit()
        if not report_usage:
            return [send]
        request.acquire_slot()
        return [send, self.quota.report_consumed(now, request.account, request.arrival.units)]

    def on_reply(self, now: int, reply: QuotaReply) -> list[Action]:
        """Admit or reject the held request that a reply is for; without an answer decide locally."""
        request = self.awaiting_reservation.pop(reply.reservation, None)
        if request is None:
            return reply.actions
        if reply.granted:
            request.acquire_slot()
        actions = list(reply.actions)
        if self.dispatcher.requests.close(request.arrival.request_id) is not None:
            granted = reply.granted
            if granted is None:
                granted = self.quota.decide_locally(now, request.account, request.arrival.units)
            if granted:
                actions += self._admit(now, request, False)
            else:
                actions.append(self.dispatcher.reject(request.arrival, RejectReason.QUOTA))
        return actions + self.dispatcher.release_slot(now, request)

    def expire_reservations(self, now: int) -> list[Action]:
        """Decide locally on requests whose reservation was not answered in time."""
        waiting = self.awaiting_reservation
        expired = [n for n, request in waiting.items() if now - request.arrived_at >= RESERVATION_TIMEOUT_NS]
        return [action for number in expired for action in self.on_reply(now, QuotaReply(number))]
