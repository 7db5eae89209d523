"""Customers of a simulated fleet: their plans, their demand and the gateways that serve them."""

from __future__ import annotations

import random
from dataclasses import dataclass
from itertools import accumulate
from math import ceil

from qos_gateway.types import Plan
from qos_gateway.units import MILLISECOND, SECOND
from tests.support.builders import plan

GATEWAYS_PER_CUSTOMER = 10
MEAN_ATTEMPT_DURATION_NS = 100 * MILLISECOND
CLASS_FRACTIONS = (0.6, 0.27, 0.13)  # of the requests, by request class
PLAN_FRACTIONS = (0.6, 0.3, 0.1)  # of the customers, by plan

LIMITED_RATE = 16.1  # requests per second
IN_FLIGHT_HEADROOM = 2.6  # attempts in flight that a plan allows, over those that its quota needs on average
# A customer's mean quota is 14.2/s: with `quota_utilizations`, 11,000 of them offer 97,000 requests a second.
PLANS = (
    plan(name="basic", rate=6.7, burst=26.8, excess_cost=0.5),
    plan(
        name="limited",
        rate=LIMITED_RATE,
        burst=64.4,
        max_in_flight=ceil(IN_FLIGHT_HEADROOM * LIMITED_RATE * MEAN_ATTEMPT_DURATION_NS / SECOND),
        excess_weight=0.2,
        excess_cost=0.0,
    ),
    plan(
        name="ceiled",
        rate=53.6,
        burst=107.2,
        excess_cost=0.5,
        ceiling_rate=117.9,
        ceiling_burst=235.8,
        ceiling_slack=11.8,
    ),
)

# Customers in the order of their demand: most use a part of their quota, some about all, a few far more.
MODERATE_FRACTION = 0.78
NEAR_QUOTA_FRACTION = 0.18
MODERATE_UTILIZATION = (0.15, 0.35)  # minimum, and width of the range above it
NEAR_QUOTA_UTILIZATION = (0.85, 0.15)
EXCESSIVE_UTILIZATION = 5.0


@dataclass(frozen=True)
class Customer:
    """A customer whose requests arrive at consecutive gateways from `first_gateway` on."""

    index: int
    plan_index: int
    first_gateway: int
    requests_per_s: float

    @property
    def plan(self) -> Plan:
        """Return the customer's plan."""
        return PLANS[self.plan_index]


def _utilization(quantile: float) -> float:
    """Return the demand, as a multiple of the quota, at a quantile (0 to 1) of all customers."""
    if quantile < MODERATE_FRACTION:
        least, span = MODERATE_UTILIZATION
        return least + span * quantile / MODERATE_FRACTION
    if quantile < MODERATE_FRACTION + NEAR_QUOTA_FRACTION:
        least, span = NEAR_QUOTA_UTILIZATION
        return least + span * (quantile - MODERATE_FRACTION) / NEAR_QUOTA_FRACTION
    return EXCESSIVE_UTILIZATION


def quota_utilizations(count: int, rng: random.Random) -> list[float]:
    """Return the demand of `count` customers as multiples of their quotas, in random order.

    One customer at each of `count` even quantiles: the sum hardly depends on the seed.
    """
    utilizations = [_utilization((i + 0.5) / count) for i in range(count)]
    rng.shuffle(utilizations)
    return utilizations


def _plan_index(quantile: float) -> int:
    """Return the plan of the customer at a quantile (0 to 1) of all customers."""
    boundaries = accumulate(PLAN_FRACTIONS[:-1])
    return sum(quantile >= boundary for boundary in boundaries)


def make_customers(
    gateways: int, count: int, requests_per_s: float, rng: random.Random
) -> tuple[Customer, ...]:
    """Return customers who together send `requests_per_s`, distributed over the plans."""
    plan_indices = [_plan_index((i + 0.5) / count) for i in range(count)]
    demands: list[float] = []
    for plan_index, customer_plan in enumerate(PLANS):
        utilizations = quota_utilizations(plan_indices.count(plan_index), rng)
        demands += [utilization * customer_plan.rate for utilization in utilizations]
    scale = requests_per_s / sum(demands)
    return tuple(
        Customer(index, plan_index, rng.randrange(gateways), demand * scale)
        for index, (plan_index, demand) in enumerate(zip(plan_indices, demands, strict=True))
    )
