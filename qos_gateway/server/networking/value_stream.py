"""Streaming of large values: each part is written to a sink when it is received."""

from __future__ import annotations

from typing import Protocol

CRLF_BYTES = 2


class FlowControl(Protocol):
    """A source of data that can be paused while its consumer is slow."""

    def pause(self) -> None:
        """Stop reading until `resume` is called."""

    def resume(self) -> None:
        """Continue to read."""


class ResponseSink(Protocol):
    """A consumer of a large value."""

    def write(self, data: bytes) -> None:
        """Take the next part of the value."""


class ValueStream:
    """Writes the large value of one response to a sink, and separates it from the data after it."""

    __slots__ = ("_line_end_bytes_left", "_sink", "_value_bytes_left")

    def __init__(self, sink: ResponseSink, length: int) -> None:
        """Write the next `length` bytes to `sink`."""
        self._sink = sink
        self._value_bytes_left = length
        self._line_end_bytes_left = CRLF_BYTES

    def feed(self, data: bytes) -> bytes:
        """Write the part of `data` that belongs to the value; return what follows the value and its CR LF."""
        part = data[: self._value_bytes_left]
        self._value_bytes_left -= len(part)
        line_end_bytes = min(self._line_end_bytes_left, len(data) - len(part))
        self._line_end_bytes_left -= line_end_bytes
        if part:
            self._sink.write(part)
        return data[len(part) + line_end_bytes :]
