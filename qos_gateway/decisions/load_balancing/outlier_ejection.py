"""Outlier ejection: endpoints that fail several times in a row, and zones that stop responding."""

from __future__ import annotations

from collections.abc import Iterable
from math import ceil, log

from ...types import Outcome
from ...units import SECOND
from ..requests.request_state import RequestState
from .endpoint_observations import EndpointObservations
from .endpoint_state import EndpointState
from .zones import UnresponsiveZone

BASE_EJECTION_TIME_NS = SECOND // 2  # of the first ejection, doubled by each that follows without a success
MAX_EJECTION_TIME_NS = 8 * SECOND
FAILURES_TO_EJECT = 2  # consecutive: a single one may be a coincidence
SIGNIFICANCE_LEVEL = 0.005  # resets in a row less likely than this are no coincidence
MAX_RESET_RATIO = 0.5  # of all attempts: where more are reset, more in a row tell nothing
RESET_PRIOR_WEIGHT = 3.0  # attempts without a reset that the mean starts from
UNRESPONSIVE_AFTER_LATENCIES = 2.0  # mean latencies after which a zone without responses is suspected ...
UNRESPONSIVE_MIN_ENDPOINTS = 3  # ... and so many endpoints with overdue responses confirm that
RESPONSES = (Outcome.OK, Outcome.ERROR, Outcome.OVERLOADED)  # that the zone of the endpoint sent
RESET_SAMPLES = (Outcome.OK, Outcome.ERROR, Outcome.RESET)  # attempts that were not rejected and got an end
NOT_FAILED = (Outcome.OK, Outcome.OVERLOADED, Outcome.CANCELLED, Outcome.NOT_SENT)


def record_outcome(
    now: int, observations: EndpointObservations, state: EndpointState, outcome: Outcome
) -> None:
    """Record how an attempt at an endpoint ended, and eject it when it has failed too often in a row."""
    if outcome in RESPONSES:
        observations.zones.record_response(now, state.endpoint.zone)
    if outcome in RESET_SAMPLES:
        observations.reset_ratio.add(now, float(outcome is not Outcome.OK))
    if outcome not in NOT_FAILED:
        state.consecutive_failures += 1
        if state.consecutive_failures >= _failures_to_eject(now, observations, outcome):
            state.eject(now, MAX_EJECTION_TIME_NS)


def _failures_to_eject(now: int, observations: EndpointObservations, outcome: Outcome) -> int:
    """Return the number of consecutive failures that eject an endpoint.

    Where attempts are reset everywhere, several in a row may be a coincidence, and to eject those endpoints
    would overload the others.
    """
    if outcome is Outcome.CONNECT_FAILED:
        return 1
    if outcome is Outcome.TIMEOUT:
        return FAILURES_TO_EJECT
    mean = observations.reset_ratio.mean_with_prior(now, 0.0, RESET_PRIOR_WEIGHT)
    ratio = min(MAX_RESET_RATIO, max(SIGNIFICANCE_LEVEL, mean))
    return max(FAILURES_TO_EJECT, ceil(log(SIGNIFICANCE_LEVEL) / log(ratio)))


def detect_unresponsive_zones(
    now: int, observations: EndpointObservations, requests: Iterable[RequestState]
) -> list[UnresponsiveZone]:
    """Find zones that stopped responding just now while others respond, and eject their endpoints.

    A zone that is cut off still accepts writes on open connections: to find its endpoints one by one would
    cost a request for each such connection.
    """
    overdue: dict[int, list[RequestState]] = {}
    for request in requests:
        due_after = UNRESPONSIVE_AFTER_LATENCIES * request.expected_latency
        if now - request.last_attempt_at < due_after or not (request.attempts_in_flight and due_after):
            continue
        state = observations.endpoints.get(request.last_endpoint)
        if state and observations.zones.only_others_responded(state.endpoint.zone, request.last_attempt_at):
            overdue.setdefault(state.endpoint.zone, []).append(request)
    return [
        _eject_zone(now, observations, zone, waiting)
        for zone, waiting in overdue.items()
        if len({request.last_endpoint for request in waiting}) >= UNRESPONSIVE_MIN_ENDPOINTS
    ]


def _eject_zone(
    now: int, observations: EndpointObservations, zone: int, waiting: list[RequestState]
) -> UnresponsiveZone:
    observations.zones.record_unresponsive(now, zone)
    in_zone = [s for s in observations.endpoints.values() if s.endpoint.zone == zone and s.in_service]
    for state in in_zone:
        state.eject(now, MAX_EJECTION_TIME_NS)
    return UnresponsiveZone(zone, waiting, [state.endpoint.id for state in in_zone])
