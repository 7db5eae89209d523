"""Framing of RESP2 messages: finds the end of each, and rejects headers that exceed the limits."""

from __future__ import annotations

from functools import lru_cache

# A value up to this size is buffered until it is complete. A larger one is streamed if it comes from an
# endpoint, and rejected if it comes from a client.
MAX_BUFFERED_VALUE_BYTES = 64 << 10
MAX_VALUE_BYTES = 4 << 20  # a larger value from an endpoint is rejected
MAX_COMMAND_OVERHEAD_BYTES = 4096  # a command's names, headers and arguments other than its value
MAX_COMMAND_BYTES = MAX_BUFFERED_VALUE_BYTES + MAX_COMMAND_OVERHEAD_BYTES
MAX_COMMAND_ARGUMENTS = 16  # no valid command has more than five
MAX_REPORT_BYTES = 1024  # limits a response's load report, and each item of its usage
MAX_USAGE_ITEMS = 16  # limits a response's usage if it is an array
MAX_LINE_BYTES = 512  # limits each header, and each response that is a single line, such as an error
MAX_LENGTH_DIGITS = 9  # bounds the cost of int() on the length in a header
RESPONSE_ITEMS = 3  # value, usage, load report
MAX_ARRAY_DEPTH = 2  # a response is an array, whose items may be arrays of single elements
HEADER_CACHE_SIZE = 128  # entries per function; most messages repeat the headers of earlier ones

CRLF = b"\r\n"
CRLF_BYTES = 2
ARRAY = b"*"
BULK_STRING = b"$"
ERROR = b"-"
SIMPLE_STRING = b"+"
INTEGER = b":"
NULL_LENGTH = b"-1"
RESPONSE_TYPES = (BULK_STRING, ARRAY, ERROR, SIMPLE_STRING, INTEGER)
RESPONSE_HEADER = b"*%d\r\n" % RESPONSE_ITEMS

INCOMPLETE = -1  # returned by `scan`: the data ends before the message does
NO_VALUE = -1  # the header is a complete element: no value follows it
ARRAY_OPENED = -2  # the elements of an array follow the header

NOT_A_COMMAND = "expected an array of bulk strings"


class FrameError(ValueError):
    """Malformed data, after which the start of the next message is unknown; the text says what is wrong."""


class FrameScanner:
    """Finds the end of each message and validates its headers before hiredis parses it.

    hiredis does not limit lengths: it allocates all slots of an array before the first element arrives. These
    may be a hundred million, which every garbage collection traverses. It also does not check the two bytes
    after a value, and it accepts types of RESP3.
    """

    __slots__ = (
        "_array_elements_left",
        "_command_bytes",
        "_partial",
        "_value_bytes_left",
        "large_value_bytes",
        "large_value_start",
    )

    def __init__(self) -> None:
        self._array_elements_left: list[int] = []  # one count for each incomplete array, the innermost last
        self._partial = b""  # the received part of an incomplete header or of the CR LF after a value
        self._value_bytes_left = NO_VALUE  # NO_VALUE while no value is being received
        self._command_bytes = 0  # total length of the command's arguments so far
        self.large_value_bytes = 0  # length of the message's value if it is too large to be buffered, else 0
        self.large_value_start = 0  # the large value's position in the data that held the end of its header

    @property
    def is_midway(self) -> bool:
        """Whether a message is partly received."""
        return bool(self._array_elements_left or self._partial or self._value_bytes_left >= 0)

    @property
    def missing_bytes(self) -> int:
        """How many bytes of the value that is being received are missing, with its CR LF."""
        return 0 if self._value_bytes_left < 0 else self._value_bytes_left + CRLF_BYTES

    @property
    def is_in_last_element(self) -> bool:
        """Whether the last element of a message is being received."""
        return all(count == 1 for count in self._array_elements_left)

    def scan(self, data: bytes, start: int) -> int:
        """Return the end in `data` of the message that begins or continues at `start`, or `INCOMPLETE`.

        Raises `FrameError` if the data cannot be part of a message.
        """
        position = start
        if self._value_bytes_left >= 0:
            position = self._continue_value(data, position)
            if self._value_bytes_left >= 0:
                return INCOMPLETE
            if self._end_element():
                return position
        return self._scan_elements(data, position)

    def _scan_elements(self, data: bytes, position: int) -> int:
        """Scan elements, starting at a header.

        A value that is complete in `data`, the usual case, is checked inline to save a call.
        """
        size = len(data)
        while position < size:
            line_end = data.find(b"\n", position, position + MAX_LINE_BYTES) + 1
            if not line_end:
                return self._keep_partial_line(data[position : position + MAX_LINE_BYTES])
            line = self._partial + data[position:line_end]
            self._partial = b""
            position = line_end
            if line[-2:] != CRLF:
                raise FrameError("line does not end in CR LF")
            length = self._parse_header(line)
            if length == ARRAY_OPENED:
                continue
            if length >= 0:
                if length > MAX_BUFFERED_VALUE_BYTES:
                    self.large_value_bytes = length
                    self.large_value_start = line_end
                value_end = line_end + length
                position = value_end + CRLF_BYTES
                if position > size:
                    return self._begin_value(data, line_end, length)
                if data[value_end:position] != CRLF:
                    raise FrameError("value longer than its length")
            if self._end_element():
                return position
        return INCOMPLETE

    def _keep_partial_line(self, part: bytes) -> int:
        line = self._partial + part
        if len(line) >= MAX_LINE_BYTES:
            raise FrameError("line too long")
        self._check_type(line[:1])
        self._partial = line
        return INCOMPLETE

    def _begin_value(self, data: bytes, value_start: int, length: int) -> int:
        self._value_bytes_left = length
        self._continue_value(data, value_start)
        return INCOMPLETE

    def _continue_value(self, data: bytes, position: int) -> int:
        """Scan the rest of a partly received value and its CR LF; return the position after them."""
        value_bytes = min(self._value_bytes_left, len(data) - position)
        position += value_bytes
        self._value_bytes_left -= value_bytes
        if self._value_bytes_left == 0:
            line_end = min(len(data), position + CRLF_BYTES - len(self._partial))
            self._partial += data[position:line_end]
            position = line_end
            if not CRLF.startswith(self._partial):
                raise FrameError("value longer than its length")
            if self._partial == CRLF:
                self._partial = b""
                self._value_bytes_left = NO_VALUE
        return position

    def _end_element(self) -> bool:
        """Count one element as complete; return whether it completes the message."""
        elements_left = self._array_elements_left
        while elements_left:
            elements_left[-1] -= 1
            if elements_left[-1]:
                return False
            elements_left.pop()
        return True

    def _check_type(self, type_byte: bytes) -> None:
        """Raise `FrameError` if this type is not allowed for the next element."""
        raise NotImplementedError

    def _parse_header(self, line: bytes) -> int:
        """Return the length of the value that follows, `NO_VALUE` or `ARRAY_OPENED`."""
        raise NotImplementedError


@lru_cache(HEADER_CACHE_SIZE)
def _parse_length(line: bytes, maximum: int) -> int:
    digits = line[1:-2]
    if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
        raise FrameError("bad length")
    length = int(digits)
    if length > maximum:
        raise FrameError("length over the limit")
    return length


@lru_cache(HEADER_CACHE_SIZE)
def _parse_nullable_length(line: bytes, maximum: int) -> int:
    """Return the length, or `NO_VALUE` for a null (length -1)."""
    return NO_VALUE if line[1:-2] == NULL_LENGTH else _parse_length(line, maximum)


@lru_cache(HEADER_CACHE_SIZE)
def _parse_argument_length(line: bytes) -> int:
    if not line.startswith(BULK_STRING):
        raise FrameError(NOT_A_COMMAND)
    return _parse_length(line, MAX_BUFFERED_VALUE_BYTES)


@lru_cache(HEADER_CACHE_SIZE)
def _parse_argument_count(line: bytes) -> int:
    if not line.startswith(ARRAY):
        raise FrameError(NOT_A_COMMAND)
    argument_count = _parse_length(line, MAX_COMMAND_ARGUMENTS)
    if not argument_count:
        raise FrameError("empty command")
    return argument_count


class CommandFrames(FrameScanner):
    """Scans commands of clients: arrays of bulk strings."""

    __slots__ = ()

    def _check_type(self, type_byte: bytes) -> None:
        if type_byte != (BULK_STRING if self._array_elements_left else ARRAY):
            raise FrameError(NOT_A_COMMAND)

    def _parse_header(self, line: bytes) -> int:
        if not self._array_elements_left:
            self._array_elements_left.append(_parse_argument_count(line))
            self._command_bytes = 0
            return ARRAY_OPENED
        length = _parse_argument_length(line)
        self._command_bytes += length
        if self._command_bytes > MAX_COMMAND_BYTES:
            raise FrameError("command too long")
        return length


class ResponseFrames(FrameScanner):
    """Scans responses of endpoints: arrays of value, usage and load report, errors, and replies to probes."""

    __slots__ = ()

    def _check_type(self, type_byte: bytes) -> None:
        if self._array_elements_left == [RESPONSE_ITEMS]:  # the first item of a response is the value
            is_allowed = type_byte == BULK_STRING
        else:
            is_allowed = type_byte in RESPONSE_TYPES
        if not is_allowed:
            raise FrameError("unexpected type in a response")

    def _parse_header(self, line: bytes) -> int:
        type_byte = line[:1]
        if type_byte == BULK_STRING:
            if not self._array_elements_left or self._array_elements_left == [RESPONSE_ITEMS]:
                return _parse_length(line, MAX_VALUE_BYTES)
            return _parse_nullable_length(line, MAX_REPORT_BYTES)
        self._check_type(type_byte)
        if type_byte == ARRAY:
            return self._open_array(line)
        return NO_VALUE

    def _open_array(self, line: bytes) -> int:
        if not self._array_elements_left:
            if line != RESPONSE_HEADER:
                raise FrameError(f"response is not an array of {RESPONSE_ITEMS} items")
            self._array_elements_left.append(RESPONSE_ITEMS)
            return ARRAY_OPENED
        count = _parse_nullable_length(line, MAX_USAGE_ITEMS)
        if count <= 0:
            return NO_VALUE
        if len(self._array_elements_left) >= MAX_ARRAY_DEPTH:
            raise FrameError(f"arrays nested deeper than {MAX_ARRAY_DEPTH} levels")
        self._array_elements_left.append(count)
        return ARRAY_OPENED
