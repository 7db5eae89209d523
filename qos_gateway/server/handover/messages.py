"""Messages between two processes of one gateway, and their form on the wire: JSON, one object a line.

Processes of different releases exchange them: keys and their order must not change within `VERSION`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ...decisions.snapshot import (
    EngineSnapshot,
    JsonObject,
    SnapshotFormatError,
    decode_snapshot,
    encode_snapshot,
)

VERSION = 1
WANTED_STATE = "state"  # the only value of a request


class HandoverMessageError(ValueError):
    """A message that is malformed or of another version."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    """State of a process for the next one."""

    endpoint_list: JsonObject | None  # in discovery's form; None before the first one
    client_connections: int  # upper limit of the process until it ends
    max_endpoint_connections: int
    engine: EngineSnapshot


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """A state as received. Each part is decoded and checked when it is used."""

    raw: JsonObject

    def endpoint_list(self) -> JsonObject | None:
        """Return the endpoint list in discovery's form; raises `SnapshotFormatError` where it is missing."""
        if "list" not in self.raw:
            raise SnapshotFormatError("handover state: key 'list' missing")
        endpoint_list: JsonObject | None = self.raw["list"]
        return endpoint_list

    def decode(self, plan_count: int, class_count: int) -> HandoverState:
        """Return the state; raises `SnapshotFormatError` unless it fits the numbers of plans and classes."""
        endpoint_list = self.endpoint_list()
        try:
            client_connections = int(self.raw["clients"])
            max_endpoint_connections = int(self.raw["backends"])
            raw_engine = self.raw["decisions"]
        except (KeyError, TypeError, ValueError) as error:
            raise SnapshotFormatError(f"handover state: {type(error).__name__}: {error}") from None
        engine = decode_snapshot(raw_engine, plan_count, class_count)
        return HandoverState(endpoint_list, client_connections, max_endpoint_connections, engine)


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests the state of the serving process."""


@dataclass(frozen=True, slots=True)
class StateResponse:
    """The requested state."""

    state: HandoverState


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """An operator has disabled an endpoint, or enabled it again; requires an `Acknowledgement`."""

    endpoint: int
    disabled: bool
    sequence_number: int


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The message with this sequence number has been applied."""

    sequence_number: int


SentMessage = StateRequest | StateResponse | EndpointDisabled | Acknowledgement
ReceivedMessage = StateRequest | ReceivedState | EndpointDisabled | Acknowledgement


def encode_message(message: SentMessage) -> bytes:
    """Return the line for a message."""
    return json.dumps({"v": VERSION, **_encode_fields(message)}).encode() + b"\n"


def _encode_fields(message: SentMessage) -> JsonObject:
    match message:
        case StateRequest():
            return {"want": WANTED_STATE}
        case StateResponse(state):
            return {"state": _encode_state(state)}
        case EndpointDisabled(endpoint, disabled, sequence_number):
            return {"backend": endpoint, "out": disabled, "n": sequence_number}
        case Acknowledgement(sequence_number):
            return {"done": sequence_number}


def _encode_state(state: HandoverState) -> JsonObject:
    return {
        "list": state.endpoint_list,
        "clients": state.client_connections,
        "backends": state.max_endpoint_connections,
        "decisions": encode_snapshot(state.engine),
    }


def decode_message(line: bytes) -> ReceivedMessage | None:
    """Return the message of a line, or None if its kind is unknown.

    Raises `HandoverMessageError` for a malformed message or another version.
    """
    try:
        raw = json.loads(line)
        version = raw["v"]
        if version == VERSION:
            return _decode_fields(raw)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise HandoverMessageError(f"handover message: {type(error).__name__}: {error}") from None
    raise HandoverMessageError(f"handover message: version {version!r}, {VERSION} wanted")


def _decode_fields(raw: Any) -> ReceivedMessage | None:
    if "want" in raw:
        return StateRequest()
    if "state" in raw:
        return ReceivedState(dict(raw["state"]))
    if "out" in raw:
        return EndpointDisabled(int(raw["backend"]), bool(raw["out"]), raw["n"])
    if "done" in raw:
        return Acknowledgement(raw["done"])
    return None
