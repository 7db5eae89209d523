"""The gateway's clock."""

from __future__ import annotations

import time
from collections.abc import Callable


def make_monotonic_unix_clock() -> Callable[[], int]:
    """Return a monotonic clock in ns that is set to Unix time once, by this call.

    Its readings can be compared with times of other machines, such as an endpoint's `born_ms`.
    """
    monotonic_ns = time.monotonic_ns
    offset_ns = time.time_ns() - monotonic_ns()
    return lambda: offset_ns + monotonic_ns()
