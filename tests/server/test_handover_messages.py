"""Wire format of the handover: messages are byte-identical to those of earlier releases."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from qos_gateway.decisions.snapshot_format import SnapshotFormatError, decode_snapshot
from qos_gateway.server.handover.messages import (
    Acknowledgement,
    EndpointDisabled,
    HandoverMessageError,
    HandoverState,
    ReceivedState,
    SentMessage,
    StateRequest,
    StateResponse,
    decode_message,
    encode_message,
)

FIXTURES = Path(__file__).parent.parent / "fixtures"
ENGINE: dict[str, Any] = json.loads((FIXTURES / "handover_state.json").read_text())[
    "written_again_by_the_next"
]
PLAN_COUNT, CLASS_COUNT = 2, len(ENGINE["latency"])
ENDPOINT_LIST = {"seq": 7, "whole": True, "hosts": []}
RAW_STATE = {"list": ENDPOINT_LIST, "clients": 5, "backends": 9, "decisions": ENGINE}


@pytest.mark.parametrize(
    ("message", "line"),
    [
        (StateRequest(), b'{"v": 1, "want": "state"}\n'),
        (
            EndpointDisabled(200402273456, True, 1),
            b'{"v": 1, "backend": 200402273456, "out": true, "n": 1}\n',
        ),
        (Acknowledgement(1), b'{"v": 1, "done": 1}\n'),
    ],
)
def test_message_has_the_wire_format_of_earlier_releases(
    message: StateRequest | EndpointDisabled | Acknowledgement, line: bytes
) -> None:
    sent: SentMessage = message
    assert encode_message(sent) == line
    assert decode_message(line) == message


def test_state_has_the_wire_format_of_earlier_releases() -> None:
    state = HandoverState(ENDPOINT_LIST, 5, 9, decode_snapshot(ENGINE, PLAN_COUNT, CLASS_COUNT))
    line = json.dumps({"v": 1, "state": RAW_STATE}).encode() + b"\n"
    assert encode_message(StateResponse(state)) == line
    received = decode_message(line)
    assert isinstance(received, ReceivedState)
    assert received.decode(PLAN_COUNT, CLASS_COUNT) == state


def test_message_with_only_unknown_keys_is_ignored() -> None:
    assert decode_message(b'{"v": 1, "later": true}\n') is None


@pytest.mark.parametrize(
    "line", [b"{", b"\xff", b"7", b"[]", b"{}", b'{"v": 2, "want": "state"}', b'{"v": 1, "state": 7}']
)
def test_malformed_message_or_unsupported_version_raises(line: bytes) -> None:
    with pytest.raises(HandoverMessageError, match=r"^handover message: "):
        decode_message(line)


@pytest.mark.parametrize("key", RAW_STATE)
def test_state_with_a_missing_key_raises(key: str) -> None:
    raw = {name: value for name, value in RAW_STATE.items() if name != key}
    with pytest.raises(SnapshotFormatError):
        ReceivedState(raw).decode(PLAN_COUNT, CLASS_COUNT)
