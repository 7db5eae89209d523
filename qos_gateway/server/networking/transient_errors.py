"""Transient errors of system calls: their classification, and retries of calls that fail with them."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

log = logging.getLogger(__name__)

Result = TypeVar("Result")

# The process or the system is out of descriptors, buffers or memory; the call would block or was interrupted;
# or a device failed.
TRANSIENT_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR, errno.EIO}
)
# This machine lacks descriptors, memory or ports for a connection to any destination.
RESOURCE_SHORTAGE_ERRNOS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)
RETRY_INTERVAL_S = 0.05
START_RETRY_TIME_S = 5.0  # bounds the retries of a starting process, which must be ready within 10 s


def is_transient(error: OSError) -> bool:
    """Return whether the same call may succeed soon when it is repeated."""
    return error.errno in TRANSIENT_ERRNOS


def is_resource_shortage(error: OSError) -> bool:
    """Return whether a connect failed for lack of descriptors, memory or ports on this machine."""
    return error.errno in RESOURCE_SHORTAGE_ERRNOS


async def retry_transient(
    call: Callable[[], Awaitable[Result]], retry_time_s: float = START_RETRY_TIME_S
) -> Result:
    """Repeat a call until it succeeds, and return its result.

    Raises OSError if the call fails with an error that is not transient, or still fails after `retry_time_s`.
    """
    loop = asyncio.get_running_loop()
    retry_until = loop.time() + retry_time_s
    while True:
        try:
            return await call()
        except OSError as error:
            if not is_transient(error) or loop.time() >= retry_until:
                raise
            log.warning("call_failed_for_now error=%s", error)
        await asyncio.sleep(RETRY_INTERVAL_S)
