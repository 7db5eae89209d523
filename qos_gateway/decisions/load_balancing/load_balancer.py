"""Load balancing: the subset of the endpoints that this gateway uses, and the endpoint for an attempt."""

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

EndpointFilter = Callable[[Endpoint], bool] | None  # None: any endpoint

GATEWAYS_PER_ENDPOINT = 10  # with it in their subset: each observes it often, and it has few connections
SLOW_START_COST_FACTOR = 0.7  # wait at an endpoint in slow start with a token, relative to a warm one's
FAILURE_COST_FACTOR = 3.0  # added cost where similar attempts were recently rejected or timed out
# Age from which a class's last result at an endpoint is ignored.
FAILURE_MEMORY_NS = 3 * LONG_TIME_CONSTANT_NS
JITTER = 0.1  # random part of the cost: equal endpoints are used equally
PEER_IN_FLIGHT_PRIOR = 2.0  # own attempts that count as much as the mean over endpoints
MIN_SLOWNESS = 0.5  # latency relative to the mean of the class: the number in flight counts as well
MAX_SLOWNESS = 4.0  # slow endpoints are tried again
MAX_SLOWNESS_SAMPLE = 8.0  # one very late response must not outweigh all others
SLOWNESS_PRIOR_WEIGHT = 3.0  # samples of mean latency: slow endpoints are tried again
CLASS_SAMPLES = (Outcome.OK, Outcome.TIMEOUT)  # show whether an endpoint answers a class


class LoadBalancer:
    """Selects endpoints from the list by what this gateway observes of them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.registry = EndpointRegistry(rng)
        self.outlier_ejection = OutlierEjection()
        self.slow_start = SlowStart(settings)
        self.responses = ResponseStatistics(len(settings.classes))
        self.mean_in_flight = 0.0  # own attempts at each endpoint of the subset
        self.peer_in_flight = 0.0  # estimate of other gateways' attempts there

    def update_list(self, now: int, event: Topology) -> None:
        """Apply a full endpoint list or the changes to it."""
        self._track_slow_start(self.registry.update_list(now, event))
        self.refresh(now)

    def set_enabled(self, now: int, endpoint_id: int, enabled: bool) -> None:
        """Disable or enable an endpoint for an operator; when enabled again, it begins with slow start."""
        self.registry.set_enabled(now, endpoint_id, enabled)
        self._track_slow_start((endpoint_id,))
        self.refresh(now)

    def _track_slow_start(self, changed: Iterable[int]) -> None:
        for endpoint_id in changed:
            state = self.registry.endpoints.get(endpoint_id)
            if state is not None:
                self.slow_start.track(state, self.registry.is_usable(endpoint_id))

    def refresh(self, now: int) -> None:
        """Update what depends on time and on all endpoints: at each tick and change of the list."""
        self.registry.forget_unlisted()
        self.slow_start.drop_warmed_up(now, self.registry.endpoints)
        subset = self.subset(now)
        # Warm endpoints of all gateways: this subset may have none, and rates come from others' subsets.
        size = len(self.registry.ring)
        if size:
            warm = size - len(self.slow_start.warming_up)
            capacity = warm * len(subset) / size
            if not warm:
                capacity = sum(self.slow_start.fraction(now, state) for state in subset)
            sharers = len(subset) * self.settings.gateway_count / size
            self.slow_start.record_capacity(now, capacity, not warm, sharers)
        self.mean_in_flight = sum(state.in_flight for state in subset) / max(1, len(subset))
        peers = min(GATEWAYS_PER_ENDPOINT, self.settings.gateway_count) - 1
        self.peer_in_flight = self.mean_in_flight * peers

    def excluded_count(self, now: int) -> int:
        """Count the listed endpoints that are disabled by operators or ejected."""
        return self.registry.excluded_count(now)

    def subset(self, now: int) -> list[EndpointState]:
        """Return this gateway's subset: consecutive endpoints on the ring from the gateway's position.

        Each endpoint is in the subsets of the same few gateways; the next ones replace those ejected.
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
        """Return whether an attempt may be sent to an endpoint now; refills its slow start tokens."""
        endpoint_id = state.endpoint.id
        if not state.in_service or now < state.ejected_until or endpoint_id in self.registry.admin_disabled:
            return False
        slow_start = self.slow_start
        if endpoint_id not in slow_start.warming_up:
            return True
        fraction = slow_start.fraction(now, state)
        return fraction >= 1.0 or slow_start.has_token(now, state, fraction)

    def expected_wait(self, now: int, state: EndpointState) -> float:
        """Estimate the time of an attempt at an endpoint, in mean latencies of its request class.

        Peers' attempts there are estimated by the own ones in flight, whose weight grows with their number.
        """
        zone_cost = self.settings.cross_zone_cost * (state.endpoint.zone != self.settings.zone)
        mean_slowness = state.slowness.mean_with_prior(now, 1.0, SLOWNESS_PRIOR_WEIGHT)
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, mean_slowness))
        own_share = (PEER_IN_FLIGHT_PRIOR + state.in_flight) / (PEER_IN_FLIGHT_PRIOR + self.mean_in_flight)
        peers = own_share * self.peer_in_flight
        wait = (1.0 + state.in_flight + peers) * slowness
        slow_start = self.slow_start
        if state.endpoint.id in slow_start.warming_up and slow_start.fraction(now, state) < 1.0:
            wait *= SLOW_START_COST_FACTOR
        return wait + zone_cost

    def pick(
        self, now: int, class_and_plan: ClassAndPlan, avoid: set[int], allowed: EndpointFilter
    ) -> EndpointState | None:
        """Return the endpoint of least cost for an attempt, None if there is none that may be used.

        An endpoint may reject one plan or time out on one class and serve the rest, so the results of similar
        requests there count. While a class times out, endpoints that answered it are preferred.
        """
        class_index = class_and_plan[0]
        unknown = self.responses.expected_unanswered(now, class_index)
        jitter = self.rng.random

        def cost(state: EndpointState) -> float:
            result = state.last_result_by_class.get(class_index)
            failure = unknown if result is None or now - result.at >= FAILURE_MEMORY_NS else result.unanswered
            if now < state.overloaded_until.get(class_and_plan, 0):
                failure = 1.0
            wait = self.expected_wait(now, state)
            return wait * (1.0 + FAILURE_COST_FACTOR * failure) * (1.0 + JITTER * jitter())

        return min(self._candidates(now, avoid, allowed), key=cost, default=None)

    def _candidates(self, now: int, avoid: set[int], allowed: EndpointFilter) -> list[EndpointState]:
        """Return the usable endpoints of the subset or, if there are none, all warm ones.

        Only gateways with an endpoint in their subset may use slow start tokens for it.
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
            and self.slow_start.fraction(now, state) >= 1.0
            and (allowed is None or allowed(state.endpoint))
            and self.can_accept(now, state)
        ]

    def attempt_started(self, now: int, state: EndpointState) -> None:
        """Record that an attempt is sent to an endpoint."""
        state.attempt_started()
        self.slow_start.attempt_started(now, state)

    def attempt_ended(
        self, now: int, event: AttemptEnded, class_and_plan: ClassAndPlan, relative_latency: float
    ) -> None:
        """Record how an attempt ended; `relative_latency` is 1 for the mean of its class."""
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
            self.responses.record_class_result(now, class_index, unanswered)
        elif outcome is Outcome.OVERLOADED:
            state.record_overload(now, class_and_plan)
        self.slow_start.attempt_ended(now, state, outcome)
        if outcome is Outcome.OK:
            state.record_success(now, now - event.elapsed, min(MAX_SLOWNESS_SAMPLE, relative_latency))
            self.responses.record_answered_send(state.latest_answered_send)
        self.outlier_ejection.record_outcome(now, state, outcome)

    def answered_since(self, endpoint_id: int, since: int) -> bool:
        """Return whether an endpoint answered an attempt that was sent at `since` or later."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and state.latest_answered_send >= since

    def responded_since(self, endpoint_id: int, since: int) -> bool:
        """Return whether an endpoint completed a successful attempt at `since` or later."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and state.last_response_at >= since

    def was_lost_with_zone(self, endpoint_id: int, sent_at: int) -> bool:
        """Return whether an attempt was in flight to a zone when that was found unresponsive."""
        state = self.registry.endpoints.get(endpoint_id)
        return state is not None and self.outlier_ejection.was_lost_with_zone(state.endpoint.zone, sent_at)

    def detect_unresponsive_zones(
        self, now: int, requests: Iterable[RequestT]
    ) -> list[UnresponsiveZone[RequestT]]:
        """Find zones that have stopped responding while others respond, and eject their endpoints."""
        return self.outlier_ejection.detect_unresponsive_zones(now, self.registry.endpoints, requests)

    def capture(self, outgoing_fraction: float) -> LoadBalancerSnapshot:
        """Return what the next process needs; this one keeps a fraction of the slow start token rate."""
        return LoadBalancerSnapshot(
            endpoints=self.registry.capture(),
            admin_disabled=dict(self.registry.admin_disabled),
            warm_completions=self.slow_start.capture(outgoing_fraction),
        )

    def restore(self, now: int, snapshot: LoadBalancerSnapshot, incoming_fraction: float) -> None:
        """Continue the previous process's state, with a fraction of the slow start token rate."""
        self.slow_start.restore(snapshot.warm_completions, incoming_fraction)
        changed = self.registry.restore(now, snapshot.endpoints, snapshot.admin_disabled)
        self._track_slow_start(changed)
        self.refresh(now)

    def complete_handover(self) -> None:
        """Use the whole slow start token rate again after the other process has ended."""
        self.slow_start.complete_handover()
