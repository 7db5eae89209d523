"""The messages between two processes have the bytes that earlier versions write and read."""

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
PLANS, CLASSES = 2, len(ENGINE["latency"])
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
def test_message_has_the_bytes_of_earlier_versions(
    message: StateRequest | EndpointDisabled | Acknowledgement, line: bytes
) -> None:
    sent: SentMessage = message
    assert encode_message(sent) == line
    assert decode_message(line) == message


def test_state_has_the_bytes_of_earlier_versions() -> None:
    state = HandoverState(ENDPOINT_LIST, 5, 9, decode_snapshot(ENGINE, PLANS, CLASSES))
    line = json.dumps({"v": 1, "state": RAW_STATE}).encode() + b"\n"
    assert encode_message(StateResponse(state)) == line
    received = decode_message(line)
    assert isinstance(received, ReceivedState)
    assert received.decode(PLANS, CLASSES) == state


def test_message_of_this_version_with_unknown_keys_alone_is_passed_over() -> None:
    assert decode_message(b'{"v": 1, "later": true}\n') is None


@pytest.mark.parametrize(
    "line", [b"{", b"\xff", b"7", b"[]", b"{}", b'{"v": 2, "want": "state"}', b'{"v": 1, "state": 7}']
)
def test_line_that_is_no_message_of_this_version_raises(line: bytes) -> None:
    with pytest.raises(HandoverMessageError, match=r"^handover message: "):
        decode_message(line)


@pytest.mark.parametrize("key", RAW_STATE)
def test_state_that_lacks_a_key_is_not_taken_over(key: str) -> None:
    raw = {name: value for name, value in RAW_STATE.items() if name != key}
    with pytest.raises(SnapshotFormatError):
        ReceivedState(raw).decode(PLANS, CLASSES)
