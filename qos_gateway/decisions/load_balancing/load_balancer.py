"""Load balancer: selects this gateway's subset of the endpoints and an endpoint for each attempt."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from ...types import AttemptEnded, Endpoint, Outcome, Settings, Topology
from ..snapshot import LoadBalancerSnapshot
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS
from .endpoint_registry import EndpointRegistry
from .endpoint_state import ClassAndPlan, EndpointState
from .outlier_ejection import OutlierEjection
from .response_statistics import ResponseStatistics
from .slow_start import SlowStart
from .zones import RequestT, UnresponsiveZone

EndpointFilter = Callable[[Endpoint], bool] | None  # None accepts every endpoint

# An endpoint is in the subsets of about ten gateways: each samples it often, and it has few connections.
GATEWAYS_PER_ENDPOINT = 10
SLOW_START_COST_FACTOR = 0.7  # cost of an endpoint in slow start that has a token, relative to a warm one
FAILURE_COST_FACTOR = 3.0  # relative cost increase if similar attempts were recently rejected or timed out
FAILURE_MEMORY_NS = 3 * LONG_TIME_CONSTANT_NS  # older results of a class at an endpoint are ignored
JITTER = 0.1  # maximum random increase of the cost, spreads load over equal endpoints
PEER_IN_FLIGHT_PRIOR_WEIGHT = 2.0  # attempts added to the own ones in flight and to their mean
MIN_RELATIVE_LATENCY = 0.5  # keeps the number in flight relevant at fast endpoints
MAX_RELATIVE_LATENCY = 4.0  # limits the cost of slow endpoints, so that they are retried
MAX_RELATIVE_LATENCY_SAMPLE = 8.0  # one very late response must not dominate the mean
RELATIVE_LATENCY_PRIOR_WEIGHT = 3.0  # assumed samples of mean latency, so that slow endpoints are retried
CLASS_SAMPLES = (Outcome.OK, Outcome.TIMEOUT)  # outcomes that show whether an endpoint answers a class


class LoadBalancer:
    """Selects endpoints based on what this gateway observes of them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.registry = EndpointRegistry(rng)
        self.outlier_ejection = OutlierEjection()
        self.slow_start = SlowStart(settings)
        self.response_statistics = ResponseStatistics(len(settings.classes))
        self.mean_in_flight = 0.0  # own attempts per endpoint of the subset
        self.peer_in_flight = 0.0  # estimated attempts of other gateways per endpoint of the subset

    def update_list(self, now: int, event: Topology) -> None:
        """Apply a full or delta endpoint list."""
        self._track_slow_start(self.registry.update_list(now, event))
        self.refresh(now)

    def set_enabled(self, now: int, endpoint_id: int, enabled: bool) -> None:
        """Disable or enable an endpoint for an operator; an endpoint enabled again begins slow start."""
        self.registry.set_enabled(now, endpoint_id, enabled)
        self._track_slow_start((endpoint_id,))
        self.refresh(now)

    def _track_slow_start(self, changed: Iterable[int]) -> None:
        for endpoint_id in changed:
            state = self.registry.endpoints.get(endpoint_id)
            if state is not None:
                self.slow_start.update_warming_up(state, self.registry.is_usable(endpoint_id))

    def refresh(self, now: int) -> None:
        """Recompute the aggregates over all endpoints; called at each tick and list change."""
        self.registry.remove_unlisted()
        self.slow_start.remove_warmed_up(now, self.registry.endpoints)
        subset = self.subset(now)
        # Counts the warm endpoints of the whole ring: this subset may have none, and completions then
        # come from warm endpoints in the subsets of other gateways.
        size = len(self.registry.ring)
        if size:
            warm = size - len(self.slow_start.warming_up)
            capacity = warm * len(subset) / size
            if not warm:
                capacity = sum(self.slow_start.capacity_fraction(now, state) for state in subset)
            gateways_per_endpoint = len(subset) * self.settings.gateway_count / size
            self.slow_start.record_capacity(now, capacity, not warm, gateways_per_endpoint)
        self.mean_in_flight = sum(state.in_flight for state in subset) / max(1, len(subset))
        peer_count = min(GATEWAYS_PER_ENDPOINT, self.settings.gateway_count) - 1
        self.peer_in_flight = self.mean_in_flight * peer_count

    def excluded_count(self, now: int) -> int:
        """Count the listed endpoints that are disabled by operators or ejected."""
        return self.registry.excluded_count(now)

    def subset(self, now: int) -> list[EndpointState]:
        """Return this gateway's subset: consecutive endpoints on the ring from the gateway's position.

        Each endpoint is always in the subsets of the same few gateways. Ejected endpoints are replaced by
        the next ones on the ring.
        """
        endpoints = self.registry.endpoints
        ring = self.registry.ring
        size = len(ring)
        gateways = max(1, self.settings.gateway_count)
        start = self.settings.position * size // gateways
        max_length = -(-size * GATEWAYS_PER_ENDPOINT // gateways)
        subset: list[EndpointState] = []
        for index in range(start, start + size):
            state = endpoints[ring[index % size]]
            if now >= state.ejected_until:
                subset.append(state)
                if len(subset) == max_length:
                    break
        return subset

    def can_accept(self, now: int, state: EndpointState) -> bool:
        """Return whether an attempt may be sent to an endpoint now; refills its slow start bucket."""
        endpoint_id = state.endpoint.id
        if not state.in_service or now < state.ejected_until or endpoint_id in self.registry.admin_disabled:
            return False
        slow_start = self.slow_start
        if endpoint_id not in slow_start.warming_up:
            return True
        fraction = slow_start.capacity_fraction(now, state)
        return fraction >= 1.0 or slow_start.refill_and_check_token(now, state, fraction)

    def latency_cost(self, now: int, state: EndpointState) -> float:
        """Return the cost of the expected latency at an endpoint, in mean latencies of the request class.

        Includes the cost factor of slow start and the cost of another zone. Other gateways' attempts at the
        endpoint are estimated from this gateway's attempts in flight there, relative to their mean over the
        subset; these weigh more, the more there are.
        """
        zone_cost = self.settings.cross_zone_cost * (state.endpoint.zone != self.settings.zone)
        mean = state.relative_latency.mean_with_prior(now, 1.0, RELATIVE_LATENCY_PRIOR_WEIGHT)
        relative_latency = min(MAX_RELATIVE_LATENCY, max(MIN_RELATIVE_LATENCY, mean))
        prior = PEER_IN_FLIGHT_PRIOR_WEIGHT
        load_ratio = (prior + state.in_flight) / (prior + self.mean_in_flight)
        peer_in_flight = load_ratio * self.peer_in_flight
        cost = (1.0 + state.in_flight + peer_in_flight) * relative_latency
        slow_start = self.slow_start
        if state.endpoint.id in slow_start.warming_up and slow_start.capacity_fraction(now, state) < 1.0:
            cost *= SLOW_START_COST_FACTOR
        return cost + zone_cost

    def pick(
        self, now: int, class_and_plan: ClassAndPlan, avoid: set[int], allowed: EndpointFilter
    ) -> EndpointState | None:
        """Return the endpoint with the lowest cost for an attempt, None if no endpoint may be used.

        An endpoint may reject one plan or time out on one class and serve the rest, so only results of
        similar requests count. While a class times out, endpoints that answered it are preferred.
        """
        class_index = class_and_plan[0]
        default_failure_rate = self.response_statistics.expected_unanswered(now, class_index)
        jitter = self.rng.random

        def cost(state: EndpointState) -> float:
            result = state.last_result_by_class.get(class_index)
            if result is None or now - result.at >= FAILURE_MEMORY_NS:
                failure_rate = default_failure_rate
            else:
                failure_rate = result.unanswered
            if now < state.overloaded_until.get(class_and_plan, 0):
                failure_rate = 1.0
            latency_cost = self.latency_cost(now, state)
            return latency_cost * (1.0 + FAILURE_COST_FACTOR * failure_rate) * (1.0 + JITTER * jitter())

        return min(self._candidates(now, avoid, allowed), key=cost, default=None)

    def _candidates(self, now: int, avoid: set[int], allowed: EndpointFilter) -> list[EndpointState]:
        """Return the endpoints of the subset that accept attempts or, if there are none, all warm ones.

        Endpoints in slow start outside the subset are excluded: their tokens are for the gateways that have
        them in their subset.
        """
        candidates = [
            state
            for state in self.subset(now)
            if state.endpoint.id not in avoid
            and (allowed is None or allowed(state.endpoint))
            and self.can_accept(now, state)
        ]
        return candidates or [
            state
            for endpoint_id, state in self.registry.endpoints.items()
            if endpoint_id not in avoid
            and self.slow_start.capacity_fraction(now, state) >= 1.0
            and (allowed is None or allowed(state.endpoint))
            and self.can_accept(now, state)
        ]

    def attempt_started(self, now: int, state: EndpointState) -> None:
        """Record that an attempt was sent to an endpoint."""
        state.attempt_started()
        self.slow_start.attempt_started(now, state)

    def attempt_ended(
        self, now: int, event: AttemptEnded, class_and_plan: ClassAndPlan, relative_latency: float
    ) -> None:
        """Record the outcome of an attempt; `relative_latency` is 1 for the mean latency of its class."""
        state = self.registry.endpoints.get(event.endpoint)
        if state is None:
            return
        state.attempt_ended()
        outcome = event.outcome
        if outcome is Outcome.TIMEOUT and relative_latency < 1.0:
            return  # the client's deadline came before a response was due
        if outcome in CLASS_SAMPLES:
            class_index = class_and_plan[0]
            unanswered = float(outcome is Outcome.TIMEOUT)
            state.record_class_result(now, class_index, unanswered)
            self.response_statistics.record_class_result(now, class_index, unanswered)
        elif outcome is Outcome.OVERLOADED:
            state.record_overload(now, class_and_plan)
        self.slow_start.attempt_ended(now, state, outcome)
        if outcome is Outcome.OK:
            state.record_success(now, now - event.elapsed, min(MAX_RELATIVE_LATENCY_SAMPLE, relative_latency))
            self.response_statistics.record_successful_send(state.latest_successful_send)
        self.outlier_ejection.record_outcome(now, state, outcome)

    def has_successful_send_since(self, endpoint_id: int, since: int) -> bool:
        """Return whether an attempt sent to an endpoint at `since` or later succeeded."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and state.latest_successful_send >= since

    def responded_since(self, endpoint_id: int, since: int) -> bool:
        """Return whether an attempt at an endpoint succeeded at `since` or later, whenever it was sent."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and state.last_response_at >= since

    def was_lost_with_zone(self, endpoint_id: int, sent_at: int) -> bool:
        """Return whether an attempt's zone was found unresponsive after the attempt was sent."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and self.outlier_ejection.was_lost_with_zone(state.endpoint.zone, sent_at)

    def detect_unresponsive_zones(
        self, now: int, requests: Iterable[RequestT]
    ) -> list[UnresponsiveZone[RequestT]]:
        """Find zones that have stopped responding while others respond, and eject their endpoints."""
        return self.outlier_ejection.detect_unresponsive_zones(now, self.registry.endpoints, requests)

    def capture(self, outgoing_fraction: float) -> LoadBalancerSnapshot:
        """Return the state for the next process; this one keeps a fraction of the slow start token rate."""
        return LoadBalancerSnapshot(
            endpoints=self.registry.capture(),
            admin_disabled=dict(self.registry.admin_disabled),
            warm_completions=self.slow_start.capture(outgoing_fraction),
        )

    def restore(self, now: int, snapshot: LoadBalancerSnapshot, incoming_fraction: float) -> None:
        """Restore the previous process's state, with a fraction of the slow start token rate."""
        self.slow_start.restore(snapshot.warm_completions, incoming_fraction)
        changed = self.registry.restore(now, snapshot.endpoints, snapshot.admin_disabled)
        self._track_slow_start(changed)
        self.refresh(now)

    def complete_handover(self) -> None:
        """Use the full slow start token rate after the other process has ended."""
        self.slow_start.complete_handover()
