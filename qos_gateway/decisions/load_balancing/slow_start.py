"""Slow start: a token bucket limits the attempts at each endpoint that was started recently.

Token rates follow what warm endpoints complete. Where every endpoint is in slow start, they follow what these
complete, relative to the fraction of their capacity, so that the rates grow as in TCP's slow start.
"""

from __future__ import annotations

from collections.abc import Mapping

from ...types import Outcome, Settings
from ...units import SECOND
from ..snapshot import MeanSnapshot
from ..statistics.decaying_mean import DecayingMean
from ..statistics.time_constants import SHORT_TIME_CONSTANT_NS
from .endpoint_state import EndpointState

RATE_MULTIPLE = 1.4  # token rate at full capacity, relative to the completion rate of a warm endpoint
OVERLOAD_FRACTION = 0.7  # upper bound of that rate, as a fraction of the rate that overloads an endpoint
REFILL_WINDOW_S = 1.0  # longest time for which tokens accrue
ALL_WARMING_REFILL_WINDOW_S = 4.0  # the same while every endpoint is in slow start
MAX_TOKENS = 2.0  # burst at one endpoint: other gateways may burst at the same time
REENABLED_MIN_RATE_PER_S = 0.4  # least token rate of one gateway after an administrative disabling
REENABLED_TOTAL_MIN_RATE_PER_S = 2.0  # upper bound of these least rates over all gateways
UNKNOWN_CAPACITY_CALLS = 3.0  # of all gateways in an overload window: no endpoint is overloaded by them
UNKNOWN_CAPACITY_MAX_TOKENS = 1.0  # burst at one endpoint while nothing is known of the capacity
REMEMBERED_SHARE = 0.5  # of the last known rate, the least while every endpoint is in slow start
WORKED_ON = (Outcome.OK, Outcome.CANCELLED)  # attempts that took an endpoint's capacity
NO_HANDOVER_FRACTION = 1.0  # all tokens belong to this process


class SlowStart:
    """Which endpoints warm up, and how many attempts each of them may be sent."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.warming_up: set[int] = set()  # ids of usable endpoints whose slow start may not be over
        # Completions, not attempts sent: under overload far more are sent than endpoints can complete.
        self.warm_completions = DecayingMean(SHORT_TIME_CONSTANT_NS)
        self.warm_endpoints = DecayingMean(SHORT_TIME_CONSTANT_NS)  # their number, over the same time
        self.all_warming_up = (
            False  # the two means are of endpoints in slow start, counted by their fractions
        )
        self._remembered_rate = 0.0  # completions per second of an endpoint, when the last one was warm
        self._sharers = 1.0  # gateways that may send to the same endpoint
        self.warm_endpoints.updated_at = -SHORT_TIME_CONSTANT_NS  # gives the first endpoint list full weight
        self.handover_fraction = NO_HANDOVER_FRACTION  # fraction of the tokens that belongs to this process

    def fraction(self, now: int, state: EndpointState) -> float:
        """Estimate which fraction of its capacity an endpoint has at least reached, 1 after slow start."""
        started_at = state.slow_start_at
        window = self.settings.slow_start_window
        if not started_at or now - started_at >= window:
            return 1.0
        initial = self.settings.initial_capacity_fraction
        return initial + (1.0 - initial) * max(0, now - started_at) / window

    def track(self, state: EndpointState, is_usable: bool) -> None:
        """Update the set of endpoints that warm up after a change of one endpoint."""
        if is_usable and state.slow_start_at > 0:
            self.warming_up.add(state.endpoint.id)
        else:
            self.warming_up.discard(state.endpoint.id)

    def drop_warmed_up(self, now: int, endpoints: Mapping[int, EndpointState]) -> None:
        """Drop endpoints whose slow start is over from the set of those that warm up."""
        self.warming_up -= {i for i in self.warming_up if self.fraction(now, endpoints[i]) >= 1.0}

    def record_capacity(self, now: int, endpoints: float, all_warming_up: bool, sharers: float) -> None:
        """Record the subset's capacity in warm endpoints, weighted by the time since the last record.

        `all_warming_up` tells that it is the capacity of endpoints in slow start, as there are no others.
        """
        self._sharers = max(1.0, sharers)
        if all_warming_up is not self.all_warming_up:
            self.all_warming_up = all_warming_up
            self._remembered_rate = self._completions_per_warm_endpoint(now) if all_warming_up else 0.0
            self._rescale(endpoints)
        elapsed = (now - self.warm_endpoints.updated_at) / self.warm_endpoints.time_constant
        self.warm_endpoints.add(now, endpoints, min(1.0, elapsed))

    def _rescale(self, endpoints: float) -> None:
        """Keep the completions per endpoint while the endpoints that are counted change."""
        previous = self.warm_endpoints.value
        if previous > 0.0:
            self.warm_completions.scale_weight(endpoints / previous)
            self.warm_endpoints.scale_values(endpoints / previous)

    def attempt_started(self, now: int, state: EndpointState) -> None:
        """Take a token for an attempt at an endpoint in slow start."""
        if self.fraction(now, state) < 1.0:
            state.slow_start_bucket.take()

    def attempt_ended(self, now: int, state: EndpointState, outcome: Outcome) -> None:
        """Count an attempt that a warm endpoint completed, or worked on until it was cancelled.

        Where every endpoint is in slow start, only what they completed shows their capacity.
        """
        if self.all_warming_up:
            counts = outcome is Outcome.OK
        else:
            counts = outcome in WORKED_ON and self.fraction(now, state) >= 1.0
        if counts:
            self.warm_completions.add(now, 1.0)

    def has_token(self, now: int, state: EndpointState, fraction: float) -> bool:
        """Refill the bucket of an endpoint that has reached a fraction of its capacity; check for a token."""
        rate = max(self._min_rate(state), fraction * self._rate_at_capacity(now))
        max_tokens = MAX_TOKENS
        if self.all_warming_up and rate <= (unknown_rate := self._unknown_capacity_rate()):
            rate = unknown_rate
            max_tokens = UNKNOWN_CAPACITY_MAX_TOKENS
        bucket = state.slow_start_bucket
        refill_window_s = ALL_WARMING_REFILL_WINDOW_S if self.all_warming_up else REFILL_WINDOW_S
        elapsed_s = min(refill_window_s, (now - bucket.refilled_at) / SECOND)
        bucket.refill(now, rate * elapsed_s * self.handover_fraction, max_tokens)
        return bucket.tokens >= 1.0

    def _rate_at_capacity(self, now: int) -> float:
        """Return this gateway's share of a warm endpoint's completions, times a multiple below overload.

        Warm endpoints never complete more than their capacity, so the sum of all gateways' shares is bounded.
        """
        multiple = max(1.0, min(RATE_MULTIPLE, OVERLOAD_FRACTION * self.settings.overload_multiple))
        return self._completions_per_warm_endpoint(now) * multiple

    def _completions_per_warm_endpoint(self, now: int) -> float:
        """Return the completions per second of a warm endpoint, by the mean over all."""
        rate = self.warm_completions.rate(now) / (self.warm_endpoints.value or 1.0)
        return max(rate, REMEMBERED_SHARE * self._remembered_rate)

    def _unknown_capacity_rate(self) -> float:
        """Return this gateway's share of the calls per second that an endpoint of any capacity bears."""
        window_s = self.settings.overload_window / SECOND
        return UNKNOWN_CAPACITY_CALLS / (window_s * self._sharers)

    def _min_rate(self, state: EndpointState) -> float:
        if state.disabled_at <= 0:
            return 0.0
        return min(REENABLED_MIN_RATE_PER_S, REENABLED_TOTAL_MIN_RATE_PER_S / self.settings.gateway_count)

    def capture(self, outgoing_fraction: float) -> MeanSnapshot:
        """Return the completions of warm endpoints; this process keeps a fraction of the token rate."""
        self.handover_fraction = outgoing_fraction
        return MeanSnapshot.of(self.warm_completions)

    def restore(self, warm_completions: MeanSnapshot, incoming_fraction: float) -> None:
        """Continue the completions of the previous process, with a fraction of the token rate."""
        self.warm_completions = warm_completions.to_mean()
        self.handover_fraction = incoming_fraction

    def complete_handover(self) -> None:
        """Use the whole token rate again after the other process has ended."""
        self.handover_fraction = NO_HANDOVER_FRACTION
