"""Values that a endpoint answers with."""

from __future__ import annotations


def value(size: int) -> bytes:
    """Return a value of so many bytes in which no part stands for another."""
    return (bytes(range(256)) * (size // 256 + 1))[:size]
