"""The resident memory of this process, and what its allocator returns to the system."""

from __future__ import annotations

import ctypes
import os

_STATM_PATH = "/proc/self/statm"
_STATM_BYTES = 128
_RESIDENT_FIELD = 1  # of `statm`, in pages
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Parameters of `mallopt` in the GNU C library's malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# An allocation of this size or more is returned to the system as soon as it is freed.
MMAP_THRESHOLD_BYTES = 32 << 10
# Free memory at the end of the heap is returned beyond this size.
TRIM_THRESHOLD_BYTES = 128 << 10


class ProcessMemory:
    """Measures resident memory, and returns free memory to the system."""

    def __init__(self) -> None:
        self._descriptor = os.open(_STATM_PATH, os.O_RDONLY | os.O_CLOEXEC)
        library = ctypes.CDLL(None)
        self._trim = getattr(library, "malloc_trim", None)  # of the GNU C library alone
        configure = getattr(library, "mallopt", None)
        if configure is not None:
            configure(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
            configure(_M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)

    def resident_bytes(self) -> int:
        """Return the resident memory of the process."""
        fields = os.pread(self._descriptor, _STATM_BYTES, 0).split()
        return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES

    def return_free_memory(self) -> None:
        """Return free pages of the heap to the system, where the allocator can do that."""
        if self._trim is not None:
            self._trim(0)

    def close(self) -> None:
        """Close the descriptor; nothing can be measured afterwards."""
        os.close(self._descriptor)
