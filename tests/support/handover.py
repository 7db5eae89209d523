"""A handover of the decision engine's state through its JSON form, as two processes have it."""

from __future__ import annotations

import json
from typing import Any

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.handover import capture, restore
from qos_gateway.decisions.snapshot_format import decode_snapshot, encode_snapshot
from qos_gateway.server.handover.handover import HANDOVER_FRACTIONS
from qos_gateway.types import Settings


def capture_json(engine: DecisionEngine, now: int) -> dict[str, Any]:
    raw: dict[str, Any] = json.loads(json.dumps(encode_snapshot(capture(engine, now, HANDOVER_FRACTIONS))))
    return raw


def restore_json(engine: DecisionEngine, now: int, raw: dict[str, Any], settings: Settings) -> None:
    snapshot = decode_snapshot(raw, len(settings.plans), len(settings.classes))
    restore(engine, now, snapshot, HANDOVER_FRACTIONS.incoming)
