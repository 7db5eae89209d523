"""Large responses: the bytes of the value are written to the sink, the others are left to the parser."""

from __future__ import annotations

import pytest

from qos_gateway.server.networking.value_stream import ValueStream


class RecordingSink:
    """Records each part that is written to it."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.parts.append(data)


@pytest.mark.parametrize("size", range(1, 13))
def test_value_is_written_to_the_sink_and_the_rest_is_returned(size: int) -> None:
    sink = RecordingSink()
    stream = ValueStream(sink, len(b"val\r\n"))
    data = b"val\r\n" + b"\r\n" + b"$-1\r\n"
    remaining_data = b"".join(stream.feed(data[at : at + size]) for at in range(0, len(data), size))
    assert b"".join(sink.parts) == b"val\r\n"
    assert b"" not in sink.parts
    assert remaining_data == b"$-1\r\n"
