"""Values that an endpoint answers with."""

from __future__ import annotations


def value(size: int) -> bytes:
    """Return a value of `size` bytes whose bytes change from place to place."""
    return (bytes(range(256)) * (size // 256 + 1))[:size]
