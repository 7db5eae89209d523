"""Messages between two processes of one gateway, and their form on the wire: JSON, one object a line.

Processes of different releases exchange them: keys and their order must not change within `VERSION`.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from ...decisions.snapshot import EngineSnapshot
from ...decisions.snapshot_format import (
    JsonObject,
    SnapshotFormatError,
    decode_snapshot,
    encode_snapshot,
)
from ...edge_names import HandoverKey, HandoverStateKey

VERSION = 1
REQUESTED_STATE = HandoverKey.STATE  # the only value of a request


class HandoverMessageError(ValueError):
    """A message that is malformed or of another version."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    """State of a process for the next one."""

    endpoint_list: JsonObject | None  # in discovery's form; None before the first one
    max_client_connections: int  # upper limit of the process until it ends
    max_endpoint_connections: int
    engine: EngineSnapshot


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """A state as received. Each part is decoded and checked when it is used."""

    raw: JsonObject

    def endpoint_list(self) -> JsonObject | None:
        """Return the endpoint list in discovery's form; raises `SnapshotFormatError` where it is missing."""
        if HandoverStateKey.ENDPOINT_LIST not in self.raw:
            raise SnapshotFormatError(f"handover state: key {HandoverStateKey.ENDPOINT_LIST!r} missing")
        endpoint_list: JsonObject | None = self.raw[HandoverStateKey.ENDPOINT_LIST]
        return endpoint_list

    def decode(self, plan_count: int, class_count: int) -> HandoverState:
        """Return the state; raises `SnapshotFormatError` unless it fits the numbers of plans and classes."""
        endpoint_list = self.endpoint_list()
        try:
            max_client_connections = int(self.raw[HandoverStateKey.CLIENT_CONNECTIONS])
            max_endpoint_connections = int(self.raw[HandoverStateKey.MAX_ENDPOINT_CONNECTIONS])
            raw_engine = self.raw[HandoverStateKey.ENGINE]
        except (KeyError, TypeError, ValueError) as error:
            raise SnapshotFormatError(f"handover state: {type(error).__name__}: {error}") from None
        engine = decode_snapshot(raw_engine, plan_count, class_count)
        return HandoverState(endpoint_list, max_client_connections, max_endpoint_connections, engine)


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
    return json.dumps({HandoverKey.VERSION: VERSION, **_encode_fields(message)}).encode() + b"\n"


def _encode_fields(message: SentMessage) -> JsonObject:
    match message:
        case StateRequest():
            return {HandoverKey.REQUESTED: REQUESTED_STATE}
        case StateResponse(state):
            return {HandoverKey.STATE: _encode_state(state)}
        case EndpointDisabled(endpoint, disabled, sequence_number):
            return {
                HandoverKey.ENDPOINT: endpoint,
                HandoverKey.DISABLED: disabled,
                HandoverKey.SEQUENCE_NUMBER: sequence_number,
            }
        case Acknowledgement(sequence_number):
            return {HandoverKey.ACKNOWLEDGED_NUMBER: sequence_number}


def _encode_state(state: HandoverState) -> JsonObject:
    return {
        HandoverStateKey.ENDPOINT_LIST: state.endpoint_list,
        HandoverStateKey.CLIENT_CONNECTIONS: state.max_client_connections,
        HandoverStateKey.MAX_ENDPOINT_CONNECTIONS: state.max_endpoint_connections,
        HandoverStateKey.ENGINE: encode_snapshot(state.engine),
    }


def decode_message(line: bytes) -> ReceivedMessage | None:
    """Return the message of a line, or None if its kind is unknown.

    Raises `HandoverMessageError` for a malformed message or another version.
    """
    try:
        raw = json.loads(line)
        version = raw[HandoverKey.VERSION]
        if version == VERSION:
            return _decode_fields(raw)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise HandoverMessageError(f"handover message: {type(error).__name__}: {error}") from None
    raise HandoverMessageError(f"handover message: version {version!r}, {VERSION} wanted")


def _decode_fields(raw: Any) -> ReceivedMessage | None:
    if HandoverKey.REQUESTED in raw:
        return StateRequest()
    if HandoverKey.STATE in raw:
        return ReceivedState(dict(raw[HandoverKey.STATE]))
    if HandoverKey.DISABLED in raw:
        return EndpointDisabled(
            int(raw[HandoverKey.ENDPOINT]), bool(raw[HandoverKey.DISABLED]), raw[HandoverKey.SEQUENCE_NUMBER]
        )
    if HandoverKey.ACKNOWLEDGED_NUMBER in raw:
        return Acknowledgement(raw[HandoverKey.ACKNOWLEDGED_NUMBER])
    return None
