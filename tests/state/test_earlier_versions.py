"""Handover state and peer messages of an earlier version are decoded and encoded without changes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.decisions.engine import DecisionEngine
from qos_gateway.decisions.quota.peers.peer_messages import (
    CustomerTotal,
    GossipMessage,
    Reservation,
    decode_reservation,
    decode_totals,
    encode_reservation,
    encode_totals,
)
from tests.support.builders import SECOND, full_list, listed_endpoint, plan, settings
from tests.support.handover import capture_json, restore_json

FIXTURES = Path(__file__).parent.parent / "fixtures"
START = 100 * SECOND
PEER_MESSAGES: dict[str, list[dict[str, Any]]] = json.loads((FIXTURES / "peer_messages.json").read_text())


def test_handover_state_of_an_earlier_version_is_restored_and_captured_unchanged() -> None:
    states = json.loads((FIXTURES / "handover_state.json").read_text())
    ceiling = plan(ceiling_rate=20.0, ceiling_burst=40.0, ceiling_slack=8.0)
    engine_settings = settings(
        may_message=False, has_counter=True, gateway_count=2, lease_term=10 * SECOND, plans=(plan(), ceiling)
    )
    engine = DecisionEngine(engine_settings, 7, 0)
    engine.handle(
        0, full_list(listed_endpoint(1), listed_endpoint(2, started_at=START - SECOND), listed_endpoint(3))
    )
    restore_json(engine, START + SECOND, states["written"], engine_settings)
    captured = capture_json(engine, START + SECOND)
    # Compared as text, since the order of the keys is part of the format.
    assert json.dumps(captured) == json.dumps(states["written_again_by_the_next"])


@pytest.mark.parametrize("message", PEER_MESSAGES["owner"])
def test_messages_between_gateway_and_owner_have_the_same_bytes(message: dict[str, Any]) -> None:
    written = bytes.fromhex(message.pop("bytes"))
    assert encode_reservation(Reservation(**message)) == written
    assert decode_reservation(written) == Reservation(**message)


@pytest.mark.parametrize("message", PEER_MESSAGES["gossip"])
def test_gossip_messages_have_the_same_bytes(message: dict[str, Any]) -> None:
    written = bytes.fromhex(message["bytes"])
    totals = [CustomerTotal(*each) for each in message["totals"]]
    assert encode_totals(message["incarnation"], message["age"], totals) == written
    assert decode_totals(written) == GossipMessage(message["incarnation"], message["age"], totals)
