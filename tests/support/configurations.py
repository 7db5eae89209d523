"""Configurations of a gateway, as the platform writes them and parsed."""

from __future__ import annotations

from typing import Any

from qos_gateway.server.config import Config, parse
from tests.support.event_loop import LOOPBACK


def nested_settings(**changes: Any) -> dict[str, Any]:
    """Settings in the nested form of a real configuration; hand-made."""

    def a_class(name: str, repeat: str, group: str) -> dict[str, Any]:
        return {
            "name": name,
            "aim": 800_000_000,
            "deadline": 2_000_000_000,
            "points": 3.0,
            "lateWorth": 0.0,
            "idempotency": repeat,
            "group": group,
            "window": 5_000_000_000,
        }

    plan = {
        "name": "team",
        "quotaRate": 1000.0,
        "mostAtOnce": 1000.0,
        "parallel": 0,
        "worthFactor": 1.0,
        "beyondEarns": 0.0,
        "excessCost": 1.0,
        "ceilingRate": 0.0,
        "hardBurst": 0.0,
        "ceilingSlack": 0.0,
    }
    made: dict[str, Any] = {
        "classes": [
            a_class("look up", "free", "all"),
            a_class("submit", "guarded", "cell"),
            a_class("charge", "single_shot", "all"),
        ],
        "packages": [plan],
        "zones": ["a", "b"],
        "kinds": ["m1", "m2"],
        "zone": 0,
        "position": 0,
        "replicasOfMe": 2,
        "report": {"how": "answers", "names": ["load_share", "concurrent"]},
        "limits": {
            "maxAttempts": 4,
            "secondCopies": True,
            "cancel": True,
            "probes": True,
            "peerMessages": True,
            "retryAfter": True,
            "maxRetryAfter": 1_000_000_000,
            "connectTimeout": 250_000_000,
            "connIdle": 30_000_000_000,
        },
        "familyInfo": {"counter": False, "usePeriod": 0, "largest": 1, "mailPerS": 40.0, "truedUp": False},
        "rules": {
            "askWithin": 10_000_000_000,
            "drainGrace": 1_000_000_000,
            "fall": 3_000_000_000,
            "fallMultiple": 3.0,
            "startCapacity": 0.23,
            "warmUp": 18_000_000_000,
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }
    for path, value in changes.items():
        part, _, key = path.partition("__")
        if key:
            made[part][key] = value
        else:
            made[part] = value
    return made


def raw_config(discovery_port: int, known: dict[str, Any] | None = None, **changes: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"{LOOPBACK}:0",
        "discovery": f"{LOOPBACK}:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024},
        "peers": [],
        "known": known,
        "settings": nested_settings(**changes),
    }


def make_config(
    discovery_port: int, known: dict[str, Any] | None = None, counter: str | None = None, **changes: Any
) -> Config:
    return parse({**raw_config(discovery_port, known, **changes), "counter": counter}, {})
