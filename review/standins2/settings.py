"""The configuration of a gateway of a small deployment, in the nested form of the pages."""

from __future__ import annotations

from typing import Any

MS = 1_000_000


def request_class(name: str, idempotency: str, deadline_ms: int, aim_ms: int = 1200) -> dict[str, Any]:
    """Return a class of requests."""
    return {
        "name": name,
        "aim": aim_ms * MS,
        "deadline": deadline_ms * MS,
        "points": 1.0,
        "lateWorth": 0.0,
        "idempotency": idempotency,
        "group": "cell" if idempotency == "guarded" else "all",
        "window": 2000 * MS,
        "streaming": False,
    }


CLASSES = (
    request_class("stock-check", "free", 6000, 2500),
    request_class("order-place", "guarded", 3000),
    request_class("invoice-pay", "single_shot", 4000),
)


def plan(name: str, rate: float, at_once: float) -> dict[str, Any]:
    """Return a plan without a ceiling."""
    return {
        "name": name,
        "quotaRate": rate,
        "mostAtOnce": at_once,
        "parallel": 0,
        "worthFactor": 1.0,
        "beyondEarns": 0.0,
        "excessCost": 0.5,
        "ceilingRate": 0.0,
        "hardBurst": 0.0,
        "ceilingSlack": 0.0,
    }


def settings(replicas: int = 1, position: int = 0, peer_messages: bool = False) -> dict[str, Any]:
    """Return the settings of one gateway."""
    return {
        "classes": list(CLASSES),
        "packages": [plan("trade", 400.0, 800.0)],
        "zones": ["a", "b"],
        "kinds": ["m1"],
        "zone": 0,
        "position": position,
        "replicasOfMe": replicas,
        "report": {"how": "none", "names": []},
        "limits": {
            "maxAttempts": 5,
            "secondCopies": True,
            "cancel": True,
            "probes": False,
            "peerMessages": peer_messages,
            "retryAfter": True,
            "maxRetryAfter": 2000 * MS,
            "connectTimeout": 250 * MS,
            "connIdle": 30000 * MS,
        },
        "familyInfo": {
            "counter": False,
            "counterTimeout": 80 * MS,
            "usePeriod": 0,
            "largest": 1,
            "mailPerS": 60.0 if peer_messages else 0.0,
            "truedUp": False,
        },
        "rules": {
            "askWithin": 10000 * MS,
            "drainGrace": 250 * MS,
            "fall": 2000 * MS,
            "fallMultiple": 2.0,
            "startCapacity": 0.19,
            "warmUp": 16000 * MS,
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }


def configuration(name: str, listen: str, discovery: str, **more: Any) -> dict[str, Any]:
    """Return the configuration of a gateway; `more` adds or replaces keys."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peers": [],
        "settings": settings(),
        **more,
    }
