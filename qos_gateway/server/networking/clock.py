"""The clock that times are compared on."""

from __future__ import annotations

import time
from collections.abc import Callable


def monotonic_unix_ns() -> Callable[[], int]:
    """Return a clock in ns that never goes back and reads Unix time at its start.

    Times of other machines, as a request's `born_ms`, can therefore be compared with it.
    """
    offset = time.time_ns() - time.monotonic_ns()
    return lambda: offset + time.monotonic_ns()
