"""Find the end of each RESP2 message, and reject headers that ask for more than the protocol allows."""

from __future__ import annotations

MAX_BUFFERED_VALUE_BYTES = 64 << 10  # of one value that is held whole
MAX_VALUE_BYTES = 4 << 20  # of a endpoint's value; a larger one than is buffered is streamed to the client
FRAMING_BYTES = 4096  # a command's names, other arguments and headers, beside its value
MAX_COMMAND_BYTES = MAX_BUFFERED_VALUE_BYTES + FRAMING_BYTES
MAX_ARGUMENTS = 16  # of a command; the longest that a client has a use for holds five
MAX_REPORT_BYTES = 1024  # of a response's load report or usage items
MAX_USAGE_ITEMS = 16  # where a response gives its usage as an array
MAX_LINE_BYTES = 512  # of a header or an error line
MAX_LENGTH_DIGITS = 9  # of a length in a header, so that int() never meets a long number
RESPONSE_ITEMS = 3  # value, usage, load report
MAX_DEPTH = 2  # arrays in one another in a response

CRLF = b"\r\n"
CRLF_BYTES = 2
ARRAY = b"*"
BULK_STRING = b"$"
NULL_LENGTH = b"-1"
RESPONSE_KINDS = (BULK_STRING, ARRAY, b"-", b"+", b":")  # the last three: error, status, integer
RESPONSE_HEADER = b"*%d\r\n" % RESPONSE_ITEMS

INCOMPLETE = -1  # `scan`: the message goes on behind the data
NO_VALUE = -1  # a header that is an element of its own: nothing follows that belongs to it
ARRAY_OPENED = -2  # a header behind which the elements of an array follow


class FrameError(ValueError):
    """Report that nothing which follows on this connection can be read; the text says why."""


class FrameScanner:
    """Find the end of each message, ahead of hiredis, which trusts every header.

    hiredis would allocate an array's slots before its first element arrives (a hundred million of them, for
    each garbage collection to walk), does not check the two bytes behind a value, and reads types of RESP3.
    """

    __slots__ = ("_array_elements_left", "_partial", "_size", "_value_bytes_left", "large", "large_at")

    def __init__(self) -> None:
        self._array_elements_left: list[int] = []  # one count for each open array, the innermost last
        self._partial = b""  # start of a header, or of the CR LF behind a value
        self._value_bytes_left = NO_VALUE  # of the value that is open
        self._size = 0  # bytes of the command's values so far
        self.large = 0  # bytes of the message's value where that is too large to be held whole, else 0
        self.large_at = 0  # where it begins in the data in which its header ended

    @property
    def midway(self) -> bool:
        """Whether a message has begun and not ended."""
        return bool(self._array_elements_left or self._partial or self._value_bytes_left >= 0)

    def scan(self, data: bytes, at: int) -> int:
        """Return where in `data` the message ends that begins or goes on at `at`; `INCOMPLETE` if behind it.

        Raises `FrameError` where the data cannot be part of a message.
        """
        if self._value_bytes_left >= 0:
            at = self._continue_value(data, at)
            if self._value_bytes_left >= 0:
                return INCOMPLETE
            if self._end_element():
                return at
        return self._scan_elements(data, at)

    def _scan_elements(self, data: bytes, at: int) -> int:
        """Scan from a header on; a value that has come whole, the usual case, is checked without a call."""
        size = len(data)
        while at < size:
            line_end = data.find(b"\n", at, at + MAX_LINE_BYTES) + 1
            if not line_end:
                return self._hold_partial_line(data[at : at + MAX_LINE_BYTES])
            line = self._partial + data[at:line_end]
            self._partial = b""
            at = line_end
            if line[-2:] != CRLF:
                raise FrameError("line does not end in CR LF")
            length = self._parse_header(line)
            if length == ARRAY_OPENED:
                continue
            if length >= 0:
                if length > MAX_BUFFERED_VALUE_BYTES:
                    self.large = length
                    self.large_at = at
                value_end = at + length
                at = value_end + CRLF_BYTES
                if at > size:
                    return self._hold_value(data, line_end, length)
                if data[value_end:at] != CRLF:
                    raise FrameError("value longer than its length")
            if self._end_element():
                return at
        return INCOMPLETE

    def _hold_partial_line(self, part: bytes) -> int:
        line = self._partial + part
        if len(line) >= MAX_LINE_BYTES:
            raise FrameError("line too long")
        self._check_kind(line[:1])
        self._partial = line
        return INCOMPLETE

    def _hold_value(self, data: bytes, at: int, length: int) -> int:
        self._value_bytes_left = length
        self._continue_value(data, at)
        return INCOMPLETE

    def _continue_value(self, data: bytes, at: int) -> int:
        """Read on in the open value and the CR LF behind it; return where that ends in `data`."""
        taken = min(self._value_bytes_left, len(data) - at)
        at += taken
        self._value_bytes_left -= taken
        if self._value_bytes_left == 0:
            end = min(len(data), at + CRLF_BYTES - len(self._partial))
            self._partial += data[at:end]
            at = end
            if not CRLF.startswith(self._partial):
                raise FrameError("value longer than its length")
            if self._partial == CRLF:
                self._partial = b""
                self._value_bytes_left = NO_VALUE
        return at

    def _end_element(self) -> bool:
        """Count one element as ended; return whether the whole message has ended with it."""
        left = self._array_elements_left
        while left:
            left[-1] -= 1
            if left[-1]:
                return False
            left.pop()
        return True

    def _check_kind(self, kind: bytes) -> None:
        """Raise `FrameError` where no header may begin with this type byte."""
        raise NotImplementedError

    def _parse_header(self, line: bytes) -> int:
        """Return the length of the value that follows, `NO_VALUE` or `ARRAY_OPENED`."""
        raise NotImplementedError


def _parse_length(line: bytes, maximum: int) -> int:
    digits = line[1:-2]
    if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
        raise FrameError("bad length")
    length = int(digits)
    if length > maximum:
        raise FrameError("length over the limit")
    return length


def _parse_nullable_length(line: bytes, maximum: int) -> int:
    """Return the length, or `NO_VALUE` for RESP2's null."""
    return NO_VALUE if line[1:-2] == NULL_LENGTH else _parse_length(line, maximum)


class CommandFrames(FrameScanner):
    """Scan clients' commands: arrays of bulk strings."""

    __slots__ = ()

    def _check_kind(self, kind: bytes) -> None:
        if kind != (BULK_STRING if self._array_elements_left else ARRAY):
            raise FrameError("expected an array of bulk strings")

    def _parse_header(self, line: bytes) -> int:
        self._check_kind(line[:1])
        if not self._array_elements_left:
            count = _parse_length(line, MAX_ARGUMENTS)
            if not count:
                raise FrameError("empty command")
            self._array_elements_left.append(count)
            self._size = 0
            return ARRAY_OPENED
        length = _parse_length(line, MAX_BUFFERED_VALUE_BYTES)
        self._size += length
        if self._size > MAX_COMMAND_BYTES:
            raise FrameError("command too long")
        return length


class ResponseFrames(FrameScanner):
    """Scan endpoints' responses: arrays of value, usage and load report; errors; answers to probes."""

    __slots__ = ()

    def _check_kind(self, kind: bytes) -> None:
        if self._array_elements_left == [RESPONSE_ITEMS]:  # at its first item, which is the value
            is_allowed = kind == BULK_STRING
        else:
            is_allowed = kind in RESPONSE_KINDS
        if not is_allowed:
            raise FrameError("not a value")

    def _parse_header(self, line: bytes) -> int:
        kind = line[:1]
        self._check_kind(kind)
        if kind == BULK_STRING:
            if not self._array_elements_left or self._array_elements_left == [RESPONSE_ITEMS]:
                return _parse_length(line, MAX_VALUE_BYTES)
            return _parse_nullable_length(line, MAX_REPORT_BYTES)
        if kind == ARRAY:
            return self._open_array(line)
        return NO_VALUE

    def _open_array(self, line: bytes) -> int:
        if not self._array_elements_left:
            if line != RESPONSE_HEADER:
                raise FrameError("not an answer's three parts")
            self._array_elements_left.append(RESPONSE_ITEMS)
            return ARRAY_OPENED
        count = _parse_nullable_length(line, MAX_USAGE_ITEMS)
        if count <= 0:
            return NO_VALUE
        if len(self._array_elements_left) >= MAX_DEPTH:
            raise FrameError("arrays nested too deep")
        self._array_elements_left.append(count)
        return ARRAY_OPENED
