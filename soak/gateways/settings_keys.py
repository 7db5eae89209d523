"""The content of a gateway's configuration file, with the keys of the pages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from soak.settings import LOCALHOST, MACHINE_CLASS, Deployment, Fleet, PlanTerms, RequestKind

SECOND_NS = 1_000_000_000
COUNTER_TIMEOUT_NS = 80_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Addresses:
    """Where a gateway finds the others, and where it takes the operators' calls.

    `peers` are the addresses of all gateways in the order of their numbers, none where a counter is used.
    """

    discovery: str
    counter: str
    admin: str
    peers: tuple[str, ...]


def configuration(
    deployment: Deployment, position: int, addresses: Addresses, cached_list: dict[str, Any] | None, seed: str
) -> dict[str, Any]:
    """Return the content of one gateway's configuration file."""
    quotas: dict[str, Any] = {"counter": addresses.counter, "peers": []}
    if addresses.peers:
        quotas = {"peers": list(addresses.peers), "peer_listen": addresses.peers[position]}
    return {
        **quotas,
        "name": f"n{position}",
        "listen": f"{LOCALHOST}:0",
        "operator": addresses.admin,
        "discovery": addresses.discovery,
        "seed": seed,
        "limits": _limits(deployment.fleet),
        "known": cached_list,
        "settings": _nested_settings(deployment, position),
    }


def _limits(fleet: Fleet) -> dict[str, Any]:
    return {"cores": 1.0, "sockets": fleet.descriptors, "memory_mb": fleet.memory_mb}


def _nested_settings(deployment: Deployment, position: int) -> dict[str, Any]:
    """Return the settings of one gateway in their nested form."""
    return {
        "classes": [_class_settings(kind) for kind in deployment.kinds],
        "packages": [_plan_settings(plan) for plan in deployment.plans],
        "zones": list(deployment.zones),
        "kinds": [MACHINE_CLASS],
        "zone": position % len(deployment.zones),
        "position": position,
        "replicasOfMe": deployment.fleet.gateways,
        "report": {"how": "answers", "names": ["load_share", "concurrent"]},
        "limits": {
            "maxAttempts": deployment.max_attempts,
            "secondCopies": deployment.allows_hedging,
            "cancel": True,
            "probes": False,
            "peerMessages": deployment.fleet.peer_messages_per_s > 0.0,
            "retryAfter": True,
            "maxRetryAfter": SECOND_NS,
            "connectTimeout": SECOND_NS // 4,
            "connIdle": 30 * SECOND_NS,
        },
        "familyInfo": {
            "counter": not deployment.fleet.peer_messages_per_s,
            "counterTimeout": COUNTER_TIMEOUT_NS,
            "usePeriod": 0,
            "largest": 1,
            "mailPerS": deployment.fleet.peer_messages_per_s,
            "truedUp": False,
        },
        "rules": {
            "askWithin": 10 * SECOND_NS,
            "drainGrace": int(deployment.drain_grace_s * SECOND_NS),
            "fall": int(deployment.overload_window_s * SECOND_NS),
            "fallMultiple": deployment.overload_multiple,
            "startCapacity": deployment.initial_capacity,
            "warmUp": int(deployment.slow_start_window_s * SECOND_NS),
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }


def _class_settings(kind: RequestKind) -> dict[str, Any]:
    return {
        "name": kind.name,
        "aim": int(kind.objective_s * SECOND_NS),
        "deadline": int(kind.deadline_s * SECOND_NS),
        "points": 1.0,
        "lateWorth": 0.0,
        "idempotency": kind.effect.value,
        "group": kind.scope,
        "window": int(kind.window_s * SECOND_NS),
    }


def _plan_settings(plan: PlanTerms) -> dict[str, Any]:
    return {
        "name": plan.name,
        "quotaRate": plan.rate,
        "mostAtOnce": plan.burst,
        "parallel": 0,
        "worthFactor": 1.0,
        "beyondEarns": 0.0,
        "excessCost": 1.0,
        "ceilingRate": plan.ceiling_rate,
        "hardBurst": plan.ceiling_burst,
        "ceilingSlack": plan.ceiling_slack,
    }
