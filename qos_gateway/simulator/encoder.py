"""Encode actions into replies on the simulator's wire."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from ..types.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpoints,
    LogLine,
    Probe,
    Reject,
    Send,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from .protocol import ALL_PEERS, ReplyCode

_HEADER = struct.Struct("<II")  # number of records, size of the body in bytes
_CODE = struct.Struct("<H")
_CODE_U8 = struct.Struct("<HB")
_CODE_U32 = struct.Struct("<HI")
_CODE_U64 = struct.Struct("<HQ")
_SEND = struct.Struct("<HQIq")
_REJECT = struct.Struct("<HQQ")
_CANCEL_ATTEMPT = struct.Struct("<HQH")
_SET_TIMER = struct.Struct("<HQI")
_SEND_PEER_MESSAGE = struct.Struct("<HHH")
_ADD_TO_COUNTER = struct.Struct("<HQQf")
_TEXT = struct.Struct("<HH")
_MAX_TEXT_BYTES = 0xFFFF


def encode_action(action: Action) -> bytes:  # noqa: C901 - one short case for each action
    """Encode one action as one record."""
    match action:
        case Send(request_id, endpoint, timeout):
            return _SEND.pack(ReplyCode.SEND, request_id, endpoint, timeout)
        case Reject(request_id, retry_after):
            return _REJECT.pack(ReplyCode.REJECT, request_id, retry_after)
        case Fail(request_id):
            return _CODE_U64.pack(ReplyCode.FAIL, request_id)
        case CancelAttempt(request_id, attempt):
            return _CANCEL_ATTEMPT.pack(ReplyCode.CANCEL_ATTEMPT, request_id, attempt)
        case SetTimer(delay, token):
            return _SET_TIMER.pack(ReplyCode.SET_TIMER, delay, token)
        case Probe(endpoint):
            return _CODE_U32.pack(ReplyCode.PROBE, endpoint)
        case CloseIdleConnections(endpoint):
            return _CODE_U32.pack(ReplyCode.CLOSE_IDLE_CONNECTIONS, endpoint)
        case SendPeerMessage(recipient, data):
            wire_recipient = ALL_PEERS if recipient is None else recipient
            return _SEND_PEER_MESSAGE.pack(ReplyCode.SEND_PEER_MESSAGE, wire_recipient, len(data)) + data
        case LogLine(text):
            return _encode_text(ReplyCode.LOG_LINE, text)
        case WatchEndpoints(enabled):
            return _CODE_U8.pack(ReplyCode.WATCH_ENDPOINTS, enabled)
        case FetchEndpoints():
            return _CODE.pack(ReplyCode.FETCH_ENDPOINTS)
        case AddToCounter(key, time_to_live, amount):
            return _ADD_TO_COUNTER.pack(ReplyCode.ADD_TO_COUNTER, key, time_to_live, amount)


def encode_fault(text: str) -> bytes:
    """Encode an error of the decision code as the record that ends its instance."""
    return _encode_text(ReplyCode.FAULT, text)


def _encode_text(code: int, text: str) -> bytes:
    """Encode a text, cut to 65,535 bytes of UTF-8, the maximum of its length field."""
    raw = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT.pack(code, len(raw)) + raw


def encode_reply(groups: Iterable[tuple[int, list[bytes]]]) -> bytes:
    """Encode a reply from groups of an instance's number and its records."""
    records: list[bytes] = []
    for instance, instance_records in groups:
        records.append(_CODE_U32.pack(ReplyCode.SELECT_INSTANCE, instance))
        records.extend(instance_records)
    body = b"".join(records)
    return _HEADER.pack(len(records), len(body)) + body
