"""Slow start: a token bucket limits the attempts at each endpoint that was started a short while ago."""

from __future__ import annotations

from ...types import Settings
from ...units import SECOND
from .endpoint_observations import EndpointObservations
from .endpoint_state import EndpointState

RATE_MULTIPLE = 1.4  # token rate at full capacity, relative to the completion rate of a warm endpoint ...
OVERLOAD_FRACTION = 0.7  # ... and at most this fraction of the multiple of its capacity that overloads it
REFILL_WINDOW_S = 1.0  # s for which tokens accrue while nothing is to be sent there
MAX_TOKENS = 2.0  # burst at one endpoint: other gateways may burst at the same time
REENABLED_MIN_RATE_PER_S = 0.4  # least token rate after an administrative disabling: soon in use ...
REENABLED_TOTAL_MIN_RATE_PER_S = 2.0  # ... and the limit of that over all gateways


def has_token(now: int, observations: EndpointObservations, state: EndpointState, fraction: float) -> bool:
    """Refill the bucket of an endpoint that has reached a fraction of its capacity, and check for a token."""
    rate = max(_min_rate(observations.settings, state), fraction * _rate_at_capacity(now, observations))
    elapsed_s = min(REFILL_WINDOW_S, (now - state.slow_start_tokens_at) / SECOND)
    state.refill_slow_start_tokens(now, rate * elapsed_s * observations.handover_fraction, MAX_TOKENS)
    return state.slow_start_tokens >= 1.0


def _rate_at_capacity(now: int, observations: EndpointObservations) -> float:
    """Return this gateway's share of what a warm endpoint completes, times what is well inside overload.

    Warm endpoints never complete more than their capacity, whatever is sent to them: all shares stay inside.
    """
    multiple = max(1.0, min(RATE_MULTIPLE, OVERLOAD_FRACTION * observations.settings.overload_multiple))
    return observations.completions_per_warm_endpoint(now) * multiple


def _min_rate(settings: Settings, state: EndpointState) -> float:
    if state.disabled_at <= 0:
        return 0.0
    return min(REENABLED_MIN_RATE_PER_S, REENABLED_TOTAL_MIN_RATE_PER_S / settings.gateway_count)
