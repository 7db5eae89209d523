"""JSON objects in a stream of lines: one on a line, or indented over many."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from .errors import EndpointListError

_CLOSING_BRACKETS = (b"}", b"]")


class JsonObjectReader:
    """Splits the stream into lines and passes on each object as soon as it is complete.

    An empty line between objects is a heartbeat: no further object is pending.
    """

    def __init__(self, on_object: Callable[[Any], None]) -> None:
        self._on_object = on_object
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # of the object that is not complete yet

    def split_lines(self, data: bytes) -> list[bytes]:
        """Add data to the stream and return the lines that it completes, for `read_line`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return lines

    def read_line(self, line: bytes) -> None:
        """Read the next line.

        Raises `ValueError` for invalid JSON, `EndpointListError` for an empty line within an object.
        """
        if line.strip():
            self._object_lines.append(line)
        elif self._object_lines:
            raise EndpointListError("an empty line within an object")
        if self._may_be_complete(line):
            self._parse()

    def is_between_objects(self) -> bool:
        """Return whether the lines read so far end with a complete object, or without any."""
        return not self._object_lines

    def buffered_bytes(self) -> int:
        """Count the bytes of what is not complete yet."""
        return len(self._partial_line) + sum(map(len, self._object_lines))

    def _may_be_complete(self, line: bytes) -> bool:
        if len(self._object_lines) > 1:
            return line.rstrip().endswith(_CLOSING_BRACKETS)
        return bool(self._object_lines)

    def _parse(self) -> None:
        try:
            raw = json.loads(b"\n".join(self._object_lines))
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise
            return  # valid up to its end: more lines follow
        self._object_lines.clear()
        self._on_object(raw)
