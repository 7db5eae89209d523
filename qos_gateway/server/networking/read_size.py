"""The sizes of reads from sockets, which bound what a peer makes the process hold before it is counted."""

from __future__ import annotations

from ..memory.budget import MemoryBudget, Priority

# Bounds the memory and the commands of one read. uvloop's own buffer holds 256 kB, for each connection that
# waits to have its commands executed.
READ_BUFFER_BYTES = 32 << 10
MIN_READ_BYTES = 512  # the header and all of a usual message
# Fraction of the memory for data that the first reads of all connections may use together.
FIRST_READS_FRACTION = 0.125


def read_size_bytes(memory: MemoryBudget) -> int:
    """Return the size of a read of which it is not known what it returns; the rest stays with the system."""
    if not memory.has_room(READ_BUFFER_BYTES, Priority.ADDITIONAL):
        return MIN_READ_BYTES
    share_bytes = int(memory.data_capacity_bytes * FIRST_READS_FRACTION) // memory.max_connections
    return min(READ_BUFFER_BYTES, max(MIN_READ_BYTES, share_bytes))


def value_read_size_bytes(memory: MemoryBudget, missing_bytes: int, is_reserved: bool) -> int:
    """Return the size of a read of a value or a body, which is smaller where it has no memory of its own."""
    if is_reserved or memory.has_room(READ_BUFFER_BYTES, Priority.ADDITIONAL):
        return min(READ_BUFFER_BYTES, max(MIN_READ_BYTES, missing_bytes))
    return MIN_READ_BYTES
