"""Simulated endpoints that take a delay, and the time in a queue with slots."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from heapq import heapreplace

from qos_gateway.units import SECOND

MAX_QUEUE_NS = 1 * SECOND  # an endpoint rejects what would wait longer


@dataclass(frozen=True, kw_only=True)
class EndpointLatency:
    """How long endpoints take for a request, whatever else is in flight and with what is."""

    min_delay_s: float
    max_delay_s: float
    slots: int = 0  # requests that are worked on at once; 0: no queue
    work_s: float = 0.0  # mean time in a slot


@dataclass
class SimulatedEndpoint:
    """Slots with one queue, behind a delay."""

    slot_free_at: list[int] = field(default_factory=list)  # a heap

    def response_at(self, now: int, latency: EndpointLatency, rng: random.Random) -> int | None:
        """Return when a response is sent, None if the request is rejected."""
        delay = int(rng.uniform(latency.min_delay_s, latency.max_delay_s) * SECOND)
        if not latency.slots:
            return now + delay
        while len(self.slot_free_at) < latency.slots:
            self.slot_free_at.insert(0, 0)
        del self.slot_free_at[latency.slots :]
        if self.slot_free_at[0] - now > MAX_QUEUE_NS:
            return None
        work = int(latency.work_s * rng.uniform(0.5, 1.5) * SECOND)
        end = max(now, self.slot_free_at[0]) + work
        heapreplace(self.slot_free_at, end)
        return end + delay
