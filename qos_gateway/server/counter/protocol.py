"""The quota counter's wire form: lines of text, one response for each request, in their order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ...types import Outcome
from ...units import MILLISECOND

MAX_RESPONSE_BYTES = 512  # several times the longest response
MAX_TIME_TO_LIVE_MS = 60_000  # the counter accepts no more
PING_REQUEST = b"ping\r\n"
PING_RESPONSE = b"pong"
_TOTAL = re.compile(rb"[+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?")


@dataclass(slots=True)
class CounterResponse:
    """The meaning of one response; `total` is the key's new total, 0.0 where nothing was added."""

    outcome: Outcome
    total: float


def encode_increment(key: int, amount: float, time_to_live: int) -> bytes:
    """Encode the request to add `amount` to a key whose total expires after `time_to_live` ns."""
    time_to_live_ms = min(MAX_TIME_TO_LIVE_MS, max(1, time_to_live // MILLISECOND))
    return f"bump {key} {amount:.6f} {time_to_live_ms}\r\n".encode()


def parse_increment_response(line: bytes) -> CounterResponse | None:
    """Parse the response to an increment; None if it tells neither a total nor that nothing was added."""
    if line == b"busy":
        return CounterResponse(Outcome.OVERLOADED, 0.0)
    if line == b"error":
        return CounterResponse(Outcome.ERROR, 0.0)
    status, _, total = line.partition(b" ")
    if status != b"ok" or not _TOTAL.fullmatch(total):
        return None
    return CounterResponse(Outcome.OK, float(total))


def parse_ping_response(line: bytes) -> CounterResponse | None:
    """Parse the response to a ping; None if it is anything else."""
    return CounterResponse(Outcome.OK, 0.0) if line == PING_RESPONSE else None
