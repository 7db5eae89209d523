"""The limit on the descriptors of the test process."""

from __future__ import annotations

import resource
from collections.abc import Iterator
from contextlib import contextmanager

STANDARD_STREAMS = 3  # below their number no descriptor is free


@contextmanager
def no_descriptors_left() -> Iterator[None]:
    """Let every call that wants a new descriptor fail with EMFILE."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (STANDARD_STREAMS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def allow_descriptors(count: int) -> None:
    """Raise the soft limit to at least `count`, as far as the hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(count, hard)), hard))
