"""JSON objects in a stream of lines: one on a line, or indented over many."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from .endpoint_list import ListError

_CLOSING_BRACKETS = (b"}", b"]")


class JsonObjectReader:
    """Splits the stream into lines and hands over each object as soon as it is complete.

    An empty line between objects says that no more are to come for now.
    """

    def __init__(self, on_object: Callable[[Any], None]) -> None:
        self._on_object = on_object
        self._partial_line = b""
        self._lines: list[bytes] = []  # of the object that is not complete yet

    def split_lines(self, data: bytes) -> list[bytes]:
        """Add data to the stream and return the lines that it completes, for `read_line`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return lines

    def read_line(self, line: bytes) -> None:
        """Read the next line; raises `ValueError` for invalid JSON and for an object that breaks off."""
        if line.strip():
            self._lines.append(line)
        elif self._lines:
            raise ListError("an empty line within an object")
        if self._may_be_complete(line):
            self._parse()

    def is_between_objects(self) -> bool:
        """Return whether the lines read so far end with a complete object, or without any."""
        return not self._lines

    def buffered_bytes(self) -> int:
        """Count the bytes of what is not complete yet."""
        return len(self._partial_line) + sum(map(len, self._lines))

    def _may_be_complete(self, line: bytes) -> bool:
        if len(self._lines) > 1:
            return line.rstrip().endswith(_CLOSING_BRACKETS)
        return bool(self._lines)

    def _parse(self) -> None:
        try:
            raw = json.loads(b"\n".join(self._lines))
        except json.JSONDecodeError as error:
            if error.pos < len(error.doc.rstrip()):
                raise
            return  # valid as far as it goes: the end is still to come
        self._lines.clear()
        self._on_object(raw)
