"""Messages between two processes of a gateway, and their wire format: one JSON object per line.

Processes of different releases exchange them: keys and their order must not change within a `VERSION`.
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
REQUESTED_STATE = HandoverKey.STATE  # state is all that a process can request


class HandoverMessageError(ValueError):
    """Raised for a message that is malformed or has an unsupported version."""


@dataclass(frozen=True, slots=True)
class HandoverState:
    """The state that a process hands over to the next one."""

    endpoint_list: JsonObject | None  # in discovery's JSON format; None until a list is received
    # Connection limits of the old process until it ends.
    max_client_connections: int
    max_endpoint_connections: int
    engine: EngineSnapshot


@dataclass(frozen=True, slots=True)
class ReceivedState:
    """Received state; each part is decoded and validated only when it is used."""

    raw: JsonObject

    def endpoint_list(self) -> JsonObject | None:
        """Return the list in discovery's JSON format; raise `SnapshotFormatError` if its key is missing."""
        if HandoverStateKey.ENDPOINT_LIST not in self.raw:
            raise SnapshotFormatError(f"handover state: key {HandoverStateKey.ENDPOINT_LIST!r} is missing")
        endpoint_list: JsonObject | None = self.raw[HandoverStateKey.ENDPOINT_LIST]
        return endpoint_list

    def decode(self, plan_count: int, class_count: int) -> HandoverState:
        """Return the state; raise `SnapshotFormatError` if malformed or for other plan or class counts."""
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
    """Answers a `StateRequest` with the state."""

    state: HandoverState


@dataclass(frozen=True, slots=True)
class EndpointDisabled:
    """Reports that an admin call disabled or enabled an endpoint; requires an `Acknowledgement`."""

    endpoint: int
    disabled: bool
    sequence_number: int


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Confirms that the message with this sequence number was applied."""

    sequence_number: int


SentMessage = StateRequest | StateResponse | EndpointDisabled | Acknowledgement
ReceivedMessage = StateRequest | ReceivedState | EndpointDisabled | Acknowledgement


def encode_message(message: SentMessage) -> bytes:
    """Return the message as one line, including its line end."""
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
    """Return the message in a line, or None if its type is unknown.

    Raises `HandoverMessageError` if the message is malformed or has an unsupported version.
    """
    try:
        raw = json.loads(line)
        version = raw[HandoverKey.VERSION]
        if version == VERSION:
            return _decode_fields(raw)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise HandoverMessageError(f"handover message: {type(error).__name__}: {error}") from None
    raise HandoverMessageError(f"handover message: unsupported version {version!r}, expected {VERSION}")


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
