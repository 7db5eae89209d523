"""Responses on one connection: from bytes to results, without any I/O of its own."""

from __future__ import annotations

from collections.abc import Callable

import hiredis

from ...types import Outcome
from ..networking.resp import ResponseFrames
from ..networking.value_stream import FlowControl, ResponseSink, ValueStream
from .attempt import Attempt
from .responses import AttemptResult

RESPONSE_STALL_TIMEOUT_S = 0.25  # without a further byte of a response; far over a slow writer's gaps
LARGE_RESPONSE_STALL_TIMEOUT_S = 5.0  # longer: the client has the first bytes, and no retry can follow
EMPTY_VALUE_START = b"*3\r\n$0\r\n\r\n"  # what the parser is given in place of a streamed value

ResponseStartedCallback = Callable[[Attempt, int, FlowControl], "ResponseSink | None"]


class ResponseReceiver:
    """Reads the responses that come on one connection, one after the other."""

    __slots__ = ("_clock", "_frames", "_response_started", "_value_stream", "ended_with_data", "parser")

    def __init__(self, clock: Callable[[], int], response_started: ResponseStartedCallback) -> None:
        """Ask `response_started` for the sink of each large value; None cancels the attempt."""
        self._clock = clock
        self._response_started = response_started
        self._frames = ResponseFrames()
        self._value_stream: ValueStream | None = None  # of the large value that is on its way
        self.parser = hiredis.Reader()
        self.ended_with_data = True  # nothing followed the last response

    def receive(self, attempt: Attempt, data: bytes, flow: FlowControl) -> AttemptResult | None:
        """Return the attempt's result once its response is complete or no longer wanted, None before.

        Raises ValueError or hiredis.ProtocolError where the response is malformed.
        """
        frames = self._frames
        response_end = frames.scan(data, 0)
        received = data if response_end < 0 else data[:response_end]
        if not frames.large:
            self.parser.feed(received)
        elif not self._stream_value(attempt, received, flow):
            self.ended_with_data = False
            return AttemptResult.without_response(Outcome.CANCELLED)
        if response_end < 0:
            return None
        result = attempt.read_response(self.parser.gets())
        self._value_stream = None
        frames.large = 0
        self.ended_with_data = response_end == len(data)
        return result

    def is_midway(self) -> bool:
        """Return whether a response has begun and not ended."""
        return self._frames.midway

    def stall_timeout_s(self) -> float:
        """Return for how long the response that has begun may stay away."""
        return RESPONSE_STALL_TIMEOUT_S if self._value_stream is None else LARGE_RESPONSE_STALL_TIMEOUT_S

    def _stream_value(self, attempt: Attempt, data: bytes, flow: FlowControl) -> bool:
        """Pass a large value on as it comes, and parse the rest; return whether it is still wanted."""
        value_start = 0
        if self._value_stream is None:
            value_start = self._frames.large_at
            self._value_stream = self._start_stream(attempt, flow)
            if self._value_stream is None:
                return False
        self.parser.feed(self._value_stream.feed(data[value_start:]))
        return not attempt.ended  # its client may have left while it was written to

    def _start_stream(self, attempt: Attempt, flow: FlowControl) -> ValueStream | None:
        self.parser = hiredis.Reader()
        self.parser.feed(EMPTY_VALUE_START)
        attempt.response_started_at_ns = self._clock()
        length = self._frames.large
        sink = self._response_started(attempt, length, flow)
        return None if sink is None else ValueStream(sink, length)
