"""Objects of discovery's stream, in each layout that JSON allows."""

from __future__ import annotations

import json
from typing import Any

import pytest

from qos_gateway.server.discovery.errors import EndpointListError
from qos_gateway.server.discovery.json_objects import JsonObjectReader

ENTRIES = 3200
OBJECT = {"seq": 1, "hosts": [{"host": f's-{n}}} "]{{\\', "tags": {"n": [n]}} for n in range(ENTRIES)]}
LAYOUTS = {
    "one line": json.dumps(OBJECT),
    "indented": json.dumps(OBJECT, indent=1),
    "one entry per line": json.dumps(OBJECT).replace('{"host"', '\n{"host"'),
    "commas first": json.dumps(OBJECT, indent=1, separators=("\n,", ":")),
}


def read_lines(reader: JsonObjectReader, stream: bytes) -> None:
    for line in reader.split_lines(stream):
        reader.read_line(line)


@pytest.mark.parametrize("layout", LAYOUTS)
def test_object_in_any_layout_is_parsed_once(layout: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The lines so far were parsed at each closing bracket, so a list of 3,200 entries stalled the loop."""
    parsed_bytes = 0
    loads = json.loads

    def counted_loads(text: bytes) -> Any:
        nonlocal parsed_bytes
        parsed_bytes += len(text)
        return loads(text)

    monkeypatch.setattr(json, "loads", counted_loads)
    objects: list[Any] = []
    reader = JsonObjectReader(objects.append)
    stream = f"\n{LAYOUTS[layout]}\n\n".encode()
    read_lines(reader, stream)
    assert objects == [OBJECT]
    assert reader.is_between_objects()
    assert parsed_bytes <= len(stream)


@pytest.mark.parametrize(
    "text", [b"word\n", b'{"seq":1,,}\n', b"}\n", b'{"hosts":[\n}]\n', b'{"a":1} {"b":2}\n']
)
def test_malformed_object_is_an_error_as_soon_as_its_brackets_are_closed(text: bytes) -> None:
    reader = JsonObjectReader(lambda _: None)
    with pytest.raises(ValueError, match=r"."):
        read_lines(reader, text)


def test_empty_line_within_an_object_is_an_error() -> None:
    reader = JsonObjectReader(lambda _: None)
    with pytest.raises(EndpointListError):
        read_lines(reader, b'{"hosts":[\n\n')
