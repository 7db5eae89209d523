"""Codes of the records on the simulator's wire, and the records that start and stop an instance."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

ALL_PEERS: Final = 0xFFFF  # recipient number of a message to all gateways


class RequestCode(IntEnum):
    """Codes of the records in a batch that the simulator sends."""

    START = 1000
    TOPOLOGY = 1010
    ARRIVAL = 1020
    RESPONSE_STARTED = 1030
    ATTEMPT_ENDED = 1040
    CLIENT_DISCONNECTED = 1050
    TIMER_FIRED = 1060
    PROBE_ENDED = 1070
    PEER_MESSAGE = 1080
    STOP = 1090
    COUNTER_REPLIED = 1100
    SELECT_INSTANCE = 1110  # selects the instance of the records that follow


class ReplyCode:
    """Codes of the records in a reply. Plain integers, because packing an IntEnum is slower."""

    SEND: Final = 1000
    REJECT: Final = 1010
    FAIL: Final = 1020
    CANCEL_ATTEMPT: Final = 1030
    SET_TIMER: Final = 1040
    PROBE: Final = 1050
    CLOSE_IDLE_CONNECTIONS: Final = 1060
    SEND_PEER_MESSAGE: Final = 1070
    LOG_LINE: Final = 1080
    FAULT: Final = 1090
    WATCH_ENDPOINTS: Final = 1100
    FETCH_ENDPOINTS: Final = 1110
    ADD_TO_COUNTER: Final = 1120
    SELECT_INSTANCE: Final = 1130


class ProtocolError(ValueError):
    """Malformed batch; the text names the error and its byte offset in the input."""


@dataclass(frozen=True, slots=True)
class StartInstance:
    """Start of an instance with its random seed and settings text."""

    seed: int
    settings: str


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Stop of an instance."""
