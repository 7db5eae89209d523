"""The quota counter's protocol: text lines, with one response per request, in order."""

from __future__ import annotations

import re
from dataclasses import dataclass

from ...types import Outcome
from ...units import MILLISECOND

MAX_RESPONSE_BYTES = 512  # several times the longest response
MAX_TIME_TO_LIVE_MS = 60_000  # the maximum that the counter accepts
PING_REQUEST = b"ping\r\n"
PING_RESPONSE = b"pong"
INCREMENT_STATUS = b"ok"  # followed by the key's new total
OVERLOADED_RESPONSE = b"busy"
ERROR_RESPONSE = b"error"
_TOTAL = re.compile(rb"[+-]?[0-9]{1,20}(?:\.[0-9]{0,20})?(?:[eE][+-]?[0-9]{1,2})?")


@dataclass(slots=True)
class CounterResponse:
    """A parsed response; `total` is the key's new total, 0.0 if nothing was added."""

    outcome: Outcome
    total: float


class LineBuffer:
    """Splits received bytes into lines without line endings."""

    __slots__ = ("_partial_line",)

    def __init__(self) -> None:
        self._partial_line = b""

    def add(self, data: bytes) -> list[bytes]:
        """Append data and return the lines it completes."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return [line.rstrip(b"\r") for line in lines]

    def is_too_long(self) -> bool:
        """Return whether the incomplete line exceeds the maximum length of a response."""
        return len(self._partial_line) > MAX_RESPONSE_BYTES


def encode_increment(key: int, amount: float, time_to_live_ns: int) -> bytes:
    """Encode the request to add `amount` to a key whose total expires after `time_to_live_ns`."""
    time_to_live_ms = min(MAX_TIME_TO_LIVE_MS, max(1, time_to_live_ns // MILLISECOND))
    return f"bump {key} {amount:.6f} {time_to_live_ms}\r\n".encode()


def parse_increment_response(line: bytes) -> CounterResponse | None:
    """Parse the response to an increment; None unless it is a total, busy or error."""
    if line == OVERLOADED_RESPONSE:
        return CounterResponse(Outcome.OVERLOADED, 0.0)
    if line == ERROR_RESPONSE:
        return CounterResponse(Outcome.ERROR, 0.0)
    status, _, total = line.partition(b" ")
    if status != INCREMENT_STATUS or not _TOTAL.fullmatch(total):
        return None
    return CounterResponse(Outcome.OK, float(total))


def parse_ping_response(line: bytes) -> CounterResponse | None:
    """Parse the response to a ping; None if it is invalid."""
    return CounterResponse(Outcome.OK, 0.0) if line == PING_RESPONSE else None
