"""Outlier ejection of endpoints with consecutive failures and of unresponsive zones."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from math import ceil, log

from ...types import Outcome
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import LONG_TIME_CONSTANT_NS
from .endpoint_state import EndpointState
from .zones import RequestT, UnresponsiveZone, ZoneTable

FAILURES_TO_EJECT = 2  # consecutive; a single failure may be a coincidence
SIGNIFICANCE_LEVEL = 0.005  # consecutive resets with a lower probability are not a coincidence
MAX_ASSUMED_RESET_RATIO = 0.5  # bounds the number of consecutive resets before ejection
RESET_PRIOR_WEIGHT = 3.0  # assumed prior attempts without a reset
UNRESPONSIVE_AFTER_LATENCIES = 2.0  # a response is overdue after this many mean latencies
MIN_OVERDUE_ENDPOINTS = 3  # a zone with fewer endpoints with overdue responses is not unresponsive
RESPONSE_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED)  # show that a zone responds
RESET_SAMPLES = (Outcome.OK, Outcome.ERROR, Outcome.RESET)  # executed or failed: in the reset ratio
NON_FAILURE_OUTCOMES = (Outcome.OK, Outcome.OVERLOADED, Outcome.CANCELLED, Outcome.NOT_SENT)


class OutlierEjection:
    """Ejects endpoints and whole zones based on the outcomes of this gateway's attempts."""

    def __init__(self) -> None:
        self.zones = ZoneTable()
        self.reset_ratio = DecayingMean(
            LONG_TIME_CONSTANT_NS
        )  # (resets + errors) / (resets + errors + successes)

    def record_outcome(self, now: int, state: EndpointState, outcome: Outcome) -> None:
        """Record the outcome of an attempt; eject its endpoint after too many consecutive failures."""
        if outcome in RESPONSE_OUTCOMES:
            self.zones.record_response(now, state.endpoint.zone)
        if outcome in RESET_SAMPLES:
            self.reset_ratio.add(now, float(outcome is not Outcome.OK))
        if outcome not in NON_FAILURE_OUTCOMES:
            state.record_failure()
            if state.consecutive_failures >= self._failures_to_eject(now, outcome):
                state.eject(now)

    def _failures_to_eject(self, now: int, outcome: Outcome) -> int:
        """Return the number of consecutive failures after which an endpoint is ejected.

        If attempts are reset at all endpoints, several consecutive resets may be a coincidence, and ejecting
        those endpoints would overload the others.
        """
        if outcome is Outcome.CONNECT_FAILED:
            return 1
        if outcome is Outcome.TIMEOUT:
            return FAILURES_TO_EJECT
        mean = self.reset_ratio.mean_with_prior(now, 0.0, RESET_PRIOR_WEIGHT)
        ratio = min(MAX_ASSUMED_RESET_RATIO, max(SIGNIFICANCE_LEVEL, mean))
        return max(FAILURES_TO_EJECT, ceil(log(SIGNIFICANCE_LEVEL) / log(ratio)))

    def was_lost_with_zone(self, zone: int, sent_at: int) -> bool:
        """Return whether an attempt's zone was found unresponsive after the attempt was sent."""
        return self.zones.was_found_unresponsive_since(zone, sent_at)

    def detect_unresponsive_zones(
        self, now: int, endpoints: Mapping[int, EndpointState], requests: Iterable[RequestT]
    ) -> list[UnresponsiveZone[RequestT]]:
        """Find zones that have stopped responding while others respond, and eject their endpoints.

        Writes on open connections to an unreachable zone still succeed, so detecting its endpoints one by
        one would cost a request for each connection.
        """
        overdue: dict[int, list[RequestT]] = {}
        for request in requests:
            due_after = UNRESPONSIVE_AFTER_LATENCIES * request.expected_latency
            if now - request.last_attempt_at < due_after or not (request.attempts_in_flight and due_after):
                continue
            state = endpoints.get(request.last_endpoint)
            if state and self.zones.only_others_responded(state.endpoint.zone, request.last_attempt_at):
                overdue.setdefault(state.endpoint.zone, []).append(request)
        return [
            UnresponsiveZone(zone, waiting, self._eject_zone(now, endpoints, zone))
            for zone, waiting in overdue.items()
            if len({request.last_endpoint for request in waiting}) >= MIN_OVERDUE_ENDPOINTS
        ]

    def _eject_zone(self, now: int, endpoints: Mapping[int, EndpointState], zone: int) -> list[int]:
        """Eject all in-service endpoints of a zone; return their ids."""
        self.zones.record_unresponsive(now, zone)
        in_zone = [s for s in endpoints.values() if s.endpoint.zone == zone and s.in_service]
        for state in in_zone:
            state.eject(now)
        return [state.endpoint.id for state in in_zone]
