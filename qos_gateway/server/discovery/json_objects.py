"""Reads a stream of JSON objects, each on one line or indented over several."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from typing import Any

from .errors import EndpointListError

# A string of JSON holds no line break, so each one begins and ends on the same line.
_remove_strings = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"').sub


class JsonObjectReader:
    """Splits a stream into lines and passes each object to `on_object` as soon as it is complete.

    An empty line between objects is a heartbeat: the sender has no further object to send.
    """

    def __init__(self, on_object: Callable[[Any], None]) -> None:
        self._on_object = on_object
        self._partial_line = b""
        self._object_lines: list[bytes] = []  # lines of the incomplete object
        self._open_brackets = 0  # of those lines

    def split_lines(self, data: bytes) -> list[bytes]:
        """Append data and return the lines it completes, each to be passed to `read_line`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return lines

    def read_line(self, line: bytes) -> None:
        """Read the next line.

        Raises `ValueError` for invalid JSON, `EndpointListError` for an empty line within an object.
        """
        if not line.strip():
            if self._object_lines:
                raise EndpointListError("empty line within a JSON object")
            return
        self._object_lines.append(line)
        self._open_brackets += _open_brackets(line)
        if self._open_brackets <= 0:
            self._parse()

    def is_between_objects(self) -> bool:
        """Return whether the lines read so far leave no object incomplete."""
        return not self._object_lines

    def buffered_bytes(self) -> int:
        """Return the number of bytes buffered for the incomplete line and object."""
        return len(self._partial_line) + sum(map(len, self._object_lines))

    def _parse(self) -> None:
        """Parse the lines of a whole object.

        An object is parsed once, when its brackets are closed: a list may have thousands of lines.
        """
        text = b"\n".join(self._object_lines)
        self._object_lines.clear()
        self._open_brackets = 0
        self._on_object(json.loads(text))


def _open_brackets(line: bytes) -> int:
    """Return how many more brackets a line opens than it closes."""
    code = _remove_strings(b"", line)
    return code.count(b"{") + code.count(b"[") - code.count(b"}") - code.count(b"]")
