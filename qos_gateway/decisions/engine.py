"""Every decision of a gateway: which customers' requests go on, to which backend, and which are refused.

Read `types.py` first, for types, events and actions. The mechanism is a QoS broker's: a table of
commitments, a closed queuing model and seven cases that grant each customer a cap on requests in flight.
"""

from __future__ import annotations

import random
from math import ceil

from ..peer_messages import ReservationKind
from ..state.customer import CustomerAccount
from ..state.decaying_mean import DecayingMean
from ..state.request import RequestState
from ..types import (
    NOT_EXECUTED,
    Action,
    Arrival,
    AttemptEnded,
    CancelAttempt,
    ClientDisconnected,
    CloseIdleConnections,
    CounterReplied,
    Event,
    Fail,
    Idempotence,
    IdempotencyScope,
    ListKind,
    LogLine,
    Outcome,
    PeerMessage,
    Reject,
    ResponseStarted,
    Send,
    SendPeerMessage,
    SetEndpointEnabled,
    SetTimer,
    Settings,
    TimerFired,
    Topology,
    WatchEndpoints,
)
from ..units import SECOND
from .load_balancer import LoadBalancer
from .queue_model import TARGET_WAIT_FRACTION, QueueModel, seven_cases
from .queue_model import TICK as TICK
from .quota import EVALUATION_INTERVAL, IN_FLIGHT_UNIT, REPORT_FRESH_FOR, Quota
from .retry_rules import retry_deadline, retry_filter
from .time_constants import LONG_MEMORY

# Tuned values: unit and reason behind each; times are chosen against aims of the order of a second.
COMMITMENT_IDLE_TIME = (
    10 * SECOND
)  # a commitment without requests ends; outlasts the lulls of a steady customer
ACCOUNT_RETENTION = (
    120 * SECOND
)  # an idle customer's bucket is dropped, long since full: memory must not grow for ever
RARE_ACCOUNT_RETENTION = 20 * SECOND  # the same for one that hardly came: most such never come again
RARE_CUSTOMER_QUARTER_UNITS = 8  # quarter units sent on up to which a customer hardly came
LOWEST_PRIORITY_FRACTION = (
    0.7  # part of the model's in-flight limit that the least worth may fill under pressure
)
UNANSWERED_RATIO_FOR_TIMEOUT = (
    0.05  # part of the attempts unanswered of late from which an attempt gets a time-out
)
RETRY_BUDGET_RATIO = 0.1  # further attempts for each first one: keeps a failing fleet from being doubled
MIN_RETRY_COST = 0.1  # what a further attempt costs of them at least, where the one before broke off at once
RETRY_BUDGET_BURST = 10.0  # further attempts that may be saved up
HEDGE_AFTER_LATENCIES = (
    6  # mean latencies after which few answers still come: the work of requests varies, too
)
LOST_AFTER_LATENCIES = 4.0  # mean latencies by which an open attempt is overtaken before it counts as lost
USAGE_GRANT_SPAN = 0.5  # of a quota, around all used: the meter's word goes from surely room to surely none
RETRY_AFTER = SECOND // 5  # wait told to a refused client: longer left room unused, and floods do not heed it
RETRY_AFTER_OBJECTIVE_DIVISOR = (
    6  # ... of its aim at most: it runs on from the first try, and a later one is worth nothing
)
TICK_TIMER, LIST_RETRY_TIMER = 1, 2  # timer tokens
OUTGOING_FRACTION, INCOMING_FRACTION = (
    0.25,
    0.75,
)  # parts of what two processes share: the old one only finishes what still comes to it
RESERVATION_TIMEOUT = (
    TICK // 2
)  # wait for a home's answer: over a round trip between gateways, far below an aim


class DecisionEngine:
    """One gateway's decisions: hand it every event in order and carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.settings, self.rng, self.model = settings, random.Random(seed), QueueModel(settings)
        self.quota = Quota(settings, seed, now, self.rng)
        self.load_balancer = LoadBalancer(settings, self.rng)
        self.requests: dict[int, RequestState] = {}
        self.awaiting_reservation: dict[
            int, RequestState
        ] = {}  # waiting for a home's or the counter's answer, by the ask's number
        self.commitments: dict[int, CustomerAccount] = {}  # the table of commitments
        self.attempts: dict[tuple[int, int], RequestState] = {}
        self.in_flight, self.presumed_lost, self.retry_tokens = 0, 0, RETRY_BUDGET_BURST
        self.demand_by_value: dict[tuple[int, int], DecayingMean] = {}
        self.started = False
        self.gossiped_at, self.pruned_at, self.congestion_logged_at = now, now, now - LONG_MEMORY

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take in one event; the actions take effect at `now`."""
        actions: list[Action] = []
        if not self.started:
            self.started = True
            actions += [SetTimer(TICK, TICK_TIMER), *[WatchEndpoints(True)] * self.settings.polls_discovery]
        match event:
            case Arrival():
                actions += self._arrived(now, event)
            case AttemptEnded():
                actions += self._ended(now, event)
            case ResponseStarted(number, _, attempt):
                actions += self._begun(number, attempt)
            case Topology():
                self.load_balancer.update_list(now, event)
                if event.kind is ListKind.FAILED:
                    actions.append(SetTimer(SECOND, LIST_RETRY_TIMER))
            case SetEndpointEnabled(endpoint, enabled):
                self.load_balancer.set_enabled(now, endpoint, enabled)
            case ClientDisconnected():
                self.requests.pop(event.request_id, None)
            case TimerFired(token):
                actions += self._tick(now) if token == TICK_TIMER else [WatchEndpoints(True)]
            case PeerMessage() if self.quota.uses_gossip:
                self.quota.on_gossip(now, event)
            case PeerMessage():
                actions += self._decided(now, *self.quota.on_reservation_message(now, event))
            case CounterReplied():
                actions += self._decided(now, *self.quota.on_counter_reply(now, event))
        return actions

    def excluded_endpoints(self, now: int) -> int:
        return self.load_balancer.excluded_count(now)

    def _tick(self, now: int) -> list[Action]:
        actions: list[Action] = [SetTimer(TICK, TICK_TIMER), *self._overdue(now), *self._silent_zones(now)]
        usual = [LOST_AFTER_LATENCIES * latency.value for latency in self.model.latency]
        outstanding = [  # overtaken, others wait in no shared queue: lost answers are no overload
            (r.arrival.class_index, now - r.last_attempt_at)
            for r in self.requests.values()
            if r.attempts_sent
            and not self.load_balancer.latest_answered_send - r.last_attempt_at
            > usual[r.arrival.class_index]
            > 0.0
            and not self.load_balancer.was_lost_with_zone(r.last_endpoint, r.last_attempt_at)
        ]
        self.presumed_lost = len(self.requests) - len(self.awaiting_reservation) - len(outstanding)
        self.model.fit(now, self.in_flight - self.presumed_lost, outstanding)
        actions += self._second_copies(now)
        actions += self._too_late(now)
        self.load_balancer.refresh(now)
        self._evaluate_all(now)
        if self.quota.uses_gossip and now - self.gossiped_at >= self.quota.gossip_interval - TICK // 2:
            self.gossiped_at = now
            actions.append(SendPeerMessage(None, self.quota.gossip_message(now)))
        pressed = (
            self.model.concurrency_limit is not None
            and self.in_flight >= LOWEST_PRIORITY_FRACTION * self.model.concurrency_limit
        )
        if pressed and now - self.congestion_logged_at >= LONG_MEMORY:
            self.congestion_logged_at = now
            actions.append(
                LogLine(f"pressed: in flight {self.in_flight}, limit {self.model.concurrency_limit}")
            )
        return actions

    def _evaluate_all(self, now: int) -> None:
        """Evaluate whoever is due, least worth first, so that cuts fall on the cheap before the dear."""
        for account in list(self.commitments.values()):
            account.mean_in_flight.add(now, account.in_flight)
            if now - account.last_request_at > COMMITMENT_IDLE_TIME and not account.in_flight:
                account.in_flight_cap = 0  # the commitment ends; the bucket stays, as the quota does
                del self.commitments[account.customer_id]
        due = [a for a in self.commitments.values() if now - a.evaluated_at >= EVALUATION_INTERVAL]
        for account in sorted(due, key=lambda a: (a.priority_weight, a.customer_id)):
            self._evaluate(now, account)
        if now - self.pruned_at >= COMMITMENT_IDLE_TIME:
            self.pruned_at, known = now, self.quota.accounts
            self.quota.pending_calls = {
                name: calls for name, calls in self.quota.pending_calls.items() if calls
            }
            self.quota.accounts = {
                c: a for c, a in known.items() if a.in_flight or now - a.last_request_at <= self._keep(a)
            }

    def _keep(self, account: CustomerAccount) -> int:
        """How long a customer's account outlasts its last request; the store must be full by then."""
        plan = account.plan
        full = 2 * plan.burst / max(plan.rate, 1e-9), plan.ceiling_burst / max(plan.ceiling_rate, 1e-9)
        once = max(RARE_ACCOUNT_RETENTION, int(SECOND * max(full)))
        return (
            min(ACCOUNT_RETENTION, once)
            if account.spent_quarter_units <= RARE_CUSTOMER_QUARTER_UNITS and not account.peer_totals
            else ACCOUNT_RETENTION
        )

    def _wanted(self, now: int, account: CustomerAccount) -> tuple[int, float]:
        """Nreq and XMIN: quota slice x aim plus a slice of the burst, two at least."""
        part = self.quota.quota_share(now, account) / (account.demand.value or 1.0)
        rate, burst = account.plan.rate * part, account.plan.burst * part
        return max(2, ceil(rate * account.latency_objective / SECOND + burst)), min(
            rate, account.demand.rate(now)
        )

    def _evaluate(self, now: int, account: CustomerAccount) -> None:
        account.evaluated_at, self.commitments[account.customer_id] = now, account
        wanted, least = self._wanted(now, account)
        if not self.model.congested:
            account.in_flight_cap = wanted
            return
        busy = [a for a in self.commitments.values() if a is not account and a.mean_in_flight.value > 0.05]
        others = sum(
            a.mean_in_flight.value if a.in_flight_cap > 1 else min(1.0, a.mean_in_flight.value) for a in busy
        )
        room = min((a.headroom for a in busy), default=account.headroom)
        spans = (
            a.in_flight_cap * SECOND / max(self._wanted(now, a)[1], 1e-3) for a in busy if a.in_flight_cap > 1
        )
        slowest = min(spans, default=float("inf"))

        def wait(n: int) -> float:
            return self.model.response_time(others + n) - self.model.delay

        offered = seven_cases(
            max(wanted, ceil(account.mean_in_flight.value)),
            lambda n: wait(n) <= account.headroom,
            lambda n: n * SECOND >= least * (self.model.delay + wait(n)),
            lambda n: wait(n) <= room and self.model.delay + wait(n) <= slowest,
        )
        account.in_flight_cap = max(1, offered)

    # The life of a request.

    def _arrived(self, now: int, a: Arrival) -> list[Action]:
        account = self.quota.account(now, a.customer_id, a.plan_index, a.gateway_spread, a.first_gateway)
        account.last_request_at, cls = now, self.settings.classes[a.class_index]
        account.demand.add(now, a.units)
        account.long_demand.add(now, a.units)
        density = (
            cls.priority_weight
            * account.plan.weight_factor
            * a.units
            / max(1.0, self.model.uncongested_latency(a.class_index))
        )
        account.priority_weight += 0.2 * (density - account.priority_weight)
        self.demand_by_value.setdefault((a.class_index, a.plan_index), DecayingMean(LONG_MEMORY)).add(
            now, density
        )
        room = TARGET_WAIT_FRACTION * self.model.headroom(a.class_index)
        account.headroom = min(account.headroom, room) * 1.01 if account.headroom else room
        account.latency_objective = max(account.latency_objective, cls.latency_objective)
        if not account.in_flight_cap:
            self._evaluate(now, account)
        self.quota.refill(now, account)
        if account.in_flight >= account.in_flight_cap or self._over_limit(now, density):
            return [self._refusal(a)]
        return self._within_quota(now, RequestState(a, account, arrived_at=now))

    def _within_quota(self, now: int, request: RequestState) -> list[Action]:
        """Decide by the store kept here, or ask whoever keeps it and hold the request a moment."""
        quota, account, a, plan = self.quota, request.account, request.arrival, request.account.plan
        pays = plan.excess_weight > plan.excess_cost and not self.model.congested
        if quota.leases and quota.is_leased(account):
            claims = quota.leases.claim(now, account, self.settings.largest_request_units, quota.call_rate)
            may = quota.spend_leased(now, account, a.units, pays)
            return claims + (self._admit(now, request, False) if may else [self._refusal(a)])
        if quota.uses_counter and not quota.is_owner(account) and (pays or not plan.max_in_flight):
            if quota.spend_from_slice(now, account, a.units):
                return self._admit(now, request, False)
            if pays and not plan.ceiling_rate:
                return self._admit(now, request, False)
            if account.tokens < a.units:
                return [self._refusal(a)]  # the most that the store can hold by now
        # Word this fresh is acted on at once, and the use told afterwards: no wait where gateways are few.
        knows = quota.uses_counter and now - account.reported_at < REPORT_FRESH_FOR // 4
        if knows and account.tokens >= a.units and not quota.below_ceiling(account, a.units):
            knows = False  # there is room, though not in this slice of the ceiling: the counter may grant it
        if knows or quota.is_owner(account):
            may = pays or quota.permits(now, account, a.units)
            if not may or not quota.debit(account, a.units, pays):
                return [self._refusal(a)]
            return self._admit(now, request, knows)
        trusted = quota.call_rate < 1.0 and quota.may_spend_unreported(now, account, a.units)
        if not (
            quota.uses_owners or (quota.uses_counter and self.rng.random() < quota.call_probability(trusted))
        ):
            return self._alone(now, request, trusted)
        if pays and not plan.ceiling_rate:
            return self._admit(now, request, False)
        tag, action = quota.reserve(now, account, a.units, ReservationKind.RESERVE, trusted)
        if a.deadline - now < 4 * TICK:
            return [action, *self._alone(now, request, trusted)]
        request.reservation_sent_at = now
        self.awaiting_reservation[tag] = self.requests[a.request_id] = request
        return [action]

    def _alone(self, now: int, request: RequestState, trusted: bool = False) -> list[Action]:
        may = self.quota.decide_locally(now, request.account, request.arrival.units, trusted)
        return self._admit(now, request, False) if may else [self._refusal(request.arrival)]

    def _admit(self, now: int, request: RequestState, tell: bool) -> list[Action]:
        a = request.arrival
        if (send := self._send(now, request)) is None:
            return [self._refusal(a)]
        self.requests[a.request_id] = request
        self.retry_tokens = min(RETRY_BUDGET_BURST, self.retry_tokens + RETRY_BUDGET_RATIO)
        request.holds_in_flight_slot |= tell
        return (
            [send, self.quota.reserve(now, request.account, a.units, ReservationKind.CONSUME)[1]]
            if tell
            else [send]
        )

    def _decided(self, now: int, tag: int, granted: bool | None, more: list[Action]) -> list[Action]:
        """A held request goes on, or is refused; without an answer this gateway decides alone."""
        request = self.awaiting_reservation.pop(tag, None)
        if request is None:
            return more
        request.holds_in_flight_slot = granted is True
        if self.requests.pop(request.arrival.request_id, None):
            if granted is None:
                more += self._alone(now, request)
            else:
                more += self._admit(now, request, False) if granted else [self._refusal(request.arrival)]
        return more + self._release(now, request)

    def _release(self, now: int, request: RequestState) -> list[Action]:
        if (
            request.attempts_in_flight
            or not request.holds_in_flight_slot
            or not self.quota.in_flight_slot(request.account)
        ):
            return []
        request.holds_in_flight_slot = False
        return [self.quota.add_to_counter(now, request.account, -IN_FLIGHT_UNIT)]

    def _overdue(self, now: int) -> list[Action]:
        overdue = [
            tag
            for tag, request in self.awaiting_reservation.items()
            if now - request.reservation_sent_at >= RESERVATION_TIMEOUT
        ]
        actions = [action for tag in overdue for action in self._decided(now, tag, None, [])]
        # Places still counted though nobody holds them are told again, or customers would be shut out.
        late = [a for a in self.commitments.values() if a.pending_release <= -IN_FLIGHT_UNIT / 2]
        return actions + [
            self.quota.add_to_counter(now, a, 0.0) for a in late if self.rng.random() < self.quota.call_rate
        ]

    def _over_limit(self, now: int, density: float) -> bool:
        """Under pressure the model's limit on all in flight holds too; the least worth meets it first."""
        limit, out = self.model.concurrency_limit, self.in_flight - self.presumed_lost
        if limit is None or out < LOWEST_PRIORITY_FRACTION * limit:
            return False
        total = sum(m.rate(now) for m in self.demand_by_value.values())
        below = sum(m.rate(now) for m in self.demand_by_value.values() if m.value < density)
        return out >= limit * (
            LOWEST_PRIORITY_FRACTION + (1.0 - LOWEST_PRIORITY_FRACTION) * below / max(total, 1e-9)
        )

    def _refusal(self, a: Arrival) -> Reject:
        wait = min(
            RETRY_AFTER,
            self.settings.classes[a.class_index].latency_objective // RETRY_AFTER_OBJECTIVE_DIVISOR,
            self.settings.max_retry_after,
        )
        return Reject(a.request_id, wait * self.settings.sends_retry_after)

    def _send(self, now: int, request: RequestState, elsewhere: bool = False) -> Send | None:
        a = request.arrival
        if now >= a.deadline or request.attempts_sent >= self.settings.max_attempts:
            return None
        cls, kind = self.settings.classes[a.class_index], (a.class_index, a.plan_index)
        allowed = retry_filter(now, cls, request)
        server = self.load_balancer.pick(now, kind, request.tried_endpoints, allowed)
        if server is None and not elsewhere:
            server = self.load_balancer.pick(now, kind, set(), allowed)
        if server is None:
            return None
        self.load_balancer.attempt_started(now, server)
        request.tried_endpoints.add(server.endpoint.id)
        self.attempts[a.request_id, request.attempts_sent] = request
        if not request.may_have_executed:
            request.first_keyed_attempt_at, request.first_keyed_endpoint = now, server.endpoint
        request.attempts_sent, request.attempts_in_flight, request.last_attempt_at = (
            request.attempts_sent + 1,
            request.attempts_in_flight + 1,
            now,
        )
        request.expected_latency, request.last_endpoint = (
            int(self.model.latency[a.class_index].value),
            server.endpoint.id,
        )
        request.hedge_after = max(
            cls.latency_objective // 2, HEDGE_AFTER_LATENCIES * request.expected_latency
        )
        request.account.in_flight, self.in_flight = request.account.in_flight + 1, self.in_flight + 1
        return Send(
            a.request_id, server.endpoint.id, self._patience(now, request), retry_deadline(cls, request)
        )

    def _patience(self, now: int, request: RequestState) -> int:
        """Time-out of an attempt, or 0: guards against lost answers, hung backends, classes left unanswered,
        where some were seen of late and another try is allowed; it would harm where all are slow.
        """
        a, cls = request.arrival, self.settings.classes[request.arrival.class_index]
        again = (
            cls.idempotence is not Idempotence.NOT_IDEMPOTENT
            and request.attempts_sent < self.settings.max_attempts
        )
        if (
            not again
            or self.model.congested
            or self.load_balancer.unanswered_ratio[a.class_index].mean_with_prior(now, 0.0, 3.0)
            < UNANSWERED_RATIO_FOR_TIMEOUT
        ):
            return 0
        return max(cls.latency_objective // 2, int(3 * self.model.latency[a.class_index].value))

    def _too_late(self, now: int) -> list[Action]:
        """While a queue has risen, what is past its aim only takes others' time and is given up. Only at
        servers that answer: where one is silent, the attempt's time-out tells so and must come.
        """
        actions: list[Action] = []
        for request in list(self.requests.values()) if self.model.congested else []:
            aim = self.settings.classes[request.arrival.class_index].latency_objective
            server = self.load_balancer.endpoints.get(request.last_endpoint)
            late = request.attempts_in_flight and now - request.arrived_at >= aim
            if late and server is not None and now - server.last_response_at <= aim // 2:
                actions += self._call_off(request)
                request.may_have_executed = True
                actions.append(self._end(request))
        return actions

    def _silent_zones(self, now: int) -> list[Action]:
        """What is out at a zone that fell silent goes elsewhere where its class allows."""
        actions: list[Action] = []
        for found in self.load_balancer.detect_unresponsive_zones(now, self.requests.values()):
            actions.append(
                LogLine(f"zone {found.zone} silent: {len(found.requests)} attempts without an answer")
            )
            actions += [CloseIdleConnections(endpoint_id) for endpoint_id in found.endpoints]
            safe = (
                r
                for r in found.requests
                if self.settings.classes[r.arrival.class_index].idempotence is Idempotence.IDEMPOTENT
            )
            actions += [action for r in safe for action in self._call_off(r)]
        return actions

    def _second_copies(self, now: int) -> list[Action]:
        """Answers get lost one by one too, with no symptom of their server: where it answered what was sent
        later, no queue explains the wait and the class allows it, another is asked as well.
        """
        if self.model.congested:
            return []
        actions: list[Action] = []
        for request in [
            r
            for r in self.requests.values()
            if r.attempts_in_flight == 1 and now - r.last_attempt_at >= r.hedge_after
        ]:
            if self.retry_tokens < 1.0 or not self.settings.hedging:
                break
            repeatable = (
                self.settings.classes[request.arrival.class_index].idempotence
                is not Idempotence.NOT_IDEMPOTENT
            )
            if repeatable and self.load_balancer.answered_since(
                request.last_endpoint, request.last_attempt_at + request.expected_latency
            ):
                ran, request.may_have_executed = request.may_have_executed, True
                if send := self._send(now, request, True):
                    self.retry_tokens -= 1.0
                    actions.append(send)
                else:
                    request.may_have_executed = ran
        return actions

    def _begun(self, number: int, attempt: int) -> list[Action]:
        """The request is bound to this attempt: no other is made, and those out are called off."""
        request = self.requests.pop(number, None)
        if request is None or (number, attempt) not in self.attempts:
            return []
        self.in_flight -= request.attempts_in_flight
        request.response_started = True
        return self._call_off(request, attempt)

    def _call_off(self, request: RequestState, but: int = -1) -> list[Action]:
        """Its attempts that are out, but for one."""
        number = request.arrival.request_id
        out = [i for i in range(request.attempts_sent) if i != but and (number, i) in self.attempts]
        return [CancelAttempt(number, i) for i in out] if self.settings.may_cancel else []

    def _ended(self, now: int, event: AttemptEnded) -> list[Action]:
        request = self.attempts.pop((event.request_id, event.attempt), None)
        if request is None:
            return []
        account, cls = request.account, request.arrival.class_index
        request.attempts_in_flight, account.in_flight = request.attempts_in_flight - 1, account.in_flight - 1
        self.in_flight -= not request.response_started
        if event.quota_usage:
            account.usage_reported_at, account.reported_usage = now, (event.quota_usage - 1) / 100
            account.usage.add(
                now, account.reported_usage, account.plan.rate * self.settings.usage_period / SECOND
            )
            account.grant_ratio.add(
                now, min(1.0, max(0.0, 0.5 + (1.01 - event.quota_usage / 100) / USAGE_GRANT_SPAN))
            )
        if event.outcome is Outcome.OK:
            self.model.latency[cls].add(now, event.elapsed)
            if self.settings.settles_actual_units and event.actual_units:
                account.tokens -= event.actual_units - request.arrival.units
        usual = max(1.0, self.model.latency[cls].value)
        self.load_balancer.attempt_ended(now, event, (cls, request.arrival.plan_index), event.elapsed / usual)
        if event.outcome not in NOT_EXECUTED:
            request.may_have_executed = True
        if event.request_finished:
            self.requests.pop(event.request_id, None)
        # Once one has begun it is the one that flows.
        others = (
            self._call_off(request)
            if event.request_finished and request.attempts_in_flight and not request.response_started
            else []
        )
        # An attempt that broke off at once took no server's time, and another for it doubles nothing.
        cost = max(MIN_RETRY_COST, min(1.0, event.elapsed / usual))
        again = (
            []
            if request.attempts_in_flight or event.request_id not in self.requests
            else self._try_again(now, request, cost)
        )
        return others + again + self._release(now, request)

    def _try_again(self, now: int, request: RequestState, cost: float) -> list[Action]:
        """Another attempt where the class, the time left and the retry budget allow one; else the end."""
        cls = self.settings.classes[request.arrival.class_index]
        repeatable = not request.may_have_executed or cls.idempotence is not Idempotence.NOT_IDEMPOTENT
        if repeatable and self.retry_tokens >= cost and (send := self._send(now, request)):
            self.retry_tokens -= cost
            return [send]
        return [self._end(request)]

    def _end(self, request: RequestState) -> Reject | Fail:
        """The final answer of a request that is given up: a refusal where trying again is harmless."""
        a, cls = request.arrival, self.settings.classes[request.arrival.class_index]
        del self.requests[a.request_id]
        harmless = not request.may_have_executed or cls.idempotence is Idempotence.IDEMPOTENT
        if harmless or (
            cls.idempotence is Idempotence.KEYED and cls.idempotency_scope is IdempotencyScope.ALL
        ):
            return self._refusal(a)
        return Fail(a.request_id)
