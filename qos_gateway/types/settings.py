"""Settings that a gateway receives at its start. Durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..edge_names import IdempotenceValue, IdempotencyScopeValue


class Idempotence(Enum):
    """Retries that a request class allows once an attempt may have executed."""

    IDEMPOTENT = IdempotenceValue.IDEMPOTENT  # any retry
    KEYED = IdempotenceValue.KEYED  # retries at endpoints that know the idempotency key
    NOT_IDEMPOTENT = IdempotenceValue.NOT_IDEMPOTENT  # no retry


class IdempotencyScope(Enum):
    """Endpoints that share the idempotency keys which one of them has seen."""

    ALL = IdempotencyScopeValue.ALL
    ZONE = IdempotencyScopeValue.ZONE
    CELL = IdempotencyScopeValue.CELL


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestClass:
    """Class of requests. Durations are in ns."""

    name: str
    latency_objective: int  # latency up to which a response has its full weight
    deadline: int  # longest time from a request's arrival to its final response
    priority_weight: float  # weight of a response within the objective
    late_priority_weight: float  # weight of a later response, as a fraction of `priority_weight`
    idempotence: Idempotence
    idempotency_scope: IdempotencyScope
    idempotency_window: int  # duration for which endpoints know a key after its first attempt

    @property
    def is_retryable_after_execution(self) -> bool:
        """Return whether a request that may have executed may be retried, at least at some endpoints."""
        return self.idempotence is not Idempotence.NOT_IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Quota of each customer of one plan over all gateways; 0 means no limit."""

    name: str
    rate: float  # units per second of the quota
    burst: float  # maximum units that the quota accumulates
    max_in_flight: int  # maximum attempts in flight at the same time
    weight_factor: float  # factor on the priority weight of the plan's requests
    excess_weight: float  # weight of a request beyond the quota, as a fraction of its full weight
    excess_cost: float  # cost of a request beyond the quota, as a fraction of its full weight
    ceiling_rate: float  # units per second of the hard ceiling
    ceiling_burst: float  # maximum units that the hard ceiling accumulates
    ceiling_slack: float  # units by which all gateways together may exceed the hard ceiling


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Inputs of decisions that stay constant while the gateway runs. Durations are in ns."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    zone: int  # index of this gateway's zone
    position: int  # index of this gateway among all gateways, from 0
    gateway_count: int
    report_names: tuple[str, ...]  # names of the values of a load report, in their order
    max_attempts: int  # maximum attempts per request
    hedging: bool  # whether a request may have two attempts in flight
    may_cancel: bool  # whether attempts may be cancelled
    may_probe: bool  # whether endpoints may be probed
    may_message: bool  # whether gateways may send messages to each other
    sends_retry_after: bool  # whether a rejection carries a delay for the client's retry
    max_retry_after: int  # longest such delay that clients follow
    has_counter: bool  # whether the gateways share a quota counter
    usage_period: int  # period over which the meter measures the usage of a quota; 0: no meter
    largest_request_units: float  # units of the largest request
    messages_per_s: float  # messages per second that a gateway accepts from its peers
    settles_actual_units: bool  # whether a request's units are an estimate until its response
    polls_discovery: bool  # whether the endpoint list is fetched rather than watched
    poll_deadline: int  # longest time between two fetches of the endpoint list
    drain_grace: int  # duration for which a draining endpoint still serves
    overload_window: int  # duration of overload that makes an endpoint in slow start collapse
    overload_multiple: float  # load above this multiple of its current capacity is overload
    initial_capacity_fraction: float  # capacity of an endpoint at its start, relative to its full capacity
    slow_start_window: int  # duration from an endpoint's start to its full capacity
    cross_zone_cost: float  # cost of an attempt in another zone, as a fraction of a request
    lease_term: int = 0  # duration of a lease on a part of a quota; 0: each request is counted
    max_customers: int = 0  # maximum customers with state at a time; 0: no limit
