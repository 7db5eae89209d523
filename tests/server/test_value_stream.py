"""Which bytes of a large response go to its sink, and which are left to the parser."""

from __future__ import annotations

import pytest

from qos_gateway.server.networking.value_stream import ValueStream


class RecordingSink:
    """Keeps each part that it was given."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.parts.append(data)


@pytest.mark.parametrize("size", range(1, 13))
def test_value_goes_to_the_sink_and_what_follows_its_line_end_comes_back(size: int) -> None:
    sink = RecordingSink()
    stream = ValueStream(sink, len(b"val\r\n"))
    data = b"val\r\n" + b"\r\n" + b"$-1\r\n"
    rest = b"".join(stream.feed(data[at : at + size]) for at in range(0, len(data), size))
    assert b"".join(sink.parts) == b"val\r\n"
    assert b"" not in sink.parts
    assert rest == b"$-1\r\n"
