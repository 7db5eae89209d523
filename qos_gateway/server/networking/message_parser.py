"""Parsing of complete RESP messages."""

from __future__ import annotations

import hiredis

_reader = hiredis.Reader()


def parse_message(message: bytes | bytearray) -> object:
    """Return the content of one complete message, of which `FrameScanner` has found the end.

    One parser serves all connections: its buffer doubles as bytes arrive and stays allocated, so a parser for
    each connection would hold twice the largest message of its peer. Raises hiredis.ProtocolError.
    """
    global _reader
    try:
        _reader.feed(message)  # type: ignore[arg-type]  # the stub lacks bytearray
        return _reader.gets()
    except hiredis.ProtocolError:
        _reader = hiredis.Reader()
        raise
