"""Requests of a customer population: Poisson arrivals at the gateways of a fleet."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate, count

from benchmarks.customer_population import CLASS_FRACTIONS, GATEWAYS_PER_CUSTOMER, Customer
from qos_gateway.types import Arrival
from qos_gateway.units import SECOND
from tests.support.builders import CLASSES, arrival

MIN_GATEWAY_WEIGHT = 0.2  # so that every gateway of a customer receives some of its requests


@dataclass(frozen=True)
class ScheduledArrival:
    """A request that arrives at a gateway at `time` (ns)."""

    time: int
    gateway: int
    customer: Customer
    event: Arrival


class ArrivalProcess:
    """Generates random requests: time, customer, class and gateway."""

    def __init__(
        self, gateways: int, customers: Sequence[Customer], requests_per_s: float, rng: random.Random
    ) -> None:
        self._rng = rng
        self._gateways = gateways
        self._customers = customers
        self._requests_per_s = requests_per_s
        self._set_size = min(GATEWAYS_PER_CUSTOMER, gateways)
        self._gateway_weights = [self._random_gateway_weights() for _ in customers]
        self._cumulative_demand = list(accumulate(customer.requests_per_s for customer in customers))
        self._request_ids = count(1)
        self._time = 0.0

    def _random_gateway_weights(self) -> list[float]:
        return [MIN_GATEWAY_WEIGHT + self._rng.expovariate(1.0) for _ in range(self._set_size)]

    def start_at(self, time: int) -> None:
        """Let requests arrive from `time` (ns) on."""
        self._time = float(time)

    def next_arrival(self) -> ScheduledArrival:
        """Return the next request."""
        self._time += self._rng.expovariate(self._requests_per_s) * SECOND
        time = int(self._time)
        customer = self._rng.choices(self._customers, cum_weights=self._cumulative_demand)[0]
        weights = self._gateway_weights[customer.index]
        offset = self._rng.choices(range(self._set_size), weights)[0]
        class_index = self._rng.choices(range(len(CLASSES)), CLASS_FRACTIONS)[0]
        event = arrival(
            next(self._request_ids),
            time,
            class_index,
            customer.index + 1,
            plan_index=customer.plan_index,
            gateway_spread=self._set_size,
            first_gateway=customer.first_gateway,
        )
        gateway = (customer.first_gateway + offset) % self._gateways
        return ScheduledArrival(time=time, gateway=gateway, customer=customer, event=event)
