"""What this gateway knows of one customer."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ..types import Plan
from .decaying_mean import DecayingMean


@dataclass(slots=True)
class CustomerAccount:
    """What this gateway knows of one customer: its commitment, its bucket, its slices."""

    customer_id: int
    plan: Plan
    plan_index: int  # the plan's
    owner: int  # the gateway that keeps the customer's store where gateways are many
    tokens: float
    refilled_at: int
    last_request_at: int
    evaluated_at: int
    reported_at: int  # when home or counter last told of its store
    in_flight_elsewhere_at: int  # when others' open attempts were last told
    mean_in_flight: DecayingMean
    demand: DecayingMean
    grant_ratio: DecayingMean  # 1 for units granted, 0 for denied
    long_demand: DecayingMean  # units asked for here, remembered longer than the demand
    usage: DecayingMean  # metered use as part of the quota, weighed by the quota of its period
    ceiling_tokens: float = 0.0
    local_tokens: float = 0.0  # this gateway's even slice of the store
    peers: tuple[int, ...] = ()
    rank: int = 0  # this gateway's place in the customer's set
    slice_count: int = 0  # gateways among which it is sliced; 0 where none of its requests came here yet
    in_flight_cap: int = 0
    in_flight: int = 0
    priority_weight: float = 0.0
    headroom: float = 0.0
    latency_objective: int = 0
    spent_quarter_units: int = 0  # quarter units sent on inside the quota, since this gateway's start
    pending_gossip: int = 0
    peer_totals: dict[int, int] = field(default_factory=dict)
    in_flight_elsewhere: int = 0  # open attempts elsewhere, as told
    reported_tokens: float = inf  # what home or counter told last
    counter_key: int = 0  # of the counter's number that last told of the store ...
    initial_deficit: float = 0.0  # ... and what the store lacked of a full one when that began
    pending_release: float = 0.0  # to be added to the counter with the next call
    unconfirmed_correction: float = (
        0.0  # what put the counter's number right, with no answer on whether another did so too
    )
    unreported_units: float = 0.0  # units spent from the even slice that the counter has not heard of
    lease_fractions: dict[int, float] = field(
        default_factory=dict
    )  # by term: part of the quota leased for it
    next_claim_at: int = 0  # before which no lease is claimed
    unanswered_claim_term: int = -1  # the newest term for which a claim has no answer
    usage_reported_at: int = -(1 << 62)  # when an answer last told of the use of the quota ...
    reported_usage: float = 0.0  # ... and how much of it that was


@dataclass(frozen=True, slots=True)
class Demand:
    """What a customer's commitment asks for: the paper's Nreq, and its XMIN in requests per second."""

    concurrency: int
    throughput: float
