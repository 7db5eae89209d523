"""Parses the responses on a connection into results; does no I/O itself."""

from __future__ import annotations

from collections.abc import Callable

from ...types import Outcome
from ..memory.limits import BUFFER_GROWTH_FACTOR
from ..networking.message_parser import parse_message
from ..networking.resp import ResponseFrames
from ..networking.value_stream import FlowControl, ValueStream
from .attempt import Attempt
from .attempt_reporter import AttemptListener
from .responses import AttemptResult

# A partly received response fails if no byte arrives for this long, so that its request can be retried.
RESPONSE_STALL_TIMEOUT_S = 0.25
# The same where no retry is possible: the class allows none, or the client has received bytes.
LARGE_RESPONSE_STALL_TIMEOUT_S = 5.0
EMPTY_VALUE_START = b"*3\r\n$0\r\n\r\n"  # parsed in place of a streamed value


class ResponseReceiver:
    """Parses the responses on one connection, one at a time."""

    __slots__ = (
        "_attempt_listener",
        "_clock",
        "_frames",
        "_large_value_stream",
        "_partial",
        "consumed_all_data",
    )

    def __init__(self, clock: Callable[[], int], attempt_listener: AttemptListener) -> None:
        """Take the gateway's clock, in ns, and the listener that provides the sink of each large value."""
        self._clock = clock
        self._attempt_listener = attempt_listener
        self._frames = ResponseFrames()
        self._large_value_stream: ValueStream | None = None
        self._partial = bytearray()  # the received part of a response, without a streamed value
        self.consumed_all_data = True  # False if more data followed the last response or it was cancelled

    def receive(self, attempt: Attempt, data: bytes, flow: FlowControl) -> AttemptResult | None:
        """Return the attempt's result once its response is complete or no longer needed, None before that.

        Raises ValueError or hiredis.ProtocolError if the response is malformed.
        """
        frames = self._frames
        response_end = frames.scan(data, 0)
        received = data if response_end < 0 else data[:response_end]
        if not frames.large_value_bytes:
            self._partial += received
        elif not self._stream_value(attempt, received, flow):
            self.consumed_all_data = False
            return AttemptResult.without_response(Outcome.CANCELLED)
        if response_end < 0:
            return None
        response = self._partial
        self._partial = bytearray()
        result = attempt.read_response(parse_message(response))
        self._large_value_stream = None
        frames.large_value_bytes = 0
        self.consumed_all_data = response_end == len(data)
        return result

    @property
    def held_bytes(self) -> int:
        """The size of the received part of a response, without a streamed value."""
        return len(self._partial)

    @property
    def expected_bytes(self) -> int:
        """The memory of the incomplete response as far as it is known, without a streamed value."""
        buffered_bytes = 0 if self._large_value_stream is not None else self._frames.missing_bytes
        return int((len(self._partial) + buffered_bytes) * BUFFER_GROWTH_FACTOR)

    @property
    def value_missing_bytes(self) -> int:
        """How many bytes of the value that is being received are missing."""
        return self._frames.missing_bytes

    def has_partial_response(self) -> bool:
        """Return whether part of a response has been received."""
        return self._frames.is_midway

    def stall_timeout_s(self, may_retry: bool) -> float:
        """Return how long a partial response may receive no data; its request's deadline ends it as well."""
        may_give_up = may_retry and self._large_value_stream is None
        return RESPONSE_STALL_TIMEOUT_S if may_give_up else LARGE_RESPONSE_STALL_TIMEOUT_S

    def _stream_value(self, attempt: Attempt, data: bytes, flow: FlowControl) -> bool:
        """Write the part of `data` that belongs to the large value to its sink, and parse the rest.

        Returns whether the value is still needed.
        """
        value_start = 0
        if self._large_value_stream is None:
            value_start = self._frames.large_value_start
            self._large_value_stream = self._start_stream(attempt, flow)
            if self._large_value_stream is None:
                return False
        self._partial += self._large_value_stream.feed(data[value_start:])
        return not attempt.ended  # the write may have detected that the client is gone

    def _start_stream(self, attempt: Attempt, flow: FlowControl) -> ValueStream | None:
        self._partial = bytearray(EMPTY_VALUE_START)
        attempt.response_started_at_ns = self._clock()
        length = self._frames.large_value_bytes
        sink = self._attempt_listener.on_response_started(attempt, length, flow)
        return None if sink is None else ValueStream(sink, length)
