"""Load balancing: the subset of the endpoints that this gateway uses, and the endpoint for an attempt."""

from __future__ import annotations

import random
from collections.abc import Iterable

from ...types import AttemptEnded, Endpoint, Outcome, Settings, Topology
from ..requests.request_state import RequestState
from ..requests.retry_policy import EndpointFilter
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_MEMORY_NS, SHORT_MEMORY_NS
from .endpoint_observations import EndpointObservations, ObservationMemory
from .endpoint_state import ClassAndPlan, EndpointState
from .outlier_ejection import BASE_EJECTION_TIME_NS, detect_unresponsive_zones, record_outcome
from .slow_start import has_token
from .zones import UnresponsiveZone

GATEWAYS_PER_ENDPOINT = 10  # with it in their subset: each observes it often, and it has few connections
SLOW_START_COST_FACTOR = 0.7  # wait at an endpoint in slow start with a token, relative to a warm one's
FAILURE_COST_FACTOR = 3.0  # added cost where similar attempts were lately rejected or timed out
FAILURE_MEMORY_NS = 3 * LONG_MEMORY_NS  # after which a class's last result at an endpoint counts no more
JITTER = 0.1  # random part of the cost: equal endpoints are used equally
PEER_IN_FLIGHT_PRIOR = 2.0  # own attempts that tell as much of the peers' as the mean over endpoints
MIN_SLOWNESS = 0.5  # latency relative to the mean of the class, in the cost: load counts as well ...
MAX_SLOWNESS = 4.0  # ... and slow endpoints are tried again
MAX_SLOWNESS_SAMPLE = 8.0  # one very late response must not outweigh all others
SLOWNESS_PRIOR_WEIGHT = 3.0  # samples: slowness is forgotten, or a slow endpoint would never be tried again
UNANSWERED_PRIOR_WEIGHT = 3.0  # attempts without a time-out that a class's ratio starts from
CLASS_SAMPLES = (Outcome.OK, Outcome.TIMEOUT)  # show whether an endpoint answers a class
WORKED_ON = (Outcome.OK, Outcome.CANCELLED)  # attempts that took an endpoint's capacity


class LoadBalancer(EndpointObservations):
    """Selects endpoints from the list by what this gateway observes of them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__(settings, ObservationMemory(SHORT_MEMORY_NS, LONG_MEMORY_NS), self._new_state)
        self.rng = rng
        self.mean_in_flight = 0.0  # own attempts at each endpoint of the subset
        self.peer_in_flight = 0.0  # estimate of other gateways' attempts there

    def _new_state(self, now: int, endpoint: Endpoint) -> EndpointState:
        tokens = self.rng.random()  # where gateways are many, each seldom has a whole token to spend
        slowness = DecayingMean(SHORT_MEMORY_NS)
        return EndpointState(endpoint, slowness, BASE_EJECTION_TIME_NS, tokens, now)

    def update_list(self, now: int, event: Topology) -> None:
        """Apply a whole endpoint list or the changes to it."""
        super().update_list(now, event)
        self.refresh(now)

    def set_enabled(self, now: int, endpoint_id: int, enabled: bool) -> None:
        """Disable or enable an endpoint by an operator's call; enabled again, it begins with slow start."""
        super().set_enabled(now, endpoint_id, enabled)
        self.refresh(now)

    def refresh(self, now: int) -> None:
        """Update what depends on time and on all endpoints: at each tick and change of the list."""
        self.forget_unlisted()
        self.drop_warmed_up(now)
        subset = self.subset(now)
        # Warm endpoints of all gateways: this subset may have none, and rates come from others' subsets.
        if self.ring:
            warm = max(1, len(self.ring) - len(self.warming_up))
            self.record_warm_endpoints(now, warm * len(subset) / len(self.ring))
        self.mean_in_flight = sum(state.in_flight for state in subset) / max(1, len(subset))
        peers = min(GATEWAYS_PER_ENDPOINT, self.settings.gateway_count) - 1
        self.peer_in_flight = self.mean_in_flight * peers

    def subset(self, now: int) -> list[EndpointState]:
        """Return this gateway's subset: consecutive endpoints on the ring from the gateway's position.

        Each endpoint is in the subsets of the same few gateways; the next ones replace those ejected.
        """
        endpoints = self.endpoints
        ring = self.ring
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
        if not state.in_service or now < state.ejected_until or state.endpoint.id in self.admin_disabled:
            return False
        if state.endpoint.id not in self.warming_up:
            return True
        fraction = self.slow_start_fraction(now, state)
        return fraction >= 1.0 or has_token(now, self, state, fraction)

    def expected_wait(self, now: int, state: EndpointState) -> float:
        """Estimate the time of an attempt at an endpoint, in mean latencies of its request class.

        Own attempts in flight there tell of the peers' as well, the less the fewer they are.
        """
        zone_cost = self.settings.cross_zone_cost * (state.endpoint.zone != self.settings.zone)
        mean_slowness = state.slowness.mean_with_prior(now, 1.0, SLOWNESS_PRIOR_WEIGHT)
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, mean_slowness))
        own_share = (PEER_IN_FLIGHT_PRIOR + state.in_flight) / (PEER_IN_FLIGHT_PRIOR + self.mean_in_flight)
        peers = own_share * self.peer_in_flight
        wait = (1.0 + state.in_flight + peers) * slowness
        if state.endpoint.id in self.warming_up and self.slow_start_fraction(now, state) < 1.0:
            wait *= SLOW_START_COST_FACTOR
        return wait + zone_cost

    def pick(
        self, now: int, class_and_plan: ClassAndPlan, avoid: set[int], allowed: EndpointFilter
    ) -> EndpointState | None:
        """Return the endpoint of least cost for an attempt, None if there is none that may be used.

        An endpoint may reject one plan or time out on one class and serve the rest: what similar requests met
        there counts, and while a class times out, endpoints that answered it are preferred.
        """
        class_index = class_and_plan[0]
        unknown = self.unanswered_ratio[class_index].mean_with_prior(now, 0.0, UNANSWERED_PRIOR_WEIGHT)

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
        """Return the usable endpoints of the subset or, if there are none, the warm ones of the whole list.

        Slow start tokens are dealt out to the gateways with the endpoint in their subset, not to others.
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
            for endpoint_id, state in self.endpoints.items()
            if endpoint_id not in avoid
            and self.slow_start_fraction(now, state) >= 1.0
            and (allowed is None or allowed(state.endpoint))
            and self.can_accept(now, state)
        ]

    def attempt_started(self, now: int, state: EndpointState) -> None:
        """Record that an attempt is sent to an endpoint."""
        state.in_flight += 1
        if self.slow_start_fraction(now, state) < 1.0:
            state.slow_start_tokens -= 1.0

    def attempt_ended(
        self, now: int, event: AttemptEnded, class_and_plan: ClassAndPlan, relative_latency: float
    ) -> None:
        """Record how an attempt ended; `relative_latency` is 1 for the mean of its class."""
        state = self.endpoints.get(event.endpoint)
        if state is None:
            return
        state.in_flight = max(0, state.in_flight - 1)
        outcome = event.outcome
        if outcome in CLASS_SAMPLES:
            self.record_class_result(now, state, class_and_plan[0], float(outcome is Outcome.TIMEOUT))
        elif outcome is Outcome.OVERLOADED:
            state.overloaded_until[class_and_plan] = now + LONG_MEMORY_NS
        if outcome in WORKED_ON and self.slow_start_fraction(now, state) >= 1.0:
            self.warm_completions.add(now, 1.0)
        if outcome is Outcome.OK:
            slowness = min(MAX_SLOWNESS_SAMPLE, relative_latency)
            state.record_success(now, now - event.elapsed, slowness, BASE_EJECTION_TIME_NS)
            self.latest_answered_send = max(self.latest_answered_send, state.latest_answered_send)
        record_outcome(now, self, state, outcome)

    def detect_unresponsive_zones(self, now: int, requests: Iterable[RequestState]) -> list[UnresponsiveZone]:
        """Find zones that stopped responding just now while others respond, and eject their endpoints."""
        return detect_unresponsive_zones(now, self, requests)
