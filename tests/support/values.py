"""Values of the replies of an endpoint."""

from __future__ import annotations


def value(size: int) -> bytes:
    """Return a value of this many bytes, in which a lost or moved piece shows."""
    return (bytes(range(256)) * (size // 256 + 1))[:size]
