"""What a gateway is told at its start. Durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotence(Enum):
    """What a class of requests allows once an attempt may have executed."""

    IDEMPOTENT = "free"  # any retry
    KEYED = "guarded"  # retries that reach an endpoint where the idempotency key is known
    NOT_IDEMPOTENT = "single_shot"  # none


class IdempotencyScope(Enum):
    """Which endpoints know an idempotency key that one of them has seen."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """One class of request."""

    name: str
    latency_objective: int  # a response within it has its full value
    deadline: int  # for which the client waits, over all its attempts
    priority_weight: float  # value of a response
    late_priority_weight: float  # part of it that a response has after the objective
    idempotence: Idempotence
    idempotency_scope: IdempotencyScope
    idempotency_window: int  # for which an idempotency key is known, from its first attempt on

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may be sent again, somewhere, though it may have executed."""
        return self.idempotence is not Idempotence.NOT_IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Quota of each customer of one plan, over all gateways; 0 means no such limit."""

    name: str
    rate: float  # units per second
    burst: float  # units that may be saved up
    max_in_flight: int  # attempts at once
    weight_factor: float  # of the priority weight of its requests
    excess_weight: float  # what a request beyond the quota is worth ...
    excess_cost: float  # ... and what it costs, both as parts of its weight
    ceiling_rate: float  # units per second that are never to be passed ...
    ceiling_burst: float  # ... with units that may be saved up ...
    ceiling_slack: float  # ... and the units by which all gateways together may err


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All that decisions depend on and that does not change while the gateway runs."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int  # this gateway's
    position: int  # this gateway's index among all, from 0 on
    gateway_count: int
    report_names: tuple[str, ...]  # values of a load report
    max_attempts: int  # per request
    hedging: bool  # whether a request may have two attempts in flight
    may_cancel: bool
    may_probe: bool
    may_message: bool  # whether gateways may send each other messages
    sends_retry_after: bool
    max_retry_after: int  # the longest that clients heed
    has_counter: bool  # whether there is a quota counter
    usage_period: int  # over which the meter sums up the use of a quota; 0: there is no meter
    largest_request_units: float
    messages_per_s: float  # that a gateway takes from its peers
    settles_actual_units: bool  # whether units are an estimate until the response tells them
    polls_discovery: bool  # whether changes of the endpoint list have to be asked for
    poll_deadline: int  # within which they must be
    drain_grace: int  # for which a draining endpoint still serves
    overload_window: int  # over which an endpoint in slow start bears ...
    overload_multiple: float  # ... so many times its capacity
    initial_capacity_fraction: float  # of an endpoint that has just started
    slow_start_window: int  # until it has all of its capacity
    cross_zone_cost: float  # of an attempt in another zone, as a part of a request
    lease_term: int = 0  # for which parts of quotas are leased; 0: each request is counted
