"""Streaming of large values: each part is passed on as it arrives instead of being held whole."""

from __future__ import annotations

from typing import Protocol

LINE_END_BYTES = len(b"\r\n")


class FlowControl(Protocol):
    """A source of data that can be paused while its consumer is slow."""

    def pause(self) -> None:
        """Stop reading until `resume` is called."""

    def resume(self) -> None:
        """Read on."""


class ResponseSink(Protocol):
    """A consumer of a large value."""

    def write(self, data: bytes) -> None:
        """Take the next part of the value."""


class ValueStream:
    """The large value of one response on its way to a sink."""

    __slots__ = ("_line_end_bytes_left", "_sink", "_value_bytes_left")

    def __init__(self, sink: ResponseSink, length: int) -> None:
        self._sink = sink
        self._value_bytes_left = length
        self._line_end_bytes_left = LINE_END_BYTES

    def feed(self, data: bytes) -> bytes:
        """Write the value's part of `data` to the sink; return what follows the value and its line end."""
        part = data[: self._value_bytes_left]
        self._value_bytes_left -= len(part)
        line_end_bytes = min(self._line_end_bytes_left, len(data) - len(part))
        self._line_end_bytes_left -= line_end_bytes
        if part:
            self._sink.write(part)
        return data[len(part) + line_end_bytes :]
