"""The settings of a small deployment: two buildings, three classes, three plans, one quota counter."""

from __future__ import annotations

from typing import Any

SECOND_NS = 1_000_000_000
ZONES = ("building-a", "building-b")
KIND = "std-4core"


def settings(**limits: Any) -> dict[str, Any]:
    """Return the settings in their nested form; `limits` replaces single values of `limits`."""
    return {
        "classes": [
            _class("stock-check", "free", "all", aim_s=2.5, deadline_s=6.0, window_s=5.0),
            _class("order-place", "guarded", "cell", aim_s=1.2, deadline_s=3.0, window_s=2.0),
            _class("invoice-pay", "single_shot", "all", aim_s=1.2, deadline_s=4.0, window_s=5.0),
        ],
        "packages": [_plan("basic", 0.67, 3.0), _plan("trade", 2.7, 9.0), _plan("volume", 9.5, 19.0)],
        "zones": list(ZONES),
        "kinds": [KIND],
        "zone": 0,
        "position": 0,
        "replicasOfMe": 2,
        "report": {"how": "probe", "names": ["load_share", "concurrent"]},
        "limits": {
            "maxAttempts": 5,
            "secondCopies": True,
            "cancel": True,
            "probes": True,
            "peerMessages": False,
            "retryAfter": True,
            "maxRetryAfter": 2 * SECOND_NS,
            "connectTimeout": SECOND_NS // 4,
            "connIdle": 30 * SECOND_NS,
            "maxStreams": 32,
            **limits,
        },
        "familyInfo": {
            "counter": True,
            "countFee": 0.01,
            "counterTimeout": 80_000_000,
            "usePeriod": 0,
            "largest": 1,
            "mailPerS": 0.0,
            "truedUp": False,
        },
        "rules": {
            "answerSlack": 16_000_000,
            "askWithin": 10 * SECOND_NS,
            "drainGrace": 250_000_000,
            "fall": 2 * SECOND_NS,
            "fallMultiple": 2.0,
            "startCapacity": 0.19,
            "warmUp": 16 * SECOND_NS,
        },
        "prices": {"crossZone": 0.01},
        "discovery": "pushed",
    }


def _class(
    name: str, effect: str, group: str, *, aim_s: float, deadline_s: float, window_s: float
) -> dict[str, Any]:
    return {
        "name": name,
        "aim": int(aim_s * SECOND_NS),
        "deadline": int(deadline_s * SECOND_NS),
        "points": 1.0,
        "lateWorth": 0.0,
        "idempotency": effect,
        "group": group,
        "streaming": False,
        "window": int(window_s * SECOND_NS),
    }


def _plan(name: str, rate: float, burst: float) -> dict[str, Any]:
    return {
        "name": name,
        "quotaRate": rate,
        "mostAtOnce": burst,
        "parallel": 0,
        "worthFactor": 1.0,
        "beyondEarns": 0.0,
        "excessCost": 0.5,
        "ceilingRate": 0.0,
        "hardBurst": 0.0,
        "ceilingSlack": 0.0,
    }
