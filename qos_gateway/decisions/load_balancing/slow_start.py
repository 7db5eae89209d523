"""Slow start: a token bucket limits the attempts at each recently started endpoint.

Token rates are proportional to the completion rate of warm endpoints. While every endpoint is in slow start,
they are proportional to the completion rate of these, divided by the fraction of capacity that they have
reached, so the rates grow as in TCP slow start.
"""

from __future__ import annotations

from collections.abc import Mapping

from ...types import Outcome, Settings
from ...units import SECOND
from ..snapshot import MeanSnapshot
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import SHORT_TIME_CONSTANT_NS
from .endpoint_state import EndpointState

RATE_MULTIPLE = 1.4  # token rate at full capacity / completion rate of a warm endpoint
OVERLOAD_FRACTION = 0.7  # upper bound of the token rate / rate that overloads an endpoint
REFILL_WINDOW_S = 1.0  # tokens accrue for at most this long
ALL_WARMING_UP_REFILL_WINDOW_S = 4.0  # the same while every endpoint is in slow start
MAX_TOKENS = 2.0  # maximum burst at one endpoint; other gateways may burst at the same time
REENABLED_MIN_RATE_PER_S = 0.4  # minimum token rate per gateway after an operator enables an endpoint
REENABLED_TOTAL_MIN_RATE_PER_S = 2.0  # upper bound of the sum of these rates over all gateways
UNKNOWN_CAPACITY_ATTEMPTS_PER_WINDOW = 3.0  # by all gateways together; too few to overload any endpoint
UNKNOWN_CAPACITY_MAX_TOKENS = 1.0  # maximum burst at one endpoint of unknown capacity
LAST_WARM_RATE_FRACTION = 0.5  # lower bound of the rate without warm endpoints / last warm rate
CAPACITY_SAMPLES = (Outcome.OK, Outcome.CANCELLED)  # attempts that consumed an endpoint's capacity
NO_HANDOVER_FRACTION = 1.0  # this process has the full token rate


class SlowStart:
    """Tracks the endpoints in slow start and limits the attempts sent to each."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.warming_up: set[int] = set()  # ids of usable endpoints that may still be in slow start
        # Completions, not attempts sent: under overload, far more attempts are sent than are completed.
        self.warm_completions = DecayingMean(SHORT_TIME_CONSTANT_NS)
        self.warm_endpoint_count = DecayingMean(SHORT_TIME_CONSTANT_NS)
        # If True, the two means are of endpoints in slow start, weighted by their capacity fractions.
        self.all_warming_up = False
        self._last_warm_rate = 0.0  # completions per second of a warm endpoint, when there last was one
        self._gateways_per_endpoint = 1.0  # gateways that have the same endpoint in their subset
        self.warm_endpoint_count.updated_at = -SHORT_TIME_CONSTANT_NS  # gives the first sample full weight
        self.handover_fraction = NO_HANDOVER_FRACTION  # this process's fraction of the token rate

    def capacity_fraction(self, now: int, state: EndpointState) -> float:
        """Estimate the minimum fraction of its capacity that an endpoint has reached, 1 after slow start."""
        started_at = state.slow_start_at
        window = self.settings.slow_start_window
        if not started_at or now - started_at >= window:
            return 1.0
        initial = self.settings.initial_capacity_fraction
        return initial + (1.0 - initial) * max(0, now - started_at) / window

    def update_warming_up(self, state: EndpointState, is_usable: bool) -> None:
        """Add an endpoint to the warming-up set, or remove it, after its state has changed."""
        if is_usable and state.slow_start_at > 0:
            self.warming_up.add(state.endpoint.id)
        else:
            self.warming_up.discard(state.endpoint.id)

    def remove_warmed_up(self, now: int, endpoints: Mapping[int, EndpointState]) -> None:
        """Remove endpoints whose slow start has ended from the warming-up set."""
        self.warming_up -= {i for i in self.warming_up if self.capacity_fraction(now, endpoints[i]) >= 1.0}

    def record_capacity(
        self, now: int, endpoints: float, all_warming_up: bool, gateways_per_endpoint: float
    ) -> None:
        """Record the subset's capacity in warm endpoints, weighted by the time since the last record.

        If `all_warming_up`, there are no warm endpoints and this is the capacity of those in slow start.
        """
        self._gateways_per_endpoint = max(1.0, gateways_per_endpoint)
        if all_warming_up is not self.all_warming_up:
            self.all_warming_up = all_warming_up
            self._last_warm_rate = self._completions_per_warm_endpoint(now) if all_warming_up else 0.0
            self._rescale(endpoints)
        elapsed = (now - self.warm_endpoint_count.updated_at) / self.warm_endpoint_count.time_constant
        self.warm_endpoint_count.add(now, endpoints, min(1.0, elapsed))

    def _rescale(self, endpoints: float) -> None:
        """Keep the completion rate per endpoint when the set of counted endpoints changes."""
        previous = self.warm_endpoint_count.value
        if previous > 0.0:
            self.warm_completions.scale_weight(endpoints / previous)
            self.warm_endpoint_count.scale_values(endpoints / previous)

    def attempt_started(self, now: int, state: EndpointState) -> None:
        """Take a token for an attempt at an endpoint in slow start."""
        if self.capacity_fraction(now, state) < 1.0:
            state.slow_start_bucket.take()

    def attempt_ended(self, now: int, state: EndpointState, outcome: Outcome) -> None:
        """Count an attempt that a warm endpoint completed or worked on until it was cancelled.

        While every endpoint is in slow start, only completed attempts are evidence of capacity.
        """
        if self.all_warming_up:
            counts = outcome is Outcome.OK
        else:
            counts = outcome in CAPACITY_SAMPLES and self.capacity_fraction(now, state) >= 1.0
        if counts:
            self.warm_completions.add(now, 1.0)

    def refill_and_check_token(self, now: int, state: EndpointState, capacity_fraction: float) -> bool:
        """Refill the bucket of an endpoint at a fraction of its capacity; return whether it has a token."""
        rate = max(self._min_rate(state), capacity_fraction * self._rate_at_capacity(now))
        max_tokens = MAX_TOKENS
        if self.all_warming_up and rate <= (unknown_rate := self._unknown_capacity_rate()):
            rate = unknown_rate
            max_tokens = UNKNOWN_CAPACITY_MAX_TOKENS
        bucket = state.slow_start_bucket
        refill_window_s = ALL_WARMING_UP_REFILL_WINDOW_S if self.all_warming_up else REFILL_WINDOW_S
        elapsed_s = min(refill_window_s, (now - bucket.refilled_at) / SECOND)
        bucket.refill(now, rate * elapsed_s * self.handover_fraction, max_tokens)
        return bucket.tokens >= 1.0

    def _rate_at_capacity(self, now: int) -> float:
        """Return this gateway's share of a warm endpoint's completion rate, times a multiple below overload.

        Warm endpoints never complete more than their capacity, so the sum over all gateways is bounded.
        """
        multiple = max(1.0, min(RATE_MULTIPLE, OVERLOAD_FRACTION * self.settings.overload_multiple))
        return self._completions_per_warm_endpoint(now) * multiple

    def _completions_per_warm_endpoint(self, now: int) -> float:
        """Return the mean completions per second of a warm endpoint."""
        rate = self.warm_completions.rate(now) / (self.warm_endpoint_count.value or 1.0)
        return max(rate, LAST_WARM_RATE_FRACTION * self._last_warm_rate)

    def _unknown_capacity_rate(self) -> float:
        """Return this gateway's share of the attempts per second that overload no endpoint."""
        window_s = self.settings.overload_window / SECOND
        return UNKNOWN_CAPACITY_ATTEMPTS_PER_WINDOW / (window_s * self._gateways_per_endpoint)

    def _min_rate(self, state: EndpointState) -> float:
        if state.disabled_at <= 0:
            return 0.0
        return min(REENABLED_MIN_RATE_PER_S, REENABLED_TOTAL_MIN_RATE_PER_S / self.settings.gateway_count)

    def capture(self, outgoing_fraction: float) -> MeanSnapshot:
        """Return the completions of warm endpoints; keep a fraction of the token rate in this process."""
        self.handover_fraction = outgoing_fraction
        return MeanSnapshot.of(self.warm_completions)

    def restore(self, warm_completions: MeanSnapshot, incoming_fraction: float) -> None:
        """Restore the completions of the previous process, with a fraction of the token rate."""
        self.warm_completions = warm_completions.to_mean()
        self.handover_fraction = incoming_fraction

    def complete_handover(self) -> None:
        """Use the full token rate after the other process has ended."""
        self.handover_fraction = NO_HANDOVER_FRACTION
