"""The deployment of a run, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

LOCALHOST = "127.0.0.1"
DESCRIPTORS = (256, 400, 1024)  # for one gateway
PEER_MESSAGE_RATES = (0.0, 0.0, 40.0, 400.0)  # none, for owners of buckets, for gossip among two dozen
MACHINE_CLASS = "m1"


class Effect(Enum):
    """What a class of requests allows once it may have executed; the values are those of the settings."""

    IDEMPOTENT = "free"
    KEYED = "guarded"
    NOT_IDEMPOTENT = "single_shot"


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A class of requests."""

    name: str
    effect: Effect
    scope: str  # of an idempotency key: all, zone or cell
    objective_s: float
    deadline_s: float
    window_s: float


@dataclass(frozen=True, slots=True)
class PlanTerms:
    """A customer's plan; `ceiling_rate` is 0 where there is none."""

    name: str
    rate: float
    burst: float
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """All that gateways are told at their start, and how large the fleet is."""

    gateways: int
    order_servers: int
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
    server_capacity: float  # requests a second that a warm order server completes
    work_s: float  # mean time that a request takes there
    requests_per_s: float  # that each gateway gets
    descriptors: int = 400
    peer_messages_per_s: float = 0.0  # with which gateways hold the quotas; 0 where a counter does

    @property
    def longest_deadline_s(self) -> float:
        """Return the longest deadline of all classes."""
        return max(kind.deadline_s for kind in self.kinds)


def draw_deployment(seed: int, gateways: int, order_servers: int, requests_per_s: float) -> Deployment:
    """Draw a deployment; the fleet's size is given."""
    rng = random.Random(f"deployment {seed}")
    scopes = ("all", "zone", "cell")
    kinds = (
        RequestKind("lookup", Effect.IDEMPOTENT, "all", 0.8, rng.choice((1.5, 2.0, 3.0)), 0.0),
        RequestKind(
            "order", Effect.KEYED, rng.choice(scopes), 0.8, rng.choice((1.5, 2.5)), rng.choice((0.6, 1.5))
        ),
        RequestKind("pay", Effect.NOT_IDEMPOTENT, "all", 0.8, rng.choice((1.5, 2.5)), 0.0),
    )
    plans = (PlanTerms("team", 500.0, 1000.0), PlanTerms("volume", 8.0, 16.0, 12.0, 24.0, 3.0))
    limits_rng = random.Random(f"limits {seed}")
    return Deployment(
        gateways=gateways,
        order_servers=order_servers,
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
        descriptors=limits_rng.choice(DESCRIPTORS),
        peer_messages_per_s=limits_rng.choice(PEER_MESSAGE_RATES),
    )
