"""Reads a stream of JSON objects, each on one line or indented over several."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from .errors import EndpointListError

_CLOSING_BRACKETS = (b"}", b"]")


class JsonObjectReader:
    """Splits a stream into lines and passes each object to `on_object` as soon as it is complete.

    An empty line between objects is a heartbeat: the sender has no further object to send.
    """

    def __init__(self, on_object: Callable[[Any], None]) -> None:
        self._on_object = on_object
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # lines of the incomplete object

    def split_lines(self, data: bytes) -> list[bytes]:
        """Append data and return the lines it completes, each to be passed to `read_line`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return lines

    def read_line(self, line: bytes) -> None:
        """Read the next line.

        Raises `ValueError` for invalid JSON, `EndpointListError` for an empty line within an object.
        """
        if line.strip():
            self._object_lines.append(line)
        elif self._object_lines:
            raise EndpointListError("empty line within a JSON object")
        if self._may_be_complete(line):
            self._parse()

    def is_between_objects(self) -> bool:
        """Return whether the lines read so far leave no object incomplete."""
        return not self._object_lines

    def buffered_bytes(self) -> int:
        """Return the number of bytes buffered for the incomplete line and object."""
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
            return  # the error is at the end of the text: more lines follow
        self._object_lines.clear()
        self._on_object(raw)
