"""Responses on one connection: from bytes to results, without any I/O of its own."""

from __future__ import annotations

from collections.abc import Callable

import hiredis

from ...types import Outcome
from ..networking.resp import ResponseFrames
from ..networking.value_stream import FlowControl, ValueStream
from .attempt import Attempt
from .attempt_reporter import AttemptListener
from .responses import AttemptResult

RESPONSE_STALL_TIMEOUT_S = 0.25  # without a further byte; far above the gaps of a slow sender
LARGE_RESPONSE_STALL_TIMEOUT_S = 5.0  # longer, as no retry is possible once the client has the first bytes
EMPTY_VALUE_START = b"*3\r\n$0\r\n\r\n"  # replaces a streamed value in the parser's input


class ResponseReceiver:
    """Reads the responses on one connection, one after the other."""

    __slots__ = ("_attempt_listener", "_clock", "_frames", "_value_stream", "consumed_all_data", "parser")

    def __init__(self, clock: Callable[[], int], attempt_listener: AttemptListener) -> None:
        """Take `clock` in ns; `attempt_listener` provides the sink of each large value."""
        self._clock = clock
        self._attempt_listener = attempt_listener
        self._frames = ResponseFrames()
        self._value_stream: ValueStream | None = None  # of the large value that is being received
        self.parser = hiredis.Reader()
        self.consumed_all_data = True  # no data followed the last response

    def receive(self, attempt: Attempt, data: bytes, flow: FlowControl) -> AttemptResult | None:
        """Return the attempt's result once its response is complete or no longer wanted, None before.

        Raises ValueError or hiredis.ProtocolError if the response is malformed.
        """
        frames = self._frames
        response_end = frames.scan(data, 0)
        received = data if response_end < 0 else data[:response_end]
        if not frames.large_value_bytes:
            self.parser.feed(received)
        elif not self._stream_value(attempt, received, flow):
            self.consumed_all_data = False
            return AttemptResult.without_response(Outcome.CANCELLED)
        if response_end < 0:
            return None
        result = attempt.read_response(self.parser.gets())
        self._value_stream = None
        frames.large_value_bytes = 0
        self.consumed_all_data = response_end == len(data)
        return result

    def has_partial_response(self) -> bool:
        """Return whether a response has begun and is incomplete."""
        return self._frames.is_midway

    def stall_timeout_s(self) -> float:
        """Return the longest time without a further byte of a response that has begun."""
        return RESPONSE_STALL_TIMEOUT_S if self._value_stream is None else LARGE_RESPONSE_STALL_TIMEOUT_S

    def _stream_value(self, attempt: Attempt, data: bytes, flow: FlowControl) -> bool:
        """Write a large value's part of `data` to its sink and parse what follows it.

        Return whether the value is still wanted.
        """
        value_start = 0
        if self._value_stream is None:
            value_start = self._frames.large_value_start
            self._value_stream = self._start_stream(attempt, flow)
            if self._value_stream is None:
                return False
        self.parser.feed(self._value_stream.feed(data[value_start:]))
        return not attempt.ended  # the write may have found the client disconnected

    def _start_stream(self, attempt: Attempt, flow: FlowControl) -> ValueStream | None:
        self.parser = hiredis.Reader()
        self.parser.feed(EMPTY_VALUE_START)
        attempt.response_started_at_ns = self._clock()
        length = self._frames.large_value_bytes
        sink = self._attempt_listener.on_response_started(attempt, length, flow)
        return None if sink is None else ValueStream(sink, length)
