"""The deployment of a run, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

LOCALHOST = "127.0.0.1"
DESCRIPTORS = (256, 400, 1024)
MEMORY_MB = (32, 48, 96)
PEER_MESSAGES_PER_S = (0.0, 0.0, 40.0, 400.0)  # a counter, owners of buckets, gossip
MACHINE_CLASS = "m1"
OBJECTIVE_S = 0.8


class Effect(Enum):
    """Whether a request that may have executed can be repeated; the values are those of the settings."""

    IDEMPOTENT = "free"
    KEYED = "guarded"
    NOT_IDEMPOTENT = "single_shot"


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestKind:
    """A class of requests; `scope` is that of its idempotency keys: all, zone or cell."""

    name: str
    effect: Effect
    scope: str
    objective_s: float
    deadline_s: float
    window_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PlanTerms:
    """A customer's plan; `ceiling_rate` is 0 where there is no ceiling."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """The number of gateways and order servers, and the limits of each gateway.

    Gateways hold the quotas by peer messages, or a counter does if `peer_messages_per_s` is 0.
    """

    gateways: int
    order_servers: int
    descriptors: int = 400
    memory_mb: int = 96
    peer_messages_per_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """The settings of all gateways, the fleet, and the load."""

    fleet: Fleet
    zones: tuple[str, ...]
    kinds: tuple[RequestKind, ...]
    plans: tuple[PlanTerms, ...]
    drain_grace_s: float
    allows_hedging: bool
    max_attempts: int
    slow_start_window_s: float
    initial_capacity: float
    overload_window_s: float
    overload_multiple: float
    server_capacity: float  # requests per second that an order server completes after its slow start
    work_s: float  # mean time of a request at an order server
    requests_per_s: float  # at each gateway

    @property
    def longest_deadline_s(self) -> float:
        """Return the longest deadline of all classes."""
        return max(kind.deadline_s for kind in self.kinds)


def draw_deployment(seed: int, gateways: int, order_servers: int, requests_per_s: float) -> Deployment:
    """Draw a deployment; the fleet's size is given."""
    rng = random.Random(f"deployment {seed}")
    kinds = (
        RequestKind(
            name="lookup",
            effect=Effect.IDEMPOTENT,
            scope="all",
            objective_s=OBJECTIVE_S,
            deadline_s=rng.choice((1.5, 2.0, 3.0)),
            window_s=0.0,
        ),
        RequestKind(
            name="order",
            effect=Effect.KEYED,
            scope=rng.choice(("all", "zone", "cell")),
            objective_s=OBJECTIVE_S,
            deadline_s=rng.choice((1.5, 2.5)),
            window_s=rng.choice((0.6, 1.5)),
        ),
        RequestKind(
            name="pay",
            effect=Effect.NOT_IDEMPOTENT,
            scope="all",
            objective_s=OBJECTIVE_S,
            deadline_s=rng.choice((1.5, 2.5)),
            window_s=0.0,
        ),
    )
    plans = (
        PlanTerms(name="team", rate=500.0, burst=1000.0),
        PlanTerms(
            name="volume", rate=8.0, burst=16.0, ceiling_rate=12.0, ceiling_burst=24.0, ceiling_slack=3.0
        ),
    )
    limits_rng = random.Random(f"limits {seed}")
    return Deployment(
        fleet=Fleet(
            gateways=gateways,
            order_servers=order_servers,
            descriptors=limits_rng.choice(DESCRIPTORS),
            peer_messages_per_s=limits_rng.choice(PEER_MESSAGES_PER_S),
            memory_mb=limits_rng.choice(MEMORY_MB),
        ),
        zones=("a", "b"),
        kinds=kinds,
        plans=plans,
        drain_grace_s=0.25,
        allows_hedging=rng.random() < 0.7,
        max_attempts=rng.choice((3, 4, 5)),
        slow_start_window_s=rng.choice((6.0, 12.0)),
        initial_capacity=0.2,
        overload_window_s=2.0,
        overload_multiple=2.0,
        server_capacity=4.0 * requests_per_s * gateways / order_servers,
        work_s=rng.choice((0.01, 0.03)),
        requests_per_s=requests_per_s,
    )
